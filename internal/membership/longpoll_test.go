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

// fakeZoneReader reports whether its daemon reads for the zone.
type fakeZoneReader struct{ reads bool }

func (z *fakeZoneReader) Refresh(context.Context, time.Duration) bool { return false }
func (z *fakeZoneReader) ReadsForZone() bool                          { return z.reads }
func (z *fakeZoneReader) ReadsDirectly() bool                         { return z.reads }

var _ = Describe("long polls for configurations", func() {
	var b *fixture
	var zone *fakeZoneReader
	BeforeEach(func() {
		b, zone = newFixture(), &fakeZoneReader{reads: true}
		b.follower.zone = zone
		b.store.append(TopicOperators, "config", "1")
		Expect(b.read()).To(Succeed())
		Expect(b.follower.restartRead).To(Receive(), "the store became reachable")
	})

	It("wait some seconds at the zone's reader, and up to the store's limit at the other daemons", func() {
		Expect(b.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
		zone.reads = false
		Expect(b.follower.configPollTimeout()).To(Equal(maxConfigPollTimeout))
	})

	It("are shortened for a while after the records are no longer in the store", func() {
		b.store.first[TopicOperators] = 1
		b.store.append(TopicOperators, "config", "2")
		b.members.operators.next = 0
		Expect(b.read()).To(Succeed())
		Expect(b.follower.configPollTimeout()).To(Equal(longpoll.UntrustedWait))
		Expect(b.logs.AllEntries()).To(ContainElement(HaveField("Message", ContainSubstring("not trusted"))))
		b.now = b.now.Add(time.Minute)
		Expect(b.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
	})

	It("are restarted when a peer is ahead, unless the read catches up by itself", func() {
		b.follower.readPosition.Store(1)
		b.follower.handlePeerAhead(1)
		Consistently(b.follower.restartRead, 2*longpoll.PeerAheadGrace).ShouldNot(Receive())
		b.members.onPeerAhead(2)
		Eventually(b.follower.restartRead, "5s").Should(Receive())
		Expect(b.follower.configPollTimeout()).To(Equal(longpoll.UntrustedWait))
	})

	It("confirm the configuration as of the last successful read, here or at a peer that knows as much", func() {
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

	It("aren't shortened after one was interrupted to restart", func() {
		blocked := &blockingStore{fakeStore: b.store}
		b.follower.store = blocked
		signal(b.follower.restartRead)
		Expect(b.follower.readConfig(context.Background())).To(MatchError(errReadRestarted))
		Expect(b.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
	})
})

// blockingStore blocks reads until their context ends.
type blockingStore struct{ *fakeStore }

func (s *blockingStore) Read(ctx context.Context, _ Topic, _ storelog.Position, _ time.Duration) ([]Record, storelog.Position, error) {
	<-ctx.Done()
	return nil, 0, errors.New("canceled")
}
