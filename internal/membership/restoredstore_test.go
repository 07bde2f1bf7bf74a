package membership

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// askOf makes one daemon ask another.
func pullFrom(asking, asked *fixture) {
	from := NewExchange(asked.members, Peer{}, nil, nil, asked.follower.log)
	to := NewExchange(asking.members, Peer{}, nil, nil, asking.follower.log)
	known := asking.members.positions()
	version, operatorsEra, serversEra := asking.members.version(), known.operators.Era(), known.servers.Era()
	reply, err := from.Exchange(context.Background(), &peerrpc.ExchangeRequest{
		OperatorsNext: known.operators.Offset(), OperatorsEra: &operatorsEra,
		ServersNext: known.servers.Offset(), ServersEra: &serversEra, ConfigurationVersion: &version,
	})
	Expect(err).NotTo(HaveOccurred())
	to.mergeReply(reply, asking.now, "peer")
}

var _ = Describe("a store that comes back from an older copy", func() {
	var b *fixture
	BeforeEach(func() {
		b = newFixture()
		for _, version := range []string{"1", "2", "3"} {
			b.store.append(TopicOperators, "config", version)
		}
		b.store.append(TopicServers, "a", "1.1.1.1:1")
		b.store.append(TopicServers, "b", "1.1.1.2:1")
		b.store.append(TopicServers, "c", "1.1.1.3:1")
		Expect(b.read()).To(Succeed())
		b.store.append(TopicServers, "b", "1.1.1.2:1 leaving")
		b.store.append(TopicServers, "c", "")
		b.store.append(TopicServers, "d", "1.1.1.4:1")
		Expect(b.read()).To(Succeed())
		Expect(b.ids()).To(ConsistOf("a", "b", "d"))
	})
	inForce := func(b *fixture) int64 { return b.members.Config().Version }

	It("takes no configuration back, and brings newer ones at offsets that others had", func() {
		b.store.restoreCopy(1, 3)
		Expect(b.read()).To(Succeed())
		Expect(inForce(b)).To(Equal(int64(3)))
		b.store.append(TopicOperators, "config", "4")
		Expect(b.read()).To(Succeed())
		Expect(inForce(b)).To(Equal(int64(4)))
		Expect(b.members.positions().operators).To(Equal(storelog.NewPosition(1, 2)))
	})

	It("doesn't bring back who leaves or has gone, nor take away who has the time to register again", func() {
		b.store.restoreCopy(1, 3)
		Expect(b.read()).To(Succeed())
		Expect(b.ids()).To(ConsistOf("a", "b", "d"))
		Expect(b.members.Servers().ByID("b").Leaving).To(BeTrue())
		b.now = b.now.Add(outageGrace + time.Millisecond)
		Expect(b.read()).To(Succeed())
		Expect(b.ids()).To(ConsistOf("a", "b"))
		b.store.append(TopicServers, "d", "1.1.1.4:1")
		b.now = b.now.Add(departureHold)
		Expect(b.read()).To(Succeed())
		Expect(b.ids()).To(ConsistOf("a", "b", "c", "d"), "the registry lists it still")
	})

	It("drops at once who goes after the return", func() {
		b.store.restoreCopy(1, 3)
		Expect(b.read()).To(Succeed())
		b.store.append(TopicServers, "c", "")
		b.store.append(TopicServers, "a", "")
		Expect(b.read()).To(Succeed())
		Expect(b.ids()).To(ConsistOf("b", "d"))
		b.now = b.now.Add(departureHold + time.Second)
		Expect(b.read()).To(Succeed())
		Expect(b.ids()).To(ConsistOf("b"))
	})

	It("brings changes whose positions are lower than known ones, also when it comes back twice", func() {
		for range 2 {
			b.store.restoreCopy(1, 3)
			Expect(b.read()).To(Succeed())
		}
		b.store.append(TopicServers, "a", "1.1.1.1:1 leaving")
		Expect(b.read()).To(Succeed())
		Expect(b.members.Servers().ByID("a").Leaving).To(BeTrue())
		Expect(b.members.positions().servers).To(Equal(storelog.NewPosition(2, 4)))
	})

	It("is known from others to a daemon that can't reach it", func() {
		cut := newFixture()
		pullFrom(cut, b)
		b.store.restoreCopy(1, 3)
		b.store.append(TopicOperators, "config", "5")
		b.store.append(TopicServers, "a", "1.1.1.1:1 leaving")
		Expect(b.read()).To(Succeed())
		pullFrom(cut, b)
		Expect(inForce(cut)).To(Equal(int64(5)))
		Expect(cut.members.Servers().ByID("a").Leaving).To(BeTrue())
		Expect(cut.members.Servers().ByID("b").Leaving).To(BeTrue())
		pullFrom(b, cut)
		Expect(inForce(b)).To(Equal(int64(5)))
	})

	It("hides no configuration from a daemon that starts, nor from one that asks a daemon of a former era", func() {
		former := newFixture()
		pullFrom(former, b)
		b.store.restoreCopy(1, 3)
		started := newFixture()
		started.store = b.store
		started.follower.store = b.store
		Expect(started.read()).To(Succeed())
		Expect(inForce(started)).To(Equal(int64(1)), "that's all the store has")
		position := started.members.positions()
		pullFrom(started, former)
		Expect(inForce(started)).To(Equal(int64(3)))
		Expect(started.members.positions()).To(Equal(position))
		Expect(b.read()).To(Succeed())
		other := newFixture()
		other.follower.store = b.store
		Expect(other.read()).To(Succeed())
		pullFrom(other, b)
		Expect(inForce(other)).To(Equal(int64(3)))
	})

	It("isn't asked without a pause when it names no era", func() {
		b.store.records[TopicOperators] = b.store.records[TopicOperators][:1]
		Expect(b.follower.readConfig(context.Background())).To(MatchError(errStoreBehind))
		Expect(inForce(b)).To(Equal(int64(3)))
		for _, version := range []string{"4", "5", "6"} {
			b.store.append(TopicOperators, "config", version)
		}
		Expect(b.follower.readConfig(context.Background())).To(Succeed())
		Expect(inForce(b)).To(Equal(int64(6)))
	})

	It("isn't mistaken for another by daemons that tell no era", func() {
		b.store.append(TopicServers, "e", "1.1.1.5:1")
		Expect(b.read()).To(Succeed())
		reply, err := NewExchange(b.members, Peer{}, nil, nil, b.follower.log).Exchange(context.Background(), &peerrpc.ExchangeRequest{OperatorsNext: 3, ServersNext: 6})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetOperators().GetRecords()).To(BeEmpty())
		Expect(reply.GetServers().GetRecords()).To(HaveLen(1))
		b.store.restoreCopy(3, 6)
		Expect(b.read()).To(Succeed())
		NewExchange(b.members, Peer{}, nil, nil, b.follower.log).mergeReply(&peerrpc.ExchangeReply{
			Operators: &peerrpc.Topic{Next: 9, Records: []*peerrpc.Record{{Key: "config", Value: []byte("2"), Offset: 8}}},
			Servers:   &peerrpc.Topic{Next: 9, Records: []*peerrpc.Record{{Key: "a", Offset: 8}}},
		}, b.now, "earlier release")
		Expect(inForce(b)).To(Equal(int64(3)))
		Expect(b.ids()).To(ContainElement("a"))
	})
})
