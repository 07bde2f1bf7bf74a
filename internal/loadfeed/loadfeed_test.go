package loadfeed

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/protobuf/proto"
)

func TestLoadfeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadfeed")
}

// fakeBoard remembers what it was told.
type fakeBoard struct {
	mu      sync.Mutex
	loads   map[string]dispatch.Load
	groups  []fleet.GroupRank
	engines map[string]bool
}

func (b *fakeBoard) SetEngineReachable(server string, answers bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[server] = answers
}

// engineAnswers tells what was said last of an engine, and whether anything was.
func (b *fakeBoard) engineAnswers(server string) (answers, told bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	answers, told = b.engines[server]
	return answers, told
}

func (b *fakeBoard) UpdateLoad(id string, load dispatch.Load, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[id] = load
}

func (b *fakeBoard) UpdateGroup(rank fleet.GroupRank, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups = append(b.groups, rank)
}

func (b *fakeBoard) load(id string) dispatch.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loads[id]
}

func (b *fakeBoard) reportedGroups() []fleet.GroupRank {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]fleet.GroupRank(nil), b.groups...)
}

func newFakeBoard() *fakeBoard {
	return &fakeBoard{loads: map[string]dispatch.Load{}, engines: map[string]bool{}}
}

// receiver is one that a board takes all of.
func receiver(board *fakeBoard) *Receiver {
	logger, _ := logrustest.NewNullLogger()
	return NewReceiver(registered, board, board, func() time.Time { return time.Unix(1000, 0) }, logrus.NewEntry(logger))
}

const engineAddress = "10.0.0.1:80"

func registered() *fleet.Servers {
	return fleet.NewServers([]*fleet.Server{
		{ID: "r0", Address: engineAddress, Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Open: true}},
		{ID: "plain", Address: "10.0.0.2:80"},
		{ID: "again", Address: "10.0.0.3:80", Incarnation: "again@5", StartID: 5, Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Open: true}},
	})
}

var _ = Describe("the load feed", func() {
	report := experts.RankReport{Group: "g", Epoch: 3, Size: 2, Open: true, Running: 4, Queued: 1, Slowdown: 1.5}

	It("tells entries an engine's load and group, and outlives datagrams that aren't reports", func() {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		board := newFakeBoard()
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- receiver(board).Serve(ctx, conn) }()
		DeferCleanup(func() {
			stop()
			Expect(<-ended).NotTo(HaveOccurred())
		})
		to := conn.LocalAddr().(*net.UDPAddr).AddrPort()
		sender, err := NewSender("127.0.0.1", engineAddress, to.Port())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
		_, err = sender.conn.WriteTo([]byte("rubbish"), conn.LocalAddr())
		Expect(err).NotTo(HaveOccurred())
		now := time.Unix(1000, 0)
		Eventually(func() dispatch.Load {
			now = now.Add(refresh) // a lost datagram is made good by the next
			Expect(sender.Send(now, report, []netip.Addr{to.Addr()})).To(Succeed())
			return board.load("r0")
		}, "10s").Should(Equal(dispatch.Load{Running: 4, Waiting: 1, Slowdown: 1.5}))
		Eventually(board.reportedGroups, "10s").Should(ContainElement(fleet.GroupRank{Group: "g", Epoch: 3, Size: 2, Open: true}))
		answers, _ := board.engineAnswers("r0")
		Expect(answers).To(BeTrue())
		Eventually(func() bool {
			Expect(sender.SendExited(now, []netip.Addr{to.Addr()})).To(Succeed())
			now = now.Add(refresh)
			answers, _ := board.engineAnswers("r0")
			return answers
		}, "10s").Should(BeFalse())
		Expect(board.load("r0")).To(Equal(dispatch.Load{Running: 4, Waiting: 1, Slowdown: 1.5}), "no news of its load")
	})

	It("tells at once that an engine is gone, and that it's back", func() {
		sender, err := NewSender("127.0.0.1", engineAddress, 9)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
		now := time.Unix(1000, 0)
		Expect(sender.Send(now, report, nil)).To(Succeed())
		Expect(sender.SendExited(now, nil)).To(Succeed())
		Expect(sender.endedAt).To(Equal(now))
		Expect(sender.SendExited(now.Add(refresh/2), nil)).To(Succeed())
		Expect(sender.endedAt).To(Equal(now), "told once each refresh")
		now = now.Add(time.Millisecond)
		Expect(sender.Send(now, report, nil)).To(Succeed())
		Expect(sender.sentAt).To(Equal(now))
	})

	It("sends what has changed, and now and then what hasn't", func() {
		sender, err := NewSender("127.0.0.1", engineAddress, 9)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
		now := time.Unix(1000, 0)
		sent := func() bool {
			before := sender.sentAt
			Expect(sender.Send(now, report, nil)).To(Succeed())
			return sender.sentAt != before
		}
		Expect(sent()).To(BeTrue())
		now = now.Add(refresh / 2)
		Expect(sent()).To(BeFalse())
		report.Running++
		Expect(sent()).To(BeTrue())
		now = now.Add(refresh)
		Expect(sent()).To(BeTrue())
	})

	It("takes nothing that comes late, nor the next start's load for the former one's", func() {
		board := newFakeBoard()
		r := receiver(board)
		tell := func(look, born, running int64, ended bool) {
			r.take(&peerrpc.LoadReport{
				Address: "10.0.0.3:80", Sender: 1, Look: look, Born: born, Running: int32(running), Ended: ended, Group: "g", Epoch: 1,
			})
		}
		tell(2, 5, 4, false)
		tell(1, 5, 9, true)
		Expect(board.load("again@5").Running).To(Equal(4))
		answers, _ := board.engineAnswers("again@5")
		Expect(answers).To(BeTrue(), "it ended before, not after")
		tell(3, 4, 7, false) // a lower time of birth: the clock was stepped back
		Expect(board.load("again@5").Running).To(Equal(4))
		answers, _ = board.engineAnswers("again@5")
		Expect(answers).To(BeFalse())
		Expect(board.reportedGroups()).To(HaveLen(2), "what it says of the group counts")
	})

	It("believes reports of a group from its own ranks only", func() {
		for _, stranger := range []*peerrpc.LoadReport{
			{Address: "10.0.0.9:80", Group: "g", Epoch: 99},
			{Address: "10.0.0.2:80", Group: "g", Epoch: 99},
			{Address: engineAddress, Group: "other", Epoch: 99},
		} {
			board := newFakeBoard()
			receiver(board).take(stranger)
			Expect(board.groups).To(BeEmpty())
		}
	})
})

// FuzzReport: no datagram makes the receiver panic or report a negative load.
func FuzzReport(f *testing.F) {
	good, err := proto.Marshal(&peerrpc.LoadReport{Address: engineAddress, Running: -3, Group: "g"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, data []byte) {
		var report peerrpc.LoadReport
		if proto.Unmarshal(data, &report) != nil {
			return
		}
		board := newFakeBoard()
		receiver(board).take(&report)
		for id, load := range board.loads {
			if load.Running < 0 || load.Waiting < 0 {
				t.Fatalf("%s: %+v", id, load)
			}
		}
	})
}
