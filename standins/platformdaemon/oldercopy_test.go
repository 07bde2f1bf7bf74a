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

// twoEntries starts entries on a store, and returns what starts more and what one answers to a key.
func twoEntries(t *testing.T, store *standin.Store) (entries []*platform.Settings, startEntry func(runner), answer func(entry *platform.Settings, key string) func() int) {
	t.Helper()
	RegisterTestingT(t)
	address, stop := serveAt("127.0.0.1:0", store)
	t.Cleanup(stop)
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	store.Put(platform.TopicOperators, "config", configVersion(2, `"k1"`))
	startEntry = startTogether(t)
	for _, ip := range []string{"127.0.0.53", "127.0.0.54"} {
		settings := entrySettings(ip, address)
		if len(entries) > 0 {
			settings.Seeds = []string{entries[0].Control}
		}
		entries = append(entries, settings)
		startEntry(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
	}
	return entries, startEntry, func(entry *platform.Settings, key string) func() int {
		return func() int {
			status, _ := ask(entry, "/a/x", key)
			return status
		}
	}
}

// register puts a server into the registry.
func register(store *standin.Store, id, address, state string) {
	store.Put(platform.TopicRegistrations, id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":6,"state":%q}`, address, state))
}

// outage takes the store away for a moment, and brings it back from its copy.
func outage(store *standin.Store) {
	store.SetFaults(standin.Faults{Down: true, OmitEra: true})
	time.Sleep(500 * time.Millisecond)
	store.RestoreBackup()
	store.SetFaults(standin.Faults{})
}

func TestRevocationIsInForceAfterTheStoreCameBackOlder(t *testing.T) {
	store := standin.NewStore()
	entries, _, answer := twoEntries(t, store)
	server, stop := serveAt("127.0.0.1:0", &restingServer{})
	t.Cleanup(stop)
	register(store, "i-1", server, "ready")
	version := 2
	configure := func(keys string) {
		version++
		store.Put(platform.TopicOperators, "config", configVersion(version, keys))
	}
	// The log ends one below, level with, one past what was read: two configurations are lost.
	for round := range 3 {
		revoked, added := fmt.Sprint("a", round), fmt.Sprint("b", round)
		store.TakeBackup()
		configure(fmt.Sprintf("%q", revoked))
		configure(fmt.Sprintf("%q,%q", revoked, added))
		for _, entry := range entries {
			Eventually(answer(entry, added), patience).Should(Equal(http.StatusOK))
		}

		outage(store)
		configure(fmt.Sprintf("%q", added))
		for range round {
			store.Put(platform.TopicOperators, "other", "x")
		}
		for _, entry := range entries {
			Eventually(answer(entry, revoked), hearsWithin).Should(Equal(http.StatusUnauthorized), "round %d", round)
			Expect(answer(entry, added)()).To(Equal(http.StatusOK))
		}
	}
}

func TestServersComeAndLeaveAfterTheStoreCameBackOlder(t *testing.T) {
	store := standin.NewStore()
	store.SetFaults(standin.Faults{OmitEra: true}) // until it comes back
	entries, _, answer := twoEntries(t, store)
	servers := map[string]*restingServer{}
	addresses := map[string]string{}
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		servers[id] = &restingServer{}
		address, stop := serveAt("127.0.0.1:0", servers[id])
		t.Cleanup(stop)
		addresses[id] = address
	}
	count := func(id string) int {
		seen, _ := servers[id].seen()
		return seen
	}
	// served is how many of some requests reach a server.
	served := func(id string) func() int {
		return func() int {
			before := count(id)
			for range 10 {
				for _, entry := range entries {
					answer(entry, "k1")()
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
		Eventually(answer(entry, "k1"), patience).Should(Equal(http.StatusOK))
	}

	outage(store)
	register(store, "i-2", addresses["i-2"], "draining")
	Eventually(served("i-2"), hearsWithin).Should(BeZero(), "a server that leaves after the return")
	register(store, "i-3", addresses["i-3"], "ready")
	Eventually(served("i-3"), hearsWithin).Should(Equal(20), "a server that comes after the return")
	Expect(served("i-1")() + served("i-2")()).To(BeZero())
}

func TestStartedEntryAsksForWhatTheOlderCopyLacks(t *testing.T) {
	store := standin.NewStore()
	entries, startEntry, answer := twoEntries(t, store)
	server, stop := serveAt("127.0.0.1:0", &restingServer{})
	t.Cleanup(stop)
	register(store, "i-1", server, "ready")
	store.TakeBackup()
	store.Put(platform.TopicOperators, "config", configVersion(3, `"k2"`))
	for _, entry := range entries {
		Eventually(answer(entry, "k2"), patience).Should(Equal(http.StatusOK))
	}

	outage(store)
	ip, _, _ := strings.Cut(entries[0].Control, ":")
	settings := entrySettings(ip, entries[0].Store)
	settings.Seeds = []string{entries[1].Control}
	startEntry(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
	Eventually(answer(settings, "k2"), hearsWithin).Should(Equal(http.StatusOK))
	Expect(answer(settings, "k1")()).To(Equal(http.StatusUnauthorized))
}
