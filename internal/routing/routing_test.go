package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/selector"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newServers returns n servers per zone, sorted by zone and name.
func newServers(zones []string, n int) []*selector.Server {
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

func newSyncedTable(servers []*selector.Server) *Table {
	table := NewTable("a")
	byName := map[string]*selector.Server{}
	for _, s := range servers {
		byName[s.Name] = s
	}
	table.Sync(byName)
	for _, s := range servers {
		table.UpdateLoad(start, s.Name, "1", headers.LoadReport{Limit: 8, ServiceTime: 10 * time.Millisecond})
	}
	return table
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// pickAndCount picks n times without new reports and returns the picks per server.
func pickAndCount(table *Table, servers []*selector.Server, n int) map[string]int {
	picker, random := NewPicker(table), newRandom()
	counts := map[string]int{}
	for range n {
		name := picker.Pick(start, random, Query{Candidates: servers})
		table.RequestSent(name)
		counts[name]++
	}
	return counts
}

var _ = Describe("Picker", func() {
	It("prefers its own zone until that is busier", func() {
		servers := newServers([]string{"a", "b"}, 4)
		table := newSyncedTable(servers)
		counts := pickAndCount(table, servers, 16)
		for name := range counts {
			Expect(name).To(HavePrefix("a-"))
		}
		counts = pickAndCount(table, servers, 200)
		outside := 0
		for name, n := range counts {
			if name[0] == 'b' {
				outside += n
			}
		}
		Expect(outside).To(BeNumerically(">", 60))
	})

	It("spreads requests evenly between reports, by counting its own", func() {
		servers := newServers([]string{"a"}, 4)
		counts := pickAndCount(newSyncedTable(servers), servers, 400)
		for _, server := range servers {
			Expect(counts[server.Name]).To(BeNumerically("~", 100, 15))
		}
	})

	It("sends fewer requests to a slow server, but some", func() {
		servers := newServers([]string{"a"}, 4)
		table := newSyncedTable(servers)
		for range 200 {
			for i, s := range servers {
				took := 10 * time.Millisecond
				if i == 0 {
					took = 60 * time.Millisecond
				}
				table.UpdateLoad(start, s.Name, "1", headers.LoadReport{Limit: 8, ServiceTime: took})
			}
		}
		counts := pickAndCount(table, servers, 400)
		Expect(counts["a-0000"]).To(BeNumerically("<", 50))
		Expect(counts["a-0000"]).To(BeNumerically(">", 0))
	})

	It("sends a prefix to the same server until that is clearly busier", func() {
		servers := newServers([]string{"a"}, 8)
		table := newSyncedTable(servers)
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

	It("picks every eligible server before giving up, and no ineligible or tried one", func() {
		servers := newServers([]string{"a"}, 40)
		table := newSyncedTable(servers)
		for i, s := range servers {
			switch i % 4 {
			case 0:
				table.UpdateLoad(start, s.Name, "1", headers.LoadReport{Leaving: true})
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

var _ = Describe("Table", func() {
	It("clears leaving only for another incarnation", func() {
		servers := newServers([]string{"a"}, 1)
		table := newSyncedTable(servers)
		name := servers[0].Name
		table.UpdateLoad(start, name, "1", headers.LoadReport{Leaving: true})
		table.UpdateLoad(start, name, "1", headers.LoadReport{}) // a late report
		Expect(table.Row(name).Health).To(Equal(HealthLeaving))
		table.UpdateLoad(start, name, "2", headers.LoadReport{})
		Expect(table.Row(name).Health).To(Equal(HealthUp))
	})

	It("backs off from an unreachable server and retries it", func() {
		servers := newServers([]string{"a"}, 1)
		table := newSyncedTable(servers)
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

	It("removes servers that are no longer configured", func() {
		servers := newServers([]string{"a"}, 2)
		table := newSyncedTable(servers)
		table.Sync(map[string]*selector.Server{servers[0].Name: servers[0]})
		Expect(table.Rows()).To(HaveLen(1))
	})
})

var _ = Describe("Picker filters", func() {
	It("eject a failing server although its agent reports no load", func() {
		servers := newServers([]string{"a"}, 4)
		table := newSyncedTable(servers)
		picker, random := NewPicker(table), newRandom()
		for range 3 {
			table.RecordError(start, "a-0000")
			table.UpdateLoad(start, "a-0000", "1", headers.LoadReport{Limit: 8})
		}
		for range 200 {
			Expect(picker.Pick(start, random, Query{Candidates: servers})).NotTo(Equal("a-0000"))
		}
		Expect(picker.Eligible(start.Add(maxBackoff), table.Row("a-0000"))).To(BeTrue())
		table.RecordSuccess("a-0000")
		Expect(picker.Eligible(start, table.Row("a-0000"))).To(BeTrue())
	})

	It("admit an ejected server if all are ejected", func() {
		servers := newServers([]string{"a"}, 3)
		table := newSyncedTable(servers)
		for _, s := range servers {
			table.RecordError(start, s.Name)
		}
		Expect(NewPicker(table).Pick(start, newRandom(), Query{Candidates: servers})).NotTo(BeEmpty())
	})

	It("exclude a group while one of its ranks is unavailable", func() {
		servers := newServers([]string{"a"}, 4)
		servers[0].Spec.Group, servers[1].Spec.Group = "g", "g"
		table := newSyncedTable(servers)
		table.RecordUnreachable(start, servers[0].Name)
		picker, random := NewPicker(table), newRandom()
		for range 100 {
			name := picker.Pick(start.Add(time.Hour), random, Query{Candidates: servers})
			Expect(name).To(BeElementOf("a-0002", "a-0003"))
		}
		table.UpdateLoad(start, servers[0].Name, "1", headers.LoadReport{Limit: 8})
		Expect(picker.Eligible(start, table.Row(servers[1].Name))).To(BeTrue())
	})
})

var _ = Describe("polling", func() {
	It("reaches every server, those of its own zone more often", func() {
		servers := newServers([]string{"a", "b"}, 10)
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
				table.UpdateLoad(now, row.Server.Name, "1", headers.LoadReport{})
			}
		}
		Expect(polls).To(HaveLen(20))
		Expect(polls["a-0003"]).To(BeNumerically(">", 2*polls["b-0003"]))
	})

	It("skips servers with a fresh report", func() {
		table := newSyncedTable(newServers([]string{"a"}, 3))
		Expect(table.NextToPoll(start.Add(freshReportAge / 2))).To(BeNil())
	})
})

var _ = Describe("OrderHomes", func() {
	It("moves only the keys of a removed server", func() {
		servers := newServers([]string{"a", "b"}, 5)
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

var _ = Describe("RetryBudget", func() {
	It("limits each customer's retries to the percentage", func() {
		b := NewRetryBudget(10)
		retries := 0
		for range 1000 {
			b.RecordRequest("a")
			for b.Acquire("a") {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 110, 2))
		b.RecordRequest("b")
		Expect(b.Acquire("b")).To(BeTrue())
	})
})
