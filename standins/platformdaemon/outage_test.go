package platformdaemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

// An operator's change must be accepted soon after an outage of the store and reach all entries.
func TestOperatorChangeAppliesRightAfterStoreOutage(t *testing.T) {
	RegisterTestingT(t)
	store := standin.NewStore()
	address, stop := serve("127.0.0.1:0", store)
	t.Cleanup(stop)
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	operator, err := daemon.ParseOperator("ops:change:" + daemon.HashSecret("token"))
	Expect(err).NotTo(HaveOccurred())
	var entries []*platform.Settings
	startEntry := newStarter(t)
	for _, ip := range []string{"127.0.0.55", "127.0.0.56"} {
		settings := entrySettings(ip, address)
		if len(entries) > 0 {
			settings.Seeds = []string{entries[0].Control}
		}
		entries = append(entries, settings)
		startEntry(platformdaemon.NewEntryDaemon(settings, []daemon.Operator{operator}, discardLog()))
	}
	for _, entry := range entries {
		Eventually(func() int { status, _ := get(entry, "/a/x", "k1"); return status }, testTimeout).Should(Equal(http.StatusServiceUnavailable), "no server")
	}
	store.SetFaults(standin.Faults{Down: true})
	time.Sleep(2 * time.Second)
	store.SetFaults(standin.Faults{})
	time.Sleep(2 * time.Second)
	clients := make([]rpc.Operators, len(entries))
	for i, entry := range entries {
		clients[i] = rpc.NewOperatorsProtobufClient("http://"+entry.Control, &http.Client{Transport: tokenTransport{}})
	}
	Expect(apply(clients[0], "kind: Customer\nname: t\ncustomer: {}\n")).To(Equal(rpc.Verdict_VERDICT_ACCEPTED))
	for _, client := range clients {
		Eventually(func() int {
			reply, err := client.Get(t.Context(), &rpc.GetRequest{Kind: string(config.KindCustomer)})
			Expect(err).NotTo(HaveOccurred())
			return len(reply.GetObjects())
		}, testTimeout).Should(Equal(1))
	}
}
