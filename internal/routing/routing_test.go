package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/crowbridge/crowbridge/internal/wire"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet returns n servers per zone, in the order that routes keep.
func fleet(zones []string, n int) []*selector.Server {
	var servers []*selector.Server
	for _, zone := range zones {
		for i := range n {
			servers = append(servers, &selector.Server{
				Name: fmt.Sprintf("%s-%04d", zone, i),
				Spec: &config.BackendServer{Zone: zone, Address: fmt.Sprint(zone, i)},
			})
		}
	}
	return servers
}

func tableOf(servers []*selector.Server) *Table {
	table := NewTable("a")
	byName := map[string]*selector.Server{}
	for _, s := range servers {
		byName[s.Name] = s
	}
	table.Sync(byName)
	for _, s := range servers {
		table.UpdateLoad(start, s.Name, "1", wire.Load{Limit: 8, ServiceTime: 10 * time.Millisecond})
	}
	return table
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// spread picks n times without any report coming in, and counts per server.
func spread(table *Table, servers []*selector.Server, n int) map[string]int {
	picker, random := NewPicker(table), newRandom()
	counts := map[string]int{}
	for range n {
		name := picker.Pick(start, random, Query{Candidates: servers})
		table.RequestSent(name)
		counts[name]++
	}
	return counts
}

var _ = Describe("the picker", func() {
	It("stays in its zone while that isn't busier, then spills over", func() {
		servers := fleet([]string{"a", "b"}, 4)
		table := tableOf(servers)
		counts := spread(table, servers, 16)
		for name := range counts {
			Expect(name).To(HavePrefix("a-"))
		}
		counts = spread(table, servers, 200)
		outside := 0
		for name, n := range counts {
			if name[0] == 'b' {
				outside += n
			}
		}
		Expect(outside).To(BeNumerically(">", 60))
	})

	It("counts its own requests on top of stale reports", func() {
		servers := fleet([]string{"a"}, 4)
		counts := spread(tableOf(servers), servers, 400)
		for _, server := range servers {
			Expect(counts[server.Name]).To(BeNumerically("~", 100, 15))
		}
	})

	It("gives a straggler less, but something", func() {
		servers := fleet([]string{"a"}, 4)
		table := tableOf(servers)
		for range 200 {
			for i, s := range servers {
				took := 10 * time.Millisecond
				if i == 0 {
					took = 60 * time.Millisecond
				}
				table.UpdateLoad(start, s.Name, "1", wire.Load{Limit: 8, ServiceTime: took})
			}
		}
		counts := spread(table, servers, 400)
		Expect(counts["a-0000"]).To(BeNumerically("<", 50))
		Expect(counts["a-0000"]).To(BeNumerically(">", 0))
	})

	It("keeps a prefix at its server until that is clearly busier", func() {
		servers := fleet([]string{"a"}, 8)
		table := tableOf(servers)
		picker, random := NewPicker(table), newRandom()
		first := picker.Pick(start, random, Query{Candidates: servers, Prefix: 7})
		same := 0
		for range 20 {
			if picker.Pick(start, random, Query{Candidates: servers, Prefix: 7}) == first {
				same++
			}
		}
		Expect(same).To(Equal(20))
		for range 16 {
			table.RequestSent(first)
		}
		Expect(picker.Pick(start, random, Query{Candidates: servers, Prefix: 7})).NotTo(Equal(first))
	})

	It("never picks a leaving, drained, listed or tried server, and finds the last one", func() {
		servers := fleet([]string{"a"}, 40)
		table := tableOf(servers)
		for i, s := range servers {
			switch i % 4 {
			case 0:
				table.UpdateLoad(start, s.Name, "1", wire.Load{Leaving: true})
			case 1:
				table.SetListedLeaving(s.Name, true)
			case 2:
				s.Spec.Draining = true
			}
		}
		var tried []string
		picker, random := NewPicker(table), newRandom()
		for range 10 {
			name := picker.Pick(start, random, Query{Candidates: servers, Tried: tried})
			Expect(name).NotTo(BeEmpty())
			Expect(tried).NotTo(ContainElement(name))
			tried = append(tried, name)
		}
		Expect(picker.Pick(start, random, Query{Candidates: servers, Tried: tried})).To(BeEmpty())
	})
})

var _ = Describe("the table", func() {
	It("lets only another incarnation end a server's leaving", func() {
		servers := fleet([]string{"a"}, 1)
		table := tableOf(servers)
		name := servers[0].Name
		table.UpdateLoad(start, name, "1", wire.Load{Leaving: true})
		table.UpdateLoad(start, name, "1", wire.Load{}) // an answer that was late
		Expect(table.Row(name).Health).To(Equal(HealthLeaving))
		table.UpdateLoad(start, name, "2", wire.Load{})
		Expect(table.Row(name).Health).To(Equal(HealthUp))
	})

	It("leaves a lost server alone for a time that grows, and tries it again", func() {
		servers := fleet([]string{"a"}, 1)
		table := tableOf(servers)
		picker, random := NewPicker(table), newRandom()
		name := servers[0].Name
		table.RecordUnreachable(start, name)
		Expect(picker.Pick(start, random, Query{Candidates: servers})).To(BeEmpty())
		Expect(picker.Pick(start.Add(baseBackoff), random, Query{Candidates: servers})).To(Equal(name))
		for range 20 {
			table.RecordUnreachable(start, name)
		}
		Expect(picker.Pick(start.Add(maxBackoff), random, Query{Candidates: servers})).To(Equal(name))
	})

	It("forgets servers that are no longer configured", func() {
		servers := fleet([]string{"a"}, 2)
		table := tableOf(servers)
		table.Sync(map[string]*selector.Server{servers[0].Name: servers[0]})
		Expect(table.Rows()).To(HaveLen(1))
	})
})

var _ = Describe("outlier detection", func() {
	It("leaves a server alone that fails fast, although its agent reports no load", func() {
		servers := fleet([]string{"a"}, 4)
		table := tableOf(servers)
		picker, random := NewPicker(table), newRandom()
		for range 3 {
			table.RecordError(start, "a-0000")
			table.UpdateLoad(start, "a-0000", "1", wire.Load{Limit: 8})
		}
		for range 200 {
			Expect(picker.Pick(start, random, Query{Candidates: servers})).NotTo(Equal("a-0000"))
		}
		Expect(picker.Eligible(start.Add(maxBackoff), table.Row("a-0000"))).To(BeTrue())
		table.RecordSuccess("a-0000")
		Expect(picker.Eligible(start, table.Row("a-0000"))).To(BeTrue())
	})

	It("never ejects everyone", func() {
		servers := fleet([]string{"a"}, 3)
		table := tableOf(servers)
		for _, s := range servers {
			table.RecordError(start, s.Name)
		}
		Expect(NewPicker(table).Pick(start, newRandom(), Query{Candidates: servers})).NotTo(BeEmpty())
	})

	It("takes a group out while one of its ranks is gone", func() {
		servers := fleet([]string{"a"}, 4)
		servers[0].Spec.Group, servers[1].Spec.Group = "g", "g"
		table := tableOf(servers)
		table.RecordUnreachable(start, servers[0].Name)
		picker, random := NewPicker(table), newRandom()
		for range 100 {
			name := picker.Pick(start.Add(time.Hour), random, Query{Candidates: servers})
			Expect(name).To(BeElementOf("a-0002", "a-0003"))
		}
		table.UpdateLoad(start, servers[0].Name, "1", wire.Load{Limit: 8})
		Expect(picker.Eligible(start, table.Row(servers[1].Name))).To(BeTrue())
	})
})

var _ = Describe("polling", func() {
	It("asks every server, those that never reported first, the own zone more often", func() {
		servers := fleet([]string{"a", "b"}, 10)
		table := NewTable("a")
		byName := map[string]*selector.Server{}
		for _, s := range servers {
			byName[s.Name] = s
		}
		table.Sync(byName)
		polls := map[string]int{}
		now := start
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			if row := table.NextToPoll(now); row != nil {
				polls[row.Server.Name]++
				table.UpdateLoad(now, row.Server.Name, "1", wire.Load{})
			}
		}
		Expect(polls).To(HaveLen(20))
		Expect(polls["a-0003"]).To(BeNumerically(">", 2*polls["b-0003"]))
	})

	It("leaves servers alone whose report is fresh", func() {
		table := tableOf(fleet([]string{"a"}, 3))
		Expect(table.NextToPoll(start.Add(freshReport / 2))).To(BeNil())
	})
})

var _ = Describe("homes", func() {
	It("move only the keys of a server that is gone", func() {
		servers := fleet([]string{"a", "b"}, 5)
		for i := range 500 {
			key := fmt.Sprint("key", i)
			before := OrderHomes(servers, "c", key)
			after := OrderHomes(append(append([]*selector.Server{}, servers[:3]...), servers[4:]...), "c", key)
			if before[0] != servers[3] {
				Expect(after[0]).To(Equal(before[0]))
			} else {
				Expect(after[0]).To(Equal(before[1]))
			}
		}
	})
})

var _ = Describe("the retry budget", func() {
	It("bounds retries to its share, per customer", func() {
		b := NewRetryBudget(10)
		spent := 0
		for range 1000 {
			b.RecordRequest("a")
			for b.Acquire("a") {
				spent++
			}
		}
		Expect(spent).To(BeNumerically("~", 110, 2))
		b.RecordRequest("b")
		Expect(b.Acquire("b")).To(BeTrue())
	})
})
