package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/standins/engine"
	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

const (
	// maxFailureGap bounds the time between two periods of failures, maxFailureTime their length.
	maxFailureGap  = 500 * time.Millisecond
	maxFailureTime = 2500 * time.Millisecond
)

// breakPercents and failPercents are the rates at which servers break off streams and fail requests,
// unframedPercents and emptyPercents those of bodies that end with the connection alone, and of
// resumptions without an event.
var (
	breakPercents    = []int{20, 50, 80}
	failPercents     = []int{0, 40, 100}
	unframedPercents = []int{0, 50, 100}
	emptyPercents    = []int{0, 30, 100}
)

// serverFailer makes engines break off streams and fail to resume them, and plain servers fail. It
// uses random sources of its own, so that it doesn't change the faults of a seed.
type serverFailer struct {
	cluster *harness.Cluster
	servers []harness.Server
	random  *rand.Rand
	// form draws the form of responses.
	form   *rand.Rand
	logf   func(format string, args ...any)
	counts engine.FaultCounts
	err    error
}

func newServerFailer(cluster *harness.Cluster, seed uint64, logf func(string, ...any)) *serverFailer {
	s := &serverFailer{cluster: cluster, random: rand.New(rand.NewPCG(seed, 4)), form: rand.New(rand.NewPCG(seed, 5)), logf: logf}
	for _, server := range cluster.Servers {
		if server.Group == "" {
			s.servers = append(s.servers, server)
		}
	}
	return s
}

// run makes all servers fail at random rates for random times until the context ends.
func (s *serverFailer) run(ctx context.Context) {
	for s.err == nil && wait.For(ctx, time.Duration(s.random.Int64N(int64(maxFailureGap)))) {
		for _, server := range s.servers {
			faults := engine.Faults{Seed: s.random.Uint64(), FailPercent: failPercents[s.random.IntN(len(failPercents))]}
			if server.Protocol == "engine" {
				faults.BreakPercent = breakPercents[s.random.IntN(len(breakPercents))]
				faults.UnframedPercent = unframedPercents[s.form.IntN(len(unframedPercents))]
				faults.EmptyPercent = emptyPercents[s.form.IntN(len(emptyPercents))]
			}
			s.logf("%s breaks off %d%% of streams, fails %d%% of requests, resumes %d%% of streams with nothing, sends %d%% of bodies without a length",
				server.Name, faults.BreakPercent, faults.FailPercent, faults.EmptyPercent, faults.UnframedPercent)
			s.set(server, faults)
		}
		wait.For(ctx, time.Duration(s.random.Int64N(int64(maxFailureTime))))
		for _, server := range s.servers {
			counts := s.set(server, engine.Faults{})
			if server.Protocol == "engine" {
				s.counts.Broken, s.counts.Failed = s.counts.Broken+counts.Broken, s.counts.Failed+counts.Failed
				s.counts.Unframed, s.counts.Empty = s.counts.Unframed+counts.Unframed, s.counts.Empty+counts.Empty
			}
		}
	}
}

// set sets the faults of a server and returns the counts of those before. A plain server may be down
// after a crash, and starts again without faults.
func (s *serverFailer) set(server harness.Server, faults engine.Faults) engine.FaultCounts {
	counts, err := s.cluster.SetServerFaults(server, faults)
	if err != nil && server.Protocol == "engine" && s.err == nil {
		s.err = err
	}
	return counts
}

// check returns the counts of the engines' faults.
func (s *serverFailer) check() (engine.FaultCounts, error) {
	return s.counts, errors.Wrap(s.err, "make servers fail")
}
