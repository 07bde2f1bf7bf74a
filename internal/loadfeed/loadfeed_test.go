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

// fakeBalancer records reports.
type fakeBalancer struct {
	mu      sync.Mutex
	loads   map[string]dispatch.Load
	groups  []fleet.GroupRank
	engines map[string]bool
}

func (b *fakeBalancer) SetEngineReachable(server string, reachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[server] = reachable
}

// engineReachable returns the last reported reachability of an engine, if any.
func (b *fakeBalancer) engineReachable(server string) (reachable, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	reachable, known = b.engines[server]
	return reachable, known
}

func (b *fakeBalancer) UpdateLoad(id string, load dispatch.Load, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads[id] = load
}

func (b *fakeBalancer) UpdateGroup(rank fleet.GroupRank, _ time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.groups = append(b.groups, rank)
}

func (b *fakeBalancer) load(id string) dispatch.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.loads[id]
}

func (b *fakeBalancer) reportedGroups() []fleet.GroupRank {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]fleet.GroupRank(nil), b.groups...)
}

func newFakeBalancer() *fakeBalancer {
	return &fakeBalancer{loads: map[string]dispatch.Load{}, engines: map[string]bool{}}
}

// newTestReceiver returns a receiver that forwards all reports to the balancer.
func newTestReceiver(balancer *fakeBalancer) *Receiver {
	logger, _ := logrustest.NewNullLogger()
	return NewReceiver(registered, balancer, balancer, func() time.Time { return time.Unix(1000, 0) }, logrus.NewEntry(logger))
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

	It("delivers an engine's load and group state, and ignores invalid datagrams", func() {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		balancer := newFakeBalancer()
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- newTestReceiver(balancer).Serve(ctx, conn) }()
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
			now = now.Add(refreshInterval) // resends after a lost datagram
			Expect(sender.Send(now, report, []netip.Addr{to.Addr()})).To(Succeed())
			return balancer.load("r0")
		}, "10s").Should(Equal(dispatch.Load{Running: 4, Waiting: 1, Slowdown: 1.5}))
		Eventually(balancer.reportedGroups, "10s").Should(ContainElement(fleet.GroupRank{Group: "g", Epoch: 3, Size: 2, Open: true}))
		reachable, _ := balancer.engineReachable("r0")
		Expect(reachable).To(BeTrue())
		Eventually(func() bool {
			Expect(sender.SendExited(now, []netip.Addr{to.Addr()})).To(Succeed())
			now = now.Add(refreshInterval)
			reachable, _ := balancer.engineReachable("r0")
			return reachable
		}, "10s").Should(BeFalse())
		Expect(balancer.load("r0")).To(Equal(dispatch.Load{Running: 4, Waiting: 1, Slowdown: 1.5}), "the load is unchanged")
	})

	It("reports immediately that an engine has exited and that it is back", func() {
		sender, err := NewSender("127.0.0.1", engineAddress, 9)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
		now := time.Unix(1000, 0)
		Expect(sender.Send(now, report, nil)).To(Succeed())
		Expect(sender.SendExited(now, nil)).To(Succeed())
		Expect(sender.exitSentAt).To(Equal(now))
		Expect(sender.SendExited(now.Add(refreshInterval/2), nil)).To(Succeed())
		Expect(sender.exitSentAt).To(Equal(now), "sent once per refresh interval")
		now = now.Add(time.Millisecond)
		Expect(sender.Send(now, report, nil)).To(Succeed())
		Expect(sender.reportSentAt).To(Equal(now))
	})

	It("sends changed reports immediately and unchanged ones at intervals", func() {
		sender, err := NewSender("127.0.0.1", engineAddress, 9)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(sender.Close)
		now := time.Unix(1000, 0)
		sent := func() bool {
			before := sender.reportSentAt
			Expect(sender.Send(now, report, nil)).To(Succeed())
			return sender.reportSentAt != before
		}
		Expect(sent()).To(BeTrue())
		now = now.Add(refreshInterval / 2)
		Expect(sent()).To(BeFalse())
		report.Running++
		Expect(sent()).To(BeTrue())
		now = now.Add(refreshInterval)
		Expect(sent()).To(BeTrue())
	})

	It("ignores stale reports and the load of another incarnation", func() {
		balancer := newFakeBalancer()
		r := newTestReceiver(balancer)
		receive := func(sequence, born, running int64, ended bool) {
			r.handle(&peerrpc.LoadReport{
				Address: "10.0.0.3:80", Sender: 1, Look: sequence, Born: born, Running: int32(running), Ended: ended, Group: "g", Epoch: 1,
			})
		}
		receive(2, 5, 4, false)
		receive(1, 5, 9, true)
		Expect(balancer.load("again@5").Running).To(Equal(4))
		reachable, _ := balancer.engineReachable("again@5")
		Expect(reachable).To(BeTrue(), "the exit report is stale")
		receive(3, 4, 7, false) // lower because the clock was stepped back
		Expect(balancer.load("again@5").Running).To(Equal(4))
		reachable, _ = balancer.engineReachable("again@5")
		Expect(reachable).To(BeFalse())
		Expect(balancer.reportedGroups()).To(HaveLen(2), "its group state is accepted")
	})

	It("accepts group states from registered ranks only", func() {
		for _, foreign := range []*peerrpc.LoadReport{
			{Address: "10.0.0.9:80", Group: "g", Epoch: 99},
			{Address: "10.0.0.2:80", Group: "g", Epoch: 99},
			{Address: engineAddress, Group: "other", Epoch: 99},
		} {
			balancer := newFakeBalancer()
			newTestReceiver(balancer).handle(foreign)
			Expect(balancer.groups).To(BeEmpty())
		}
	})
})

// FuzzReport checks that no datagram causes a panic or a negative load.
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
		balancer := newFakeBalancer()
		newTestReceiver(balancer).handle(&report)
		for id, load := range balancer.loads {
			if load.Running < 0 || load.Waiting < 0 {
				t.Fatalf("%s: %+v", id, load)
			}
		}
	})
}
