package membership

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pullFrom makes a daemon pull from a peer.
func pullFrom(caller, peer *fixture) {
	from := NewExchange(peer.members, Peer{}, nil, nil, peer.follower.log)
	to := NewExchange(caller.members, Peer{}, nil, nil, caller.follower.log)
	known := caller.members.positions()
	version, operatorsEra, serversEra := caller.members.version(), known.operators.Era(), known.servers.Era()
	reply, err := from.Exchange(context.Background(), &peerrpc.ExchangeRequest{
		OperatorsNext: known.operators.Offset(), OperatorsEra: &operatorsEra,
		ServersNext: known.servers.Offset(), ServersEra: &serversEra, ConfigurationVersion: &version,
	})
	Expect(err).NotTo(HaveOccurred())
	to.mergeReply(reply, caller.now, "peer")
}

var _ = Describe("a store restored from an older copy", func() {
	var f *fixture
	BeforeEach(func() {
		f = newFixture()
		for _, version := range []string{"1", "2", "3"} {
			f.store.append(TopicOperators, "config", version)
		}
		f.store.append(TopicServers, "a", "1.1.1.1:1")
		f.store.append(TopicServers, "b", "1.1.1.2:1")
		f.store.append(TopicServers, "c", "1.1.1.3:1")
		Expect(f.read()).To(Succeed())
		f.store.append(TopicServers, "b", "1.1.1.2:1 leaving")
		f.store.append(TopicServers, "c", "")
		f.store.append(TopicServers, "d", "1.1.1.4:1")
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("a", "b", "d"))
	})
	inForce := func(f *fixture) int64 { return f.members.Config().Version }

	It("doesn't revert the configuration, and delivers newer ones at reused offsets", func() {
		f.store.restoreCopy(1, 3)
		Expect(f.read()).To(Succeed())
		Expect(inForce(f)).To(Equal(int64(3)))
		f.store.append(TopicOperators, "config", "4")
		Expect(f.read()).To(Succeed())
		Expect(inForce(f)).To(Equal(int64(4)))
		Expect(f.members.positions().operators).To(Equal(storelog.NewPosition(1, 2)))
	})

	It("keeps leaving servers leaving and removed ones removed for a limited time, and lets missing ones register again", func() {
		f.store.restoreCopy(1, 3)
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("a", "b", "d"))
		Expect(f.members.Servers().ByID("b").Leaving).To(BeTrue())
		f.now = f.now.Add(outageGrace + time.Millisecond)
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("a", "b"))
		f.store.append(TopicServers, "d", "1.1.1.4:1")
		f.now = f.now.Add(departureHold)
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("a", "b", "c", "d"), "still listed by the registry")
	})

	It("removes servers at once that are deleted after the restore", func() {
		f.store.restoreCopy(1, 3)
		Expect(f.read()).To(Succeed())
		f.store.append(TopicServers, "c", "")
		f.store.append(TopicServers, "a", "")
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("b", "d"))
		f.now = f.now.Add(departureHold + time.Second)
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("b"))
	})

	It("delivers changes at lower offsets than before, also after a second restore", func() {
		for range 2 {
			f.store.restoreCopy(1, 3)
			Expect(f.read()).To(Succeed())
		}
		f.store.append(TopicServers, "a", "1.1.1.1:1 leaving")
		Expect(f.read()).To(Succeed())
		Expect(f.members.Servers().ByID("a").Leaving).To(BeTrue())
		Expect(f.members.positions().servers).To(Equal(storelog.NewPosition(2, 4)))
	})

	It("reaches a daemon that lost the store through its peers", func() {
		partitioned := newFixture()
		pullFrom(partitioned, f)
		f.store.restoreCopy(1, 3)
		f.store.append(TopicOperators, "config", "5")
		f.store.append(TopicServers, "a", "1.1.1.1:1 leaving")
		Expect(f.read()).To(Succeed())
		pullFrom(partitioned, f)
		Expect(inForce(partitioned)).To(Equal(int64(5)))
		Expect(partitioned.members.Servers().ByID("a").Leaving).To(BeTrue())
		Expect(partitioned.members.Servers().ByID("b").Leaving).To(BeTrue())
		pullFrom(f, partitioned)
		Expect(inForce(f)).To(Equal(int64(5)))
	})

	It("doesn't hide the configuration from a new daemon, whichever era its peer is in", func() {
		formerEra := newFixture()
		pullFrom(formerEra, f)
		f.store.restoreCopy(1, 3)
		started := newFixture()
		started.store = f.store
		started.follower.store = f.store
		Expect(started.read()).To(Succeed())
		Expect(inForce(started)).To(Equal(int64(1)), "the only one in the store")
		position := started.members.positions()
		pullFrom(started, formerEra)
		Expect(inForce(started)).To(Equal(int64(3)))
		Expect(started.members.positions()).To(Equal(position))
		Expect(f.read()).To(Succeed())
		other := newFixture()
		other.follower.store = f.store
		Expect(other.read()).To(Succeed())
		pullFrom(other, f)
		Expect(inForce(other)).To(Equal(int64(3)))
	})

	It("causes an error and a retry while it is behind and reports no era", func() {
		f.store.records[TopicOperators] = f.store.records[TopicOperators][:1]
		Expect(f.follower.readConfig(context.Background())).To(MatchError(errStoreBehind))
		Expect(inForce(f)).To(Equal(int64(3)))
		for _, version := range []string{"4", "5", "6"} {
			f.store.append(TopicOperators, "config", version)
		}
		Expect(f.follower.readConfig(context.Background())).To(Succeed())
		Expect(inForce(f)).To(Equal(int64(6)))
	})

	It("works with peers that report no era", func() {
		f.store.append(TopicServers, "e", "1.1.1.5:1")
		Expect(f.read()).To(Succeed())
		reply, err := NewExchange(f.members, Peer{}, nil, nil, f.follower.log).Exchange(context.Background(), &peerrpc.ExchangeRequest{OperatorsNext: 3, ServersNext: 6})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetOperators().GetRecords()).To(BeEmpty())
		Expect(reply.GetServers().GetRecords()).To(HaveLen(1))
		f.store.restoreCopy(3, 6)
		Expect(f.read()).To(Succeed())
		NewExchange(f.members, Peer{}, nil, nil, f.follower.log).mergeReply(&peerrpc.ExchangeReply{
			Operators: &peerrpc.Topic{Next: 9, Records: []*peerrpc.Record{{Key: "config", Value: []byte("2"), Offset: 8}}},
			Servers:   &peerrpc.Topic{Next: 9, Records: []*peerrpc.Record{{Key: "a", Offset: 8}}},
		}, f.now, "earlier release")
		Expect(inForce(f)).To(Equal(int64(3)))
		Expect(f.ids()).To(ContainElement("a"))
	})
})
