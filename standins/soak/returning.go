package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

const (
	// copyEach bounds the time until the store is copied again.
	copyEach = 3 * time.Second
	// copyAge bounds how old the copy is from which it comes back.
	copyAge = 2 * time.Second
)

// returningStore makes the store come back from copies of itself. It draws from a source of
// its own, so that the faults of a seed stay what they were.
type returningStore struct {
	cluster *harness.Cluster
	random  *rand.Rand
	say     func(format string, args ...any)
	err     error
}

func newReturningStore(cluster *harness.Cluster, seed uint64, say func(string, ...any)) *returningStore {
	return &returningStore{cluster: cluster, random: rand.New(rand.NewPCG(seed, 3)), say: say}
}

// run copies the store and brings it back until the context ends.
func (s *returningStore) run(ctx context.Context) {
	for s.err == nil && wait.For(ctx, time.Duration(s.random.Int64N(int64(copyEach)))) {
		s.err = s.cluster.InjectFault("/fault/log/copy", "")
		if s.err != nil || !wait.For(ctx, time.Duration(s.random.Int64N(int64(copyAge)))) {
			return
		}
		s.err = s.cluster.InjectFault("/fault/log/return", "")
		s.say("the store has come back from its copy")
	}
}

func (s *returningStore) check() error { return errors.Wrap(s.err, "copy of the store") }
