package membership

import (
	"context"
	"errors"
	"time"

	"github.com/crowbridge/crowbridge/internal/longpoll"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeZone is the zone of a daemon that reads for it, or doesn't.
type fakeZoneReader struct{ reads bool }

func (z *fakeZoneReader) Refresh(context.Context, time.Duration) bool { return false }
func (z *fakeZoneReader) ReadsForZone() bool                          { return z.reads }
func (z *fakeZoneReader) ReadsDirectly() bool                         { return z.reads }

var _ = Describe("the store's silence about configurations", func() {
	var b *fixture
	var zone *fakeZoneReader
	BeforeEach(func() {
		b, zone = newFixture(), &fakeZoneReader{reads: true}
		b.follower.zone = zone
		b.store.append(TopicOperators, "config", "1")
		Expect(b.read()).To(Succeed())
		Expect(b.follower.restartRead).To(Receive(), "the store has been reached")
	})

	It("is believed for some seconds by who reads for a zone, and for as long as the store allows by the others", func() {
		Expect(b.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
		zone.reads = false
		Expect(b.follower.configPollTimeout()).To(Equal(maxConfigPollTimeout))
	})

	It("isn't believed for a while after the history has gone", func() {
		b.store.first[TopicOperators] = 1
		b.store.append(TopicOperators, "config", "2")
		b.members.operators.next = 0
		Expect(b.read()).To(Succeed())
		Expect(b.follower.configPollTimeout()).To(Equal(longpoll.UntrustedWait))
		Expect(b.logs.AllEntries()).To(ContainElement(HaveField("Message", ContainSubstring("isn't believed"))))
		b.now = b.now.Add(time.Minute)
		Expect(b.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
	})

	It("is broken by another daemon that knows more, unless the own read hears of it too", func() {
		b.follower.readPosition.Store(1)
		b.follower.handlePeerAhead(1)
		Consistently(b.follower.restartRead, 2*longpoll.PeerAheadGrace).ShouldNot(Receive())
		b.members.onPeerAhead(2)
		Eventually(b.follower.restartRead, "5s").Should(Receive())
		Expect(b.follower.configPollTimeout()).To(Equal(longpoll.UntrustedWait))
	})

	It("is as old as the read that was answered last, or as a peer's that knows as much", func() {
		b.now = b.now.Add(4 * time.Second)
		Expect(b.members.ConfigAge()).To(Equal(4 * time.Second))
		other := newFixture()
		other.store = b.store
		other.follower.store = b.store
		other.now = b.now
		Expect(other.read()).To(Succeed())
		other.now = other.now.Add(time.Second)
		reply, err := NewExchange(other.members, Peer{}, nil, nil, other.follower.log).Exchange(context.Background(), &peerrpc.ExchangeRequest{OperatorsNext: 1})
		Expect(err).NotTo(HaveOccurred())
		b.now = other.now
		NewExchange(b.members, Peer{}, nil, nil, b.follower.log).mergeReply(reply, b.now, "peer")
		Expect(b.members.ConfigAge()).To(BeNumerically("~", time.Second, 2*time.Millisecond))
	})

	It("isn't taken for a failure by a read that is woken", func() {
		blocked := &blockingStore{fakeStore: b.store}
		b.follower.store = blocked
		signal(b.follower.restartRead)
		Expect(b.follower.readConfig(context.Background())).To(MatchError(errReadRestarted))
		Expect(b.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
	})
})

// blockingStore answers no read before its context ends.
type blockingStore struct{ *fakeStore }

func (s *blockingStore) Read(ctx context.Context, _ Topic, _ storelog.Position, _ time.Duration) ([]Record, storelog.Position, error) {
	<-ctx.Done()
	return nil, 0, errors.New("canceled")
}
