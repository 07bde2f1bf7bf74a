package dispatch

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

var _ = Describe("picking", func() {
	It("takes the server with the least load and no leaving one", func() {
		b := newBench()
		b.board.ReportLoad("a", Load{Running: 5}, b.now)
		servers := []*fleet.Server{
			{ID: "a", Zone: "z1", Rank: &fleet.GroupRank{}},
			{ID: "b", Zone: "z1", Rank: &fleet.GroupRank{}},
			{ID: "c", Zone: "z1", Leaving: true},
		}
		Expect(b.board.Choose(b.now, servers, nil, nil).Server.ID).To(Equal("b"))
		Expect(b.board.Choose(b.now, servers, nil, []string{"b"}).Server.ID).To(Equal("a"))
		Expect(b.board.Choose(b.now, servers, nil, []string{"a", "b"}).Server).To(BeNil())
	})

	It("doesn't send all entries to the server that was least loaded when reports came", func() {
		b := newBench()
		var servers []*fleet.Server
		for i := range 40 {
			id := fmt.Sprint("s", i)
			servers = append(servers, &fleet.Server{ID: id, Zone: "z1", Capacity: 10, Rank: &fleet.GroupRank{}})
			b.board.ReportLoad(id, Load{Running: 5 + i%3}, b.now)
		}
		random := rand.New(rand.NewPCG(1, 1))
		b.board.random = random.IntN
		chosen := map[string]int{}
		for range 400 {
			chosen[b.board.Choose(b.now, servers, nil, nil).Server.ID]++
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
				b.board.Failed(fmt.Sprint("s", i), b.now)
			}
		}
		Expect(b.board.Choose(b.now, servers, nil, nil).Server.ID).To(Equal("s11"))
	})

	It("passes over a server that failed until its time is over", func() {
		b := newBench()
		servers := []*fleet.Server{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2"}}
		b.board.Failed("a", b.now)
		Expect(b.board.Choose(b.now, servers, nil, nil).Server.ID).To(Equal("b"))
		Expect(b.board.Choose(b.now.Add(avoidFirst+1), servers, nil, nil).Server.ID).To(Equal("a"))
	})
})
