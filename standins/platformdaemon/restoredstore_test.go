package platformdaemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

// startTwoEntries starts entries on a store. It returns them, a function that starts more daemons, and
// one that returns the status of a request with a key.
func startTwoEntries(t *testing.T, store *standin.Store) (entries []*platform.Settings, startEntry func(runner), status func(entry *platform.Settings, key string) func() int) {
	t.Helper()
	RegisterTestingT(t)
	address, stop := serve("127.0.0.1:0", store)
	t.Cleanup(stop)
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	store.Put(platform.TopicOperators, "config", configVersion(2, `"k1"`))
	startEntry = newStarter(t)
	for _, ip := range []string{"127.0.0.53", "127.0.0.54"} {
		settings := entrySettings(ip, address)
		if len(entries) > 0 {
			settings.Seeds = []string{entries[0].Control}
		}
		entries = append(entries, settings)
		startEntry(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
	}
	return entries, startEntry, func(entry *platform.Settings, key string) func() int {
		return func() int {
			status, _ := get(entry, "/a/x", key)
			return status
		}
	}
}

// register writes a server's registration.
func register(store *standin.Store, id, address, state string) {
	store.Put(platform.TopicRegistrations, id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":6,"state":%q}`, address, state))
}

// restoreStore makes the store unavailable for a moment and restores it from its backup.
func restoreStore(store *standin.Store) {
	store.SetFaults(standin.Faults{Down: true, OmitEra: true})
	time.Sleep(500 * time.Millisecond)
	store.RestoreBackup()
	store.SetFaults(standin.Faults{})
}

// A revoked key must be refused although the restored store lacks configurations that entries
// have applied.
func TestRevokedKeyIsRefusedAfterStoreRestore(t *testing.T) {
	store := standin.NewStore()
	entries, _, status := startTwoEntries(t, store)
	server, stop := serve("127.0.0.1:0", &restingServer{})
	t.Cleanup(stop)
	register(store, "i-1", server, "ready")
	version := 2
	configure := func(keys string) {
		version++
		store.Put(platform.TopicOperators, "config", configVersion(version, keys))
	}
	// Two configurations are lost in each round. With the records written after the restore, the log
	// ends one offset before, at, and one after the last one read.
	for round := range 3 {
		revoked, added := fmt.Sprint("a", round), fmt.Sprint("b", round)
		store.TakeBackup()
		configure(fmt.Sprintf("%q", revoked))
		configure(fmt.Sprintf("%q,%q", revoked, added))
		for _, entry := range entries {
			Eventually(status(entry, added), testTimeout).Should(Equal(http.StatusOK))
		}

		restoreStore(store)
		configure(fmt.Sprintf("%q", added))
		for range round {
			store.Put(platform.TopicOperators, "other", "x")
		}
		for _, entry := range entries {
			Eventually(status(entry, revoked), propagationTimeout).Should(Equal(http.StatusUnauthorized), "round %d", round)
			Expect(status(entry, added)()).To(Equal(http.StatusOK))
		}
	}
}

// Registrations written after a restore must apply although the log's offsets were used before.
func TestRegistrationsApplyAfterStoreRestore(t *testing.T) {
	store := standin.NewStore()
	store.SetFaults(standin.Faults{OmitEra: true}) // until it is restored
	entries, _, status := startTwoEntries(t, store)
	servers := map[string]*restingServer{}
	addresses := map[string]string{}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		servers[id] = &restingServer{}
		address, stop := serve("127.0.0.1:0", servers[id])
		t.Cleanup(stop)
		addresses[id] = address
	}
	count := func(id string) int {
		total, _ := servers[id].counts()
		return total
	}
	// served returns a function that sends requests and counts those that reach a server.
	served := func(id string) func() int {
		return func() int {
			before := count(id)
			for range 10 {
				for _, entry := range entries {
					status(entry, "k1")()
				}
			}
			return count(id) - before
		}
	}
	register(store, "i-1", addresses["i-1"], "draining")
	store.TakeBackup()
	register(store, "i-2", addresses["i-2"], "ready")
	register(store, "other", addresses["i-3"], "draining")
	for _, entry := range entries {
		Eventually(status(entry, "k1"), testTimeout).Should(Equal(http.StatusOK))
	}

	restoreStore(store)
	register(store, "i-2", addresses["i-2"], "draining")
	Eventually(served("i-2"), propagationTimeout).Should(BeZero(), "requests to a server that drains after the restore")
	register(store, "i-3", addresses["i-3"], "ready")
	Eventually(served("i-3"), propagationTimeout).Should(Equal(20), "requests to a server that registers after the restore")
	Expect(served("i-1")() + served("i-2")()).To(BeZero())
}

// An entry that starts after a restore must take from a peer the configuration that the store lacks.
func TestStartedEntryGetsLostConfigurationFromPeer(t *testing.T) {
	store := standin.NewStore()
	entries, startEntry, status := startTwoEntries(t, store)
	server, stop := serve("127.0.0.1:0", &restingServer{})
	t.Cleanup(stop)
	register(store, "i-1", server, "ready")
	store.TakeBackup()
	store.Put(platform.TopicOperators, "config", configVersion(3, `"k2"`))
	for _, entry := range entries {
		Eventually(status(entry, "k2"), testTimeout).Should(Equal(http.StatusOK))
	}

	restoreStore(store)
	ip, _, _ := strings.Cut(entries[0].Control, ":")
	settings := entrySettings(ip, entries[0].Store)
	settings.Seeds = []string{entries[1].Control}
	startEntry(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
	Eventually(status(settings, "k2"), propagationTimeout).Should(Equal(http.StatusOK))
	Expect(status(settings, "k1")()).To(Equal(http.StatusUnauthorized))
}
