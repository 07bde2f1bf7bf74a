package dispatch

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// arrival is a request of a simulated customer.
type arrival struct {
	at       time.Duration
	customer string
	isRetry  bool
}

// arrivals is a heap with the earliest arrival first.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// admissionSim simulates customers that share one service, on a fake clock. Admitted requests
// hold a slot for a fixed duration; refused ones are retried once, after the hinted delay.
type admissionSim struct {
	*fixture
	route     string
	service   string
	slots     int
	duration  time.Duration
	releases  []slotRelease
	pending   arrivals
	requested map[string]int
	served    map[string]int
	// servedFirst counts those served without a prior refusal.
	servedFirst map[string]int
}

type slotRelease struct {
	at       time.Duration
	server   string
	customer string
}

const simServers = 4

// newAdmissionSim returns a simulation of a service with one group of ranks.
func newAdmissionSim(slots int, duration time.Duration) *admissionSim {
	s := &admissionSim{fixture: newFixture(), route: "stream", service: "model", slots: slots, duration: duration, requested: map[string]int{}, served: map[string]int{}, servedFirst: map[string]int{}}
	random := rand.New(rand.NewPCG(1, 2))
	s.balancer.random = random.IntN
	var servers []*fleet.Server
	for i := range simServers {
		servers = append(servers, &fleet.Server{
			ID: "r" + strconv.Itoa(i), Service: "model", Capacity: slots / simServers,
			Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: i, Size: simServers, Open: true},
		})
	}
	s.fleet.setServers(servers...)
	return s
}

// addRequests adds evenly spaced requests of a customer.
func (s *admissionSim) addRequests(customer string, perSecond, seconds int) {
	for i := range perSecond * seconds {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		s.pending = append(s.pending, arrival{at: at, customer: customer})
		s.requested[customer]++
	}
}

func (s *admissionSim) run() {
	start := s.now
	heap.Init(&s.pending)
	for len(s.pending) > 0 {
		next := heap.Pop(&s.pending).(arrival)
		s.releaseUntil(next.at)
		s.now = start.Add(next.at)
		s.handle(next)
	}
}

func (s *admissionSim) releaseUntil(at time.Duration) {
	for len(s.releases) > 0 && s.releases[0].at <= at {
		s.balancer.RequestEnded(s.releases[0].server, &Request{})
		s.balancer.releaseSlot(s.service, s.releases[0].customer)
		s.releases = s.releases[1:]
	}
}

func (s *admissionSim) handle(a arrival) {
	route := s.fleet.Config().Route("h.example", "/"+s.route+"/x")
	r := s.request(s.route, 8*time.Second)
	r.Customer = a.customer
	x := &exchange{Target: Target{Route: route, Service: s.service, Deadline: s.now.Add(8 * time.Second)}, request: r, route: route, caller: newCallerResponse(nil, r, false)}
	server, f := s.pipeline.selectServer(context.Background(), x)
	if f == nil {
		s.balancer.RequestSent(server.ID, r, s.now)
		s.releases = append(s.releases, slotRelease{at: a.at + s.duration, server: server.ID, customer: a.customer})
		s.served[a.customer]++
		if !a.isRetry {
			s.servedFirst[a.customer]++
		}
		return
	}
	Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
	if !a.isRetry {
		heap.Push(&s.pending, arrival{at: a.at + f.RetryAfter, customer: a.customer, isRetry: true})
	}
}

// servedFraction returns the fraction of a customer's requests that were served.
func (s *admissionSim) servedFraction(customer string) float64 {
	return float64(s.served[customer]) / float64(s.requested[customer])
}

var _ = Describe("fair admission of customers", func() {
	const seconds = 40

	It("serves other customers when one sends fifty times as much", func() {
		c := newAdmissionSim(40, 2*time.Second) // 20 requests per second
		c.addRequests("flood", 50, seconds)
		for i := range 9 {
			c.addRequests("c"+strconv.Itoa(i), 1, seconds)
		}
		c.run()
		servedFirst := 0
		for i := range 9 {
			name := "c" + strconv.Itoa(i)
			Expect(c.servedFraction(name)).To(BeNumerically(">=", 0.95), name)
			servedFirst += c.servedFirst[name]
		}
		Expect(float64(servedFirst)/(9*seconds)).To(BeNumerically(">=", 0.6), "served without a prior refusal")
		Expect(c.servedFraction("flood")).To(BeNumerically(">=", 0.15), "remaining capacity")
	})

	It("gives the smaller of two customers at least 30% of the served requests, whatever load the other sends", func() {
		for _, perSecond := range []int{60, 200} {
			c := newAdmissionSim(40, 2*time.Second)
			c.addRequests("large", perSecond, seconds)
			c.addRequests("small", 15, seconds)
			c.run()
			large, small := float64(c.served["large"]), float64(c.served["small"])
			Expect(small/(large+small)).To(BeNumerically(">=", 0.3), "against %d per second", perSecond)
		}
	})

	It("applies to services without groups and refuses no other customer", func() {
		c := newAdmissionSim(12, 20*time.Millisecond)
		c.route, c.service = "again", "plain"
		c.fleet.setServers(&fleet.Server{ID: "a", Service: "plain", Capacity: 6}, &fleet.Server{ID: "b", Service: "plain", Capacity: 6})
		c.addRequests("flood", 3000, 4) // 60 in progress for 12 slots
		for i := range 3 {
			c.addRequests("c"+strconv.Itoa(i), 50, 4)
		}
		c.run()
		for i := range 3 {
			Expect(c.servedFraction("c" + strconv.Itoa(i))).To(Equal(1.0))
		}
		Expect(c.servedFraction("flood")).To(BeNumerically("<", 0.6))
	})

	It("refuses no customer below capacity", func() {
		c := newAdmissionSim(40, 2*time.Second)
		c.addRequests("only", 15, seconds)
		c.addRequests("rare", 1, seconds)
		c.run()
		Expect(c.servedFraction("only")).To(Equal(1.0))
		Expect(c.servedFraction("rare")).To(Equal(1.0))
	})

	It("counts a customer that was dropped between its request and its admission", func() {
		usage := newServiceUsage()
		now := time.Unix(1000, 0)
		usage.recordRequest("paused", now)
		usage.recordRequest("other", now.Add(activeWindow+time.Millisecond))
		Expect(usage.customers).NotTo(HaveKey("paused"))
		usage.acquireSlot("paused")
		Expect(usage.inFlight).To(Equal(1))
		usage.releaseSlot("paused")
		Expect(usage.inFlight).To(BeZero())
	})

	It("drops inactive customers", func() {
		usage := newServiceUsage()
		now := time.Unix(1000, 0)
		for i := range 1000 {
			usage.recordRequest(strconv.Itoa(i), now)
		}
		usage.recordRequest("last", now.Add(activeWindow+time.Millisecond))
		Expect(usage.customers).To(HaveLen(1))
	})
})
