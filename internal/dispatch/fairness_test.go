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

// arrival is a customer's request in a crowd.
type arrival struct {
	at       time.Duration
	customer string
	repeated bool
}

// arrivals are a heap, the earliest first.
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

// crowd plays customers who share one service, on a clock of its own: each
// admitted request holds a place for a while, each refused one comes back once, when
// it was told to.
type crowd struct {
	*bench
	route   string
	service string
	places  int
	lasts   time.Duration
	ends    []placeEnd
	waiting arrivals
	asked   map[string]int
	served  map[string]int
	// atOnce are those that were served without having been refused before.
	atOnce map[string]int
}

type placeEnd struct {
	at       time.Duration
	server   string
	customer string
}

const crowdServers = 4

// newCrowd returns customers of a group of ranks.
func newCrowd(places int, lasts time.Duration) *crowd {
	c := &crowd{bench: newBench(), route: "stream", service: "model", places: places, lasts: lasts, asked: map[string]int{}, served: map[string]int{}, atOnce: map[string]int{}}
	random := rand.New(rand.NewPCG(1, 2))
	c.board.random = random.IntN
	var servers []*fleet.Server
	for i := range crowdServers {
		servers = append(servers, &fleet.Server{
			ID: "r" + strconv.Itoa(i), Service: "model", Capacity: places / crowdServers,
			Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: i, Size: crowdServers, Open: true},
		})
	}
	c.world.setServers(servers...)
	return c
}

// comes adds a customer's requests, a second's worth evenly spread.
func (c *crowd) comes(customer string, perSecond, seconds int) {
	for i := range perSecond * seconds {
		at := time.Duration(i) * time.Second / time.Duration(perSecond)
		c.waiting = append(c.waiting, arrival{at: at, customer: customer})
		c.asked[customer]++
	}
}

func (c *crowd) play() {
	start := c.now
	heap.Init(&c.waiting)
	for len(c.waiting) > 0 {
		next := heap.Pop(&c.waiting).(arrival)
		c.endUntil(next.at)
		c.now = start.Add(next.at)
		c.take(next)
	}
}

func (c *crowd) endUntil(at time.Duration) {
	for len(c.ends) > 0 && c.ends[0].at <= at {
		c.board.RequestEnded(c.ends[0].server, &Request{})
		c.board.leftPlace(c.service, c.ends[0].customer)
		c.ends = c.ends[1:]
	}
}

func (c *crowd) take(a arrival) {
	route := c.world.Config().Route("h.example", "/"+c.route+"/x")
	r := c.request(c.route, 8*time.Second)
	r.Customer = a.customer
	x := &exchange{Target: Target{Route: route, Service: c.service, repeated: a.repeated}, request: r, route: route, lastEvent: -1}
	server, f := c.pipeline.choose(context.Background(), x)
	if f == nil {
		c.board.RequestSent(server.ID, r, c.now)
		c.ends = append(c.ends, placeEnd{at: a.at + c.lasts, server: server.ID, customer: a.customer})
		c.served[a.customer]++
		if !a.repeated {
			c.atOnce[a.customer]++
		}
		return
	}
	Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
	if !a.repeated {
		heap.Push(&c.waiting, arrival{at: a.at + f.RetryAfter, customer: a.customer, repeated: true})
	}
}

// servedPart is the part of a customer's requests that were served.
func (c *crowd) servedPart(customer string) float64 {
	return float64(c.served[customer]) / float64(c.asked[customer])
}

var _ = Describe("admission between customers", func() {
	const seconds = 40

	It("leaves the others their places when one sends fifty times as much", func() {
		c := newCrowd(40, 2*time.Second) // 20 requests a second
		c.comes("flood", 50, seconds)
		for i := range 9 {
			c.comes("c"+strconv.Itoa(i), 1, seconds)
		}
		c.play()
		atOnce := 0
		for i := range 9 {
			name := "c" + strconv.Itoa(i)
			Expect(c.servedPart(name)).To(BeNumerically(">=", 0.95), name)
			atOnce += c.atOnce[name]
		}
		Expect(float64(atOnce)/(9*seconds)).To(BeNumerically(">=", 0.6), "served without a refusal first")
		Expect(c.servedPart("flood")).To(BeNumerically(">=", 0.15), "what the others leave")
	})

	It("leaves about a third to one of two, however much the other sends", func() {
		for _, much := range []int{60, 200} {
			c := newCrowd(40, 2*time.Second)
			c.comes("large", much, seconds)
			c.comes("small", 15, seconds)
			c.play()
			large, small := float64(c.served["large"]), float64(c.served["small"])
			Expect(small/(large+small)).To(BeNumerically(">=", 0.3), "against %d a second", much)
		}
	})

	It("holds at plain services too, where nobody else is refused", func() {
		c := newCrowd(12, 20*time.Millisecond)
		c.route, c.service = "again", "plain"
		c.world.setServers(&fleet.Server{ID: "a", Service: "plain", Capacity: 6}, &fleet.Server{ID: "b", Service: "plain", Capacity: 6})
		c.comes("flood", 3000, 4) // 60 at once at 12 places
		for i := range 3 {
			c.comes("c"+strconv.Itoa(i), 50, 4)
		}
		c.play()
		for i := range 3 {
			Expect(c.servedPart("c" + strconv.Itoa(i))).To(Equal(1.0))
		}
		Expect(c.servedPart("flood")).To(BeNumerically("<", 0.6))
	})

	It("bounds nobody while there is room", func() {
		c := newCrowd(40, 2*time.Second)
		c.comes("only", 15, seconds)
		c.comes("rare", 1, seconds)
		c.play()
		Expect(c.servedPart("only")).To(Equal(1.0))
		Expect(c.servedPart("rare")).To(Equal(1.0))
	})

	It("counts a customer that was forgotten between its question and its place", func() {
		shares := newCustomerShares()
		now := time.Unix(1000, 0)
		shares.asked("paused", now)
		shares.asked("other", now.Add(askedLately+time.Millisecond))
		Expect(shares.customers).NotTo(HaveKey("paused"))
		shares.began("paused")
		Expect(shares.inFlight).To(Equal(1))
		shares.ended("paused")
		Expect(shares.inFlight).To(BeZero())
	})

	It("forgets customers that are gone", func() {
		shares := newCustomerShares()
		now := time.Unix(1000, 0)
		for i := range 1000 {
			shares.asked(strconv.Itoa(i), now)
		}
		shares.asked("last", now.Add(askedLately+time.Millisecond))
		Expect(shares.customers).To(HaveLen(1))
	})
})
