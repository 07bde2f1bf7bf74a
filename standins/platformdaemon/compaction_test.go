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

// What users saw: keys that had been taken away were served for seconds, until the day's end,
// at all entries alike, and new ones were refused. Order of events: the store dropped
// the history of the operators' topic; each entry was told so, read the newest configuration and
// began to wait for what comes after it; configurations came, and no read heard of them.
// Cause: a read that waits up to 28 s was believed as long as it was silent.
//
// Evidence: two plays of one day side by side, one sound and one broken: up to the read that
// begins at offset 15, right after the newest configuration was read, the lines of an entry are the
// same; the sound one ends 50 ms later with offset 15, the broken one never does.

// hearsWithin is for how long an entry may miss a configuration here: well under the wait of
// a read, and many times the two seconds that are allowed, for a busy machine.
const hearsWithin = 14 * time.Second

func TestConfigurationAfterACompaction(t *testing.T) {
	RegisterTestingT(t)
	store := standin.NewStore()
	address, stop := serveAt("127.0.0.1:0", store)
	t.Cleanup(stop)
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	server, stopServer := serveAt("127.0.0.1:0", &restingServer{})
	t.Cleanup(stopServer)
	store.Put("keyed.servers", "i-1", `{"service":"s","address":"`+server+`","zone":"z","capacity":6,"state":"ready"}`)
	var entries []*platform.Settings
	startEntry := startTogether(t)
	for _, ip := range []string{"127.0.0.50", "127.0.0.51"} {
		settings := entrySettings(ip, address)
		if len(entries) > 0 {
			settings.Seeds = []string{entries[0].Control}
		}
		entries = append(entries, settings)
		startEntry(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
	}
	statusWith := func(entry *platform.Settings, key string) func() int {
		return func() int {
			status, _ := ask(entry, "/a/x", key)
			return status
		}
	}
	for _, entry := range entries {
		Eventually(statusWith(entry, "k1"), patience).Should(Equal(http.StatusOK))
	}

	store.SetFaults(standin.Faults{StallReads: true})
	store.Compact(platform.TopicOperators)
	time.Sleep(time.Second) // each entry has begun a read that hears of nothing
	store.SetFaults(standin.Faults{})
	store.Put(platform.TopicOperators, "config", configVersion(2, `"k2"`))
	for _, entry := range entries {
		Eventually(statusWith(entry, "k2"), hearsWithin).Should(Equal(http.StatusOK))
		Expect(statusWith(entry, "k1")()).To(Equal(http.StatusUnauthorized))
	}
}
