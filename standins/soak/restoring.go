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
	// maxBackupInterval bounds the time until the next backup of the store.
	maxBackupInterval = 3 * time.Second
	// maxBackupAge bounds the age of the backup when the store is restored from it.
	maxBackupAge = 2 * time.Second
)

// storeRestorer repeatedly restores the store from a backup. It uses a random source of its own, so
// that it doesn't change the faults of a seed.
type storeRestorer struct {
	cluster *harness.Cluster
	random  *rand.Rand
	logf    func(format string, args ...any)
	err     error
}

func newStoreRestorer(cluster *harness.Cluster, seed uint64, logf func(string, ...any)) *storeRestorer {
	return &storeRestorer{cluster: cluster, random: rand.New(rand.NewPCG(seed, 3)), logf: logf}
}

// run takes backups of the store and restores it from them until the context ends.
func (s *storeRestorer) run(ctx context.Context) {
	for s.err == nil && wait.For(ctx, time.Duration(s.random.Int64N(int64(maxBackupInterval)))) {
		s.err = s.cluster.InjectFault("/fault/log/copy", "")
		if s.err != nil || !wait.For(ctx, time.Duration(s.random.Int64N(int64(maxBackupAge)))) {
			return
		}
		s.err = s.cluster.InjectFault("/fault/log/return", "")
		s.logf("store restored from its backup")
	}
}

func (s *storeRestorer) check() error { return errors.Wrap(s.err, "restore the store") }
