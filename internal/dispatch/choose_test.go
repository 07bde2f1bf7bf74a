package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

var _ = Describe("choosing a server", func() {
	It("selects the server with the least load and never a leaving one", func() {
		b := newFixture()
		b.balancer.UpdateLoad("a", Load{Running: 5}, b.now)
		servers := []*fleet.Server{
			{ID: "a", Zone: "z1", Rank: &fleet.GroupRank{}},
			{ID: "b", Zone: "z1", Rank: &fleet.GroupRank{}},
			{ID: "c", Zone: "z1", Leaving: true},
		}
		Expect(b.balancer.Choose(b.now, servers, &Request{}, nil).Server.ID).To(Equal("b"))
		Expect(b.balancer.Choose(b.now, servers, &Request{}, []string{"b"}).Server.ID).To(Equal("a"))
		Expect(b.balancer.Choose(b.now, servers, &Request{}, []string{"a", "b"}).Server).To(BeNil())
	})

	It("spreads requests over servers with similar load reports", func() {
		b := newFixture()
		var servers []*fleet.Server
		for i := range 40 {
			id := fmt.Sprint("s", i)
			servers = append(servers, &fleet.Server{ID: id, Zone: "z1", Capacity: 10, Rank: &fleet.GroupRank{}})
			b.balancer.UpdateLoad(id, Load{Running: 5 + i%3}, b.now)
		}
		random := rand.New(rand.NewPCG(1, 1))
		b.balancer.random = random.IntN
		chosen := map[string]int{}
		for range 400 {
			chosen[b.balancer.Choose(b.now, servers, &Request{}, nil).Server.ID]++
		}
		for id, n := range chosen {
			Expect(n).To(BeNumerically("<", 50), id)
		}
		Expect(len(chosen)).To(BeNumerically(">", 13))
	})

	It("selects no server in backoff while another is healthy", func() {
		b := newFixture()
		var servers []*fleet.Server
		for i := range 12 {
			servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Zone: "z1"})
			if i < 11 {
				b.balancer.RecordFailure(fmt.Sprint("s", i), b.now)
			}
		}
		Expect(b.balancer.Choose(b.now, servers, &Request{}, nil).Server.ID).To(Equal("s11"))
	})

	It("prefers its own zone until the servers there are clearly busier", func() {
		b := newFixture()
		random := rand.New(rand.NewPCG(1, 1))
		b.balancer.random = random.IntN
		var servers []*fleet.Server
		for i := range 12 {
			servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Capacity: 12, Rank: &fleet.GroupRank{}})
		}
		// localFraction returns the fraction of choices in zone z1 while its servers have more
		// requests than the others; loads vary by one.
		localFraction := func(more int) float64 {
			local := 0
			const choices = 600
			for range choices {
				b.now = b.now.Add(time.Second)
				for i, server := range servers {
					running := 4 + (i+random.IntN(2))%2
					if server.Zone == "z1" {
						running += more
					}
					b.balancer.UpdateLoad(server.ID, Load{Running: running}, b.now)
				}
				if b.balancer.Choose(b.now, servers, &Request{}, nil).Server.Zone == "z1" {
					local++
				}
			}
			return float64(local) / choices
		}
		Expect(localFraction(0)).To(BeNumerically(">", 0.95), "equal load")
		Expect(localFraction(4)).To(BeNumerically("<", 0.05))
	})

	It("avoids ranks on unresponsive VMs while the others can take over their work", func() {
		b := newFixture()
		var servers []*fleet.Server
		rank := func(i int) fleet.GroupRank { return fleet.GroupRank{Group: "g", Epoch: 1, Rank: i, Open: true} }
		report := func(from, to int) {
			for i := from; i < to; i++ {
				b.balancer.UpdateLoad(fmt.Sprint("s", i), Load{Running: 6}, b.now)
				b.balancer.UpdateGroup(rank(i), b.now)
			}
		}
		for i := range 12 {
			self := rank(i)
			servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Zone: "z1", Capacity: 12, Rank: &self})
		}
		b.balancer.random = rand.New(rand.NewPCG(1, 1)).IntN
		countChosen := func() (unresponsive int) {
			for range 200 {
				if id := b.balancer.Choose(b.now, servers, &Request{}, nil).Server.ID; id == "s0" || id == "s1" {
					unresponsive++
				}
			}
			return unresponsive
		}
		report(0, 12)
		Expect(countChosen()).To(BeNumerically(">", 10))
		b.now = b.now.Add(unresponsiveAfter)
		report(2, 12)
		Expect(countChosen()).To(BeZero(), "two of twelve are unresponsive")
		Expect(b.balancer.Choose(b.now, servers, &Request{}, nil).Unresponsive).To(Equal(2))
		b.now = b.now.Add(unresponsiveAfter)
		report(4, 12)
		Expect(countChosen()).To(BeNumerically(">", 10), "four of twelve are too many to avoid")
		b.now = b.now.Add(unresponsiveAfter)
		Expect(countChosen()).To(BeNumerically(">", 10), "no reports at all: this entry may be partitioned")
	})

	It("doesn't apply load or failures of a server's previous incarnation to the next one", func() {
		b := newFixture()
		previous := &fleet.Server{ID: "a", Incarnation: "a@2", Zone: "z1", Capacity: 6}
		restarted := &fleet.Server{ID: "a", Incarnation: "a@1", Zone: "z1", Capacity: 6} // the clock was stepped back
		other := &fleet.Server{ID: "b", Zone: "z1", Capacity: 6}
		b.balancer.RecordFailure(previous.Key(), b.now)
		b.balancer.UpdateLoad(previous.Key(), Load{Running: 6, Waiting: 9, Slowdown: 4}, b.now)
		b.balancer.UpdateLoad(other.Key(), Load{Running: 1}, b.now)
		b.balancer.Prune(fleet.NewServers([]*fleet.Server{restarted, other}), b.now)
		b.balancer.UpdateLoad(previous.Key(), Load{Running: 6, Waiting: 9, Slowdown: 4}, b.now)
		choice := b.balancer.Choose(b.now, []*fleet.Server{restarted, other}, &Request{}, nil)
		Expect(choice.Server).To(BeIdenticalTo(restarted))
		Expect(choice.Load).To(BeZero())
	})

	It("avoids a server that failed until its backoff ends", func() {
		b := newFixture()
		servers := []*fleet.Server{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}}
		b.balancer.RecordFailure("a", b.now)
		Expect(b.balancer.Choose(b.now, servers, &Request{}, nil).Server.ID).To(Equal("b"))
		Expect(b.balancer.Choose(b.now.Add(minBackoff+1), servers, &Request{}, nil).Server.ID).To(Equal("a"))
	})
})
