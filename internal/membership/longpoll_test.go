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
	var f *fixture
	var zone *fakeZoneReader
	BeforeEach(func() {
		f, zone = newFixture(), &fakeZoneReader{reads: true}
		f.follower.zone = zone
		f.store.append(TopicOperators, "config", "1")
		Expect(f.read()).To(Succeed())
		Expect(f.follower.restartRead).To(Receive(), "the store became reachable")
	})

	It("wait some seconds at the zone's reader, and up to the store's limit at the other daemons", func() {
		Expect(f.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
		zone.reads = false
		Expect(f.follower.configPollTimeout()).To(Equal(maxConfigPollTimeout))
	})

	It("are shortened for a while after the records are no longer in the store", func() {
		f.store.first[TopicOperators] = 1
		f.store.append(TopicOperators, "config", "2")
		f.members.operators.next = 0
		Expect(f.read()).To(Succeed())
		Expect(f.follower.configPollTimeout()).To(Equal(longpoll.UntrustedWait))
		Expect(f.logs.AllEntries()).To(ContainElement(HaveField("Message", ContainSubstring("not trusted"))))
		f.now = f.now.Add(time.Minute)
		Expect(f.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
	})

	It("are restarted when a peer is ahead, unless the read catches up by itself", func() {
		f.follower.readPosition.Store(1)
		f.follower.handlePeerAhead(1)
		Consistently(f.follower.restartRead, 2*longpoll.PeerAheadGrace).ShouldNot(Receive())
		f.members.onPeerAhead(2)
		Eventually(f.follower.restartRead, "5s").Should(Receive())
		Expect(f.follower.configPollTimeout()).To(Equal(longpoll.UntrustedWait))
	})

	It("confirm the configuration as of the last successful read, here or at a peer that knows as much", func() {
		f.now = f.now.Add(4 * time.Second)
		Expect(f.members.ConfigAge()).To(Equal(4 * time.Second))
		other := newFixture()
		other.store = f.store
		other.follower.store = f.store
		other.now = f.now
		Expect(other.read()).To(Succeed())
		other.now = other.now.Add(time.Second)
		reply, err := NewExchange(other.members, Peer{}, nil, nil, other.follower.log).Exchange(context.Background(), &peerrpc.ExchangeRequest{OperatorsNext: 1})
		Expect(err).NotTo(HaveOccurred())
		f.now = other.now
		NewExchange(f.members, Peer{}, nil, nil, f.follower.log).mergeReply(reply, f.now, "peer")
		Expect(f.members.ConfigAge()).To(BeNumerically("~", time.Second, 2*time.Millisecond))
	})

	It("aren't shortened after one was interrupted to restart", func() {
		blocked := &blockingStore{fakeStore: f.store}
		f.follower.store = blocked
		signal(f.follower.restartRead)
		Expect(f.follower.readConfig(context.Background())).To(MatchError(errReadRestarted))
		Expect(f.follower.configPollTimeout()).To(Equal(readerConfigPollTimeout))
	})
})

// blockingStore blocks reads until their context ends.
type blockingStore struct{ *fakeStore }

func (s *blockingStore) Read(ctx context.Context, _ Topic, _ storelog.Position, _ time.Duration) ([]Record, storelog.Position, error) {
	<-ctx.Done()
	return nil, 0, errors.New("canceled")
}
