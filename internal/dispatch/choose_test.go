package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

var _ = Describe("picking", func() {
	It("takes the server with the least load and no leaving one", func() {
		b := newBench()
		b.board.UpdateLoad("a", Load{Running: 5}, b.now)
		servers := []*fleet.Server{
			{ID: "a", Zone: "z1", Rank: &fleet.GroupRank{}},
			{ID: "b", Zone: "z1", Rank: &fleet.GroupRank{}},
			{ID: "c", Zone: "z1", Leaving: true},
		}
		Expect(b.board.Choose(b.now, servers, &Request{}, nil).Server.ID).To(Equal("b"))
		Expect(b.board.Choose(b.now, servers, &Request{}, []string{"b"}).Server.ID).To(Equal("a"))
		Expect(b.board.Choose(b.now, servers, &Request{}, []string{"a", "b"}).Server).To(BeNil())
	})

	It("doesn't send all entries to the server that was least loaded when reports came", func() {
		b := newBench()
		var servers []*fleet.Server
		for i := range 40 {
			id := fmt.Sprint("s", i)
			servers = append(servers, &fleet.Server{ID: id, Zone: "z1", Capacity: 10, Rank: &fleet.GroupRank{}})
			b.board.UpdateLoad(id, Load{Running: 5 + i%3}, b.now)
		}
		random := rand.New(rand.NewPCG(1, 1))
		b.board.random = random.IntN
		chosen := map[string]int{}
		for range 400 {
			chosen[b.board.Choose(b.now, servers, &Request{}, nil).Server.ID]++
		}
		for id, n := range chosen {
			Expect(n).To(BeNumerically("<", 50), id)
		}
		Expect(len(chosen)).To(BeNumerically(">", 13))
	})

	It("draws no server that failed while another is well", func() {
		b := newBench()
		var servers []*fleet.Server
		for i := range 12 {
			servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Zone: "z1"})
			if i < 11 {
				b.board.RecordFailure(fmt.Sprint("s", i), b.now)
			}
		}
		Expect(b.board.Choose(b.now, servers, &Request{}, nil).Server.ID).To(Equal("s11"))
	})

	It("stays in its own zone until the servers there are busier by two requests", func() {
		b := newBench()
		random := rand.New(rand.NewPCG(1, 1))
		b.board.random = random.IntN
		var servers []*fleet.Server
		for i := range 12 {
			servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%3), Capacity: 12, Rank: &fleet.GroupRank{}})
		}
		// near is the part of picks in the own zone, z1, while its servers have more
		// requests than the others'; loads vary by one.
		near := func(more int) float64 {
			own := 0
			const picks = 600
			for range picks {
				b.now = b.now.Add(time.Second)
				for i, server := range servers {
					running := 4 + (i+random.IntN(2))%2
					if server.Zone == "z1" {
						running += more
					}
					b.board.UpdateLoad(server.ID, Load{Running: running}, b.now)
				}
				if b.board.Choose(b.now, servers, &Request{}, nil).Server.Zone == "z1" {
					own++
				}
			}
			return float64(own) / picks
		}
		Expect(near(0)).To(BeNumerically(">", 0.95), "0.53 while another zone cost a quarter of a request")
		Expect(near(4)).To(BeNumerically("<", 0.05))
	})

	It("passes over a rank whose VM has fallen silent, as long as the others can take its work over", func() {
		b := newBench()
		var servers []*fleet.Server
		rank := func(i int) fleet.GroupRank { return fleet.GroupRank{Group: "g", Epoch: 1, Rank: i, Open: true} }
		tell := func(from, to int) {
			for i := from; i < to; i++ {
				b.board.UpdateLoad(fmt.Sprint("s", i), Load{Running: 6}, b.now)
				b.board.UpdateGroup(rank(i), b.now)
			}
		}
		for i := range 12 {
			own := rank(i)
			servers = append(servers, &fleet.Server{ID: fmt.Sprint("s", i), Zone: "z1", Capacity: 12, Rank: &own})
		}
		b.board.random = rand.New(rand.NewPCG(1, 1)).IntN
		picked := func() (silent int) {
			for range 200 {
				if id := b.board.Choose(b.now, servers, &Request{}, nil).Server.ID; id == "s0" || id == "s1" {
					silent++
				}
			}
			return silent
		}
		tell(0, 12)
		Expect(picked()).To(BeNumerically(">", 10))
		b.now = b.now.Add(silentAfter)
		tell(2, 12)
		Expect(picked()).To(BeZero(), "two of twelve stand still")
		Expect(b.board.Choose(b.now, servers, &Request{}, nil).Unresponsive).To(Equal(2))
		b.now = b.now.Add(silentAfter)
		tell(4, 12)
		Expect(picked()).To(BeNumerically(">", 10), "four of twelve are too many")
		b.now = b.now.Add(silentAfter)
		Expect(picked()).To(BeNumerically(">", 10), "nobody tells anything: this entry may be cut off")
	})

	It("believes nothing of a server's former start of the next one, late word included", func() {
		b := newBench()
		former := &fleet.Server{ID: "a", Incarnation: "a@2", Zone: "z1", Capacity: 6}
		again := &fleet.Server{ID: "a", Incarnation: "a@1", Zone: "z1", Capacity: 6} // the clock was stepped back between
		other := &fleet.Server{ID: "b", Zone: "z1", Capacity: 6}
		b.board.RecordFailure(former.Key(), b.now)
		b.board.UpdateLoad(former.Key(), Load{Running: 6, Waiting: 9, Slowdown: 4}, b.now)
		b.board.UpdateLoad(other.Key(), Load{Running: 1}, b.now)
		b.board.Prune(fleet.NewServers([]*fleet.Server{again, other}), b.now)
		b.board.UpdateLoad(former.Key(), Load{Running: 6, Waiting: 9, Slowdown: 4}, b.now)
		choice := b.board.Choose(b.now, []*fleet.Server{again, other}, &Request{}, nil)
		Expect(choice.Server).To(BeIdenticalTo(again))
		Expect(choice.Load).To(BeZero())
	})

	It("passes over a server that failed until its time is over", func() {
		b := newBench()
		servers := []*fleet.Server{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}}
		b.board.RecordFailure("a", b.now)
		Expect(b.board.Choose(b.now, servers, &Request{}, nil).Server.ID).To(Equal("b"))
		Expect(b.board.Choose(b.now.Add(avoidFirst+1), servers, &Request{}, nil).Server.ID).To(Equal("a"))
	})
})
