package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/selector"
)

var simStart = time.Date(2026, 6, 1, 10, 0, 0, 0, time.UTC)

// newServers returns n servers spread over zones, sorted by name as in routes.
func newServers(n, zones int) []*selector.Server {
	servers := make([]*selector.Server, 0, n)
	for i := range n {
		servers = append(servers, &selector.Server{
			Name: fmt.Sprintf("server-%05d", i),
			Spec: &config.BackendServer{Zone: fmt.Sprintf("zone-%d", i*zones/n), Address: fmt.Sprint(i)},
		})
	}
	return servers
}

func newTable(servers []*selector.Server) *routing.Table {
	table := routing.NewTable("zone-0")
	byName := map[string]*selector.Server{}
	for _, s := range servers {
		byName[s.Name] = s
	}
	table.Sync(byName)
	for _, s := range servers {
		table.UpdateLoad(simStart, s.Name, "1", headers.LoadReport{Limit: 8, ServiceTime: 10 * time.Millisecond})
	}
	return table
}

// Routing measures the cost of routing decisions and compares routing policies by latency.
func (r *Reporter) Routing() {
	base := 0.0
	for _, n := range []int{24, 240, 2400} {
		servers := newServers(n, 3)
		table := newTable(servers)
		picker := routing.NewPicker(table)
		random := rand.New(rand.NewPCG(1, 2))
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				name := picker.Pick(simStart, random, routing.Query{Candidates: servers, Prefix: uint64(i%100 + 1)})
				table.RequestSent(name)
				table.RequestEnded(name)
			}
		})
		nanoseconds := float64(result.T.Nanoseconds()) / float64(result.N)
		if base == 0 {
			base = nanoseconds
		}
		r.Compare(fmt.Sprintf("routing/decision-%d", n), nanoseconds, "ns", base)
		r.Figure(fmt.Sprintf("routing/decision-%d-allocs", n), float64(result.AllocsPerOp()), "allocs")
	}
	r.policies()
}

// policySim is a queueing model of one service behind several entries with stale load
// reports. Each server runs simSlots requests at a time and has a FIFO queue.
type policySim struct {
	servers   []simServer
	random    *rand.Rand
	tables    []*routing.Table
	pickers   []*routing.Picker
	fleet     []*selector.Server
	now       time.Time
	latencies []float64
	hits      int
	next      int
}

type simServer struct {
	ends   []time.Time // end times of running and queued requests, sorted
	cache  []uint64    // prefixes, most recently used last
	factor float64     // of the service time, relative to a healthy server
}

const (
	simServers     = 16
	simEntries     = 4
	simSlots       = 4
	simPrefixes    = 200
	simCache       = 24
	simRequests    = 60000
	simUtilization = 0.8
	simReportEvery = time.Second
	simService     = 40 * time.Millisecond
	simMissCost    = 20 * time.Millisecond
)

func newPolicySim(seed uint64) *policySim {
	s := &policySim{random: rand.New(rand.NewPCG(seed, 3)), now: simStart, fleet: newServers(simServers, 1)}
	for i := range simServers {
		factor := 1.0
		if i == 0 {
			factor = 3 // a straggler
		}
		s.servers = append(s.servers, simServer{factor: factor})
	}
	for range simEntries {
		table := newTable(s.fleet)
		s.tables = append(s.tables, table)
		s.pickers = append(s.pickers, routing.NewPicker(table))
	}
	return s
}

// inProgress returns the number of running and queued requests at a server.
func (s *policySim) inProgress(server int) int {
	ends := s.servers[server].ends
	for len(ends) > 0 && !ends[0].After(s.now) {
		ends = ends[1:]
	}
	s.servers[server].ends = ends
	return len(ends)
}

// run sends requests to the servers that choose returns.
func (s *policySim) run(choose func(entry int, prefix uint64) int, countInFlight bool) {
	mean := float64(simService+simMissCost/2) / simUtilization / (simServers * simSlots)
	reported := s.now
	for range simRequests {
		s.now = s.now.Add(time.Duration(s.random.ExpFloat64() * mean))
		if s.now.Sub(reported) > simReportEvery {
			s.report()
			reported = s.now
		}
		prefix := uint64(s.random.IntN(simPrefixes)*s.random.IntN(simPrefixes)/simPrefixes + 1)
		entry := s.random.IntN(simEntries)
		server := choose(entry, prefix)
		if countInFlight {
			s.tables[entry].RequestSent(s.fleet[server].Name)
		}
		s.serve(entry, server, prefix, countInFlight)
	}
}

func (s *policySim) report() {
	for i, server := range s.fleet {
		busy := s.inProgress(i)
		took := time.Duration(float64(simService) * s.servers[i].factor)
		for _, table := range s.tables {
			table.UpdateLoad(s.now, server.Name, "1", headers.LoadReport{
				InFlight: min(busy, simSlots), Queued: max(busy-simSlots, 0), Limit: simSlots, ServiceTime: took,
			})
		}
	}
}

func (s *policySim) serve(_, server int, prefix uint64, _ bool) {
	state := &s.servers[server]
	busy := s.inProgress(server)
	start := s.now
	if busy >= simSlots {
		start = state.ends[busy-simSlots]
	}
	took := float64(simService) * s.random.ExpFloat64()
	if state.hit(prefix) {
		s.hits++
	} else {
		took += float64(simMissCost)
	}
	end := start.Add(time.Duration(took * state.factor))
	at := len(state.ends)
	for at > 0 && state.ends[at-1].After(end) {
		at--
	}
	state.ends = append(state.ends[:at], append([]time.Time{end}, state.ends[at:]...)...)
	s.latencies = append(s.latencies, end.Sub(s.now).Seconds()*1000)
}

// hit reports whether the prefix is cached, and marks it as the most recently used.
func (c *simServer) hit(prefix uint64) bool {
	for i, p := range c.cache {
		if p == prefix {
			c.cache = append(append(c.cache[:i], c.cache[i+1:]...), prefix)
			return true
		}
	}
	c.cache = append(c.cache, prefix)
	if len(c.cache) > simCache {
		c.cache = c.cache[1:]
	}
	return false
}

// reportedLoad returns the number of requests at a server according to its last report.
func (s *policySim) reportedLoad(entry, server int) int {
	row := s.tables[entry].Row(s.fleet[server].Name)
	return row.Reported.InFlight + row.Reported.Queued
}

func (r *Reporter) policies() {
	policies := []struct {
		name          string
		countInFlight bool
		choose        func(s *policySim) func(int, uint64) int
	}{
		{"random", false, func(s *policySim) func(int, uint64) int {
			return func(int, uint64) int { return s.random.IntN(simServers) }
		}},
		{"round-robin", false, func(s *policySim) func(int, uint64) int {
			return func(int, uint64) int { s.next++; return s.next % simServers }
		}},
		{"least-loaded-stale", false, leastLoaded},
		{"power-of-two-stale", false, powerOfTwo},
		{"ours", true, crowbridgePolicy},
	}
	base := 0.0
	for _, p := range policies {
		s := newPolicySim(5)
		s.run(p.choose(s), p.countInFlight)
		p99 := Quantile(s.latencies, 0.99)
		if base == 0 {
			base = p99
		}
		r.Compare("routing/policy/"+p.name+"/p99", p99, "ms", base)
		r.Figure("routing/policy/"+p.name+"/cache-hits", 100*float64(s.hits)/simRequests, "%")
	}
}

func leastLoaded(s *policySim) func(int, uint64) int {
	return func(entry int, _ uint64) int {
		best := 0
		for i := range simServers {
			if s.reportedLoad(entry, i) < s.reportedLoad(entry, best) {
				best = i
			}
		}
		return best
	}
}

func powerOfTwo(s *policySim) func(int, uint64) int {
	return func(entry int, _ uint64) int {
		a, b := s.random.IntN(simServers), s.random.IntN(simServers)
		if s.reportedLoad(entry, a) <= s.reportedLoad(entry, b) {
			return a
		}
		return b
	}
}

func crowbridgePolicy(s *policySim) func(int, uint64) int {
	index := map[string]int{}
	for i, server := range s.fleet {
		index[server.Name] = i
	}
	return func(entry int, prefix uint64) int {
		return index[s.pickers[entry].Pick(s.now, s.random, routing.Query{Candidates: s.fleet, Prefix: prefix})]
	}
}
