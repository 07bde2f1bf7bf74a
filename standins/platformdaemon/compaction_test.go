package platformdaemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

// propagationTimeout is well below the wait time of a long poll, so the test fails if an entry
// relies on a poll that misses the configuration.
const propagationTimeout = 14 * time.Second

// A long poll that misses a configuration written after a compaction must not keep entries from it:
// they would still accept revoked keys.
func TestEntriesReceiveConfigurationAfterCompaction(t *testing.T) {
	RegisterTestingT(t)
	store := standin.NewStore()
	address, stop := serve("127.0.0.1:0", store)
	t.Cleanup(stop)
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	server, stopServer := serve("127.0.0.1:0", &restingServer{})
	t.Cleanup(stopServer)
	store.Put("keyed.servers", "i-1", `{"service":"s","address":"`+server+`","zone":"z","capacity":6,"state":"ready"}`)
	var entries []*platform.Settings
	startEntry := newStarter(t)
	for _, ip := range []string{"127.0.0.50", "127.0.0.51"} {
		settings := entrySettings(ip, address)
		if len(entries) > 0 {
			settings.Seeds = []string{entries[0].Control}
		}
		entries = append(entries, settings)
		startEntry(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
	}
	statusWith := func(entry *platform.Settings, key string) func() int {
		return func() int {
			status, _ := get(entry, "/a/x", key)
			return status
		}
	}
	for _, entry := range entries {
		Eventually(statusWith(entry, "k1"), testTimeout).Should(Equal(http.StatusOK))
	}

	store.SetFaults(standin.Faults{StallReads: true})
	store.Compact(platform.TopicOperators)
	time.Sleep(time.Second) // until each entry has started a long poll that misses new records
	store.SetFaults(standin.Faults{})
	store.Put(platform.TopicOperators, "config", configVersion(2, `"k2"`))
	for _, entry := range entries {
		Eventually(statusWith(entry, "k2"), propagationTimeout).Should(Equal(http.StatusOK))
		Expect(statusWith(entry, "k1")()).To(Equal(http.StatusUnauthorized))
	}
}
