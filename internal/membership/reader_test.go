package membership

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/clock"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// servedDaemon is a daemon whose exchange is served over HTTP.
type servedDaemon struct {
	*fixture
	exchange *Exchange
	address  string
	calls    atomic.Int64
}

// serveInZone serves a daemon of a zone on a loopback port. Its follower uses the zone's reader.
func serveInZone(zone string, store *fakeStore) *servedDaemon {
	s := &servedDaemon{fixture: newFixture()}
	s.store = store
	server := httptest.NewUnstartedServer(nil)
	s.address = server.Listener.Addr().String()
	log := logrus.NewEntry(logrus.New())
	log.Logger.SetOutput(GinkgoWriter)
	s.exchange = NewExchange(s.members, Peer{Control: s.address, Zone: zone}, nil, http.DefaultClient, log)
	calls := peerrpc.NewMembershipServer(s.exchange)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		calls.ServeHTTP(w, r)
	})
	server.Start()
	DeferCleanup(server.Close)
	s.follower = NewFollower(s.members, store, s.exchange, 0, log)
	return s
}

// pairInZone returns two daemons of a zone that know each other, the reader first.
func pairInZone(store *fakeStore) (reader, other *servedDaemon) {
	reader, other = serveInZone("z", store), serveInZone("z", store)
	if other.address < reader.address {
		reader, other = other, reader
	}
	Expect(other.exchange.Pull(context.Background(), reader.address)).To(Succeed())
	return reader, other
}

var _ = Describe("registrations of a reader whose VM was suspended", func() {
	It("are sent with an age that includes the suspension", func() {
		f := newFixture()
		boot := time.Hour
		clk, err := clock.NewFrom(func() time.Time { return f.now }, func() (time.Duration, error) { return boot, nil })
		Expect(err).NotTo(HaveOccurred())
		f.members.now = clk.Now
		f.store.append(TopicServers, "a", "1.1.1.1:1")
		Expect(f.read()).To(Succeed())
		boot += 5 * time.Second // suspended
		f.now, boot = f.now.Add(time.Second), boot+time.Second
		exchange := NewExchange(f.members, Peer{Zone: "z"}, nil, nil, f.members.log)
		reply, err := exchange.Exchange(context.Background(), &peerrpc.ExchangeRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetServersAgeMs()).To(BeNumerically(">=", 6000))
	})
})

var _ = Describe("registrations of a zone", func() {
	// readerInterval is the interval of the zone's reader.
	const readerInterval = time.Duration(readerIntervalFraction * float64(defaultInterval))
	ctx := context.Background()

	It("are read by one daemon, from which the others pull", func() {
		store := newFakeStore()
		store.append(TopicServers, "a", "1.1.1.1:1")
		reader, other := pairInZone(store)
		Expect(reader.follower.refreshServers(ctx)).To(Equal(readerInterval))
		reads := store.reads
		Expect(other.follower.refreshServers(ctx)).To(BeNumerically("~", defaultInterval, time.Millisecond))
		Expect(store.reads).To(Equal(reads))
		Expect(other.ids()).To(ConsistOf("a"))
	})

	It("are refreshed according to their age at the reader", func() {
		store := newFakeStore()
		reader, other := pairInZone(store)
		reader.follower.refreshServers(ctx)
		reader.now = reader.now.Add(300 * time.Millisecond)
		Expect(other.follower.refreshServers(ctx)).To(BeNumerically("~", defaultInterval-300*time.Millisecond, 5*time.Millisecond))
	})

	It("are read from the store if the reader's are stale", func() {
		store := newFakeStore()
		reader, other := pairInZone(store)
		reader.follower.refreshServers(ctx)
		reader.now = reader.now.Add(defaultInterval)
		reads := store.reads
		Expect(other.follower.refreshServers(ctx)).To(Equal(readerInterval), "it replaces the zone's reader")
		Expect(store.reads).To(Equal(reads + 1))
		calls := reader.calls.Load()
		other.follower.refreshServers(ctx)
		Expect(reader.calls.Load()).To(Equal(calls), "a stale reader isn't used again at once")
		other.now = other.now.Add(readerRetryDelay + time.Millisecond)
		other.follower.refreshServers(ctx)
		Expect(reader.calls.Load()).To(Equal(calls + 1))
	})

	It("are read from the store if the reader doesn't report their age", func() {
		store := newFakeStore()
		reader, other := pairInZone(store)
		reader.follower.refreshServers(ctx)
		reader.members.serversAsOf = time.Time{}
		reads := store.reads
		Expect(other.follower.refreshServers(ctx)).To(Equal(readerInterval))
		Expect(store.reads).To(Equal(reads + 1))
	})

	It("have an unknown age if the peer's release doesn't report it", func() {
		caller := serveInZone("z", newFakeStore())
		caller.exchange.mergeReply(&peerrpc.ExchangeReply{Servers: &peerrpc.Topic{}}, caller.now, "earlier release")
		Expect(caller.members.registrationsAsOf().IsZero()).To(BeTrue())
	})

	It("are read from the store if the reader is unreachable", func() {
		store := newFakeStore()
		store.append(TopicServers, "a", "1.1.1.1:1")
		other := serveInZone("z", store)
		other.exchange.recordContact(Peer{Control: "0.0.0.0:1", Zone: "z"})
		Expect(other.follower.refreshServers(ctx)).To(Equal(readerInterval))
		Expect(other.ids()).To(ConsistOf("a"))
	})

	It("are read separately by each zone", func() {
		store := newFakeStore()
		here, there := serveInZone("z1", store), serveInZone("z2", store)
		Expect(here.exchange.Pull(ctx, there.address)).To(Succeed())
		for _, daemon := range []*servedDaemon{here, there} {
			Expect(daemon.exchange.ReadsForZone()).To(BeFalse())
			reads := store.reads
			daemon.follower.refreshServers(ctx)
			Expect(store.reads).To(BeNumerically(">=", reads))
			Expect(daemon.members.Servers()).NotTo(BeNil())
		}
	})

	It("aren't sent again after a heartbeat", func() {
		store := newFakeStore()
		store.append(TopicServers, "a", "1.1.1.1:1")
		store.append(TopicServers, "b", "1.1.1.2:1")
		reader, other := pairInZone(store)
		reader.follower.refreshServers(ctx)
		other.follower.refreshServers(ctx)
		known := other.members.positions().servers
		store.append(TopicServers, "a", "1.1.1.1:1")
		store.append(TopicServers, "b", "1.1.1.2:1 leaving")
		reader.follower.refreshServers(ctx)
		_, changes := reader.exchange.changesSince(&peerrpc.ExchangeRequest{ServersNext: known.Offset()})
		Expect(changes.GetRecords()).To(HaveLen(1))
		Expect(changes.GetRecords()[0].GetKey()).To(Equal("b"))
		other.follower.refreshServers(ctx)
		Expect(other.members.Servers().ByID("b").Leaving).To(BeTrue())
		Expect(other.members.positions().servers.Offset()).To(Equal(changes.GetNext()))
	})

	Describe("that lapsed during a store outage", func() {
		// lapsed returns the daemons of a zone after an outage that only the reader observed, in
		// which the registration of server "a" lapsed.
		lapsed := func() (reader, other *servedDaemon) {
			store := newFakeStore()
			store.append(TopicServers, "a", "1.1.1.1:1")
			reader, other = pairInZone(store)
			reader.follower.refreshServers(ctx)
			other.follower.refreshServers(ctx)
			store.err = errors.New("down")
			reader.follower.refreshServers(ctx)
			store.err = nil
			store.append(TopicServers, "a", "")
			reader.follower.refreshServers(ctx)
			other.follower.refreshServers(ctx)
			return reader, other
		}

		It("are kept for as long as at the reader", func() {
			reader, other := lapsed()
			Expect(other.ids()).To(ConsistOf("a"))
			for _, daemon := range []*servedDaemon{reader, other} {
				daemon.now = daemon.now.Add(outageGrace + time.Millisecond)
				daemon.follower.refreshServers(ctx)
				Expect(daemon.ids()).To(BeEmpty())
			}
		})

		It("stay if they are registered again", func() {
			reader, other := lapsed()
			reader.store.append(TopicServers, "a", "1.1.1.1:1")
			for _, daemon := range []*servedDaemon{reader, other} {
				daemon.follower.refreshServers(ctx)
				daemon.now = daemon.now.Add(outageGrace + time.Millisecond)
				daemon.follower.refreshServers(ctx)
				Expect(daemon.ids()).To(ConsistOf("a"))
			}
		})
	})
})
