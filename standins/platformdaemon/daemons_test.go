package platformdaemon_test

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runner is a daemon.
type runner interface {
	Run(ctx context.Context) error
}

// start starts a daemon and returns what stops it and waits for its end.
func start(daemon runner) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- daemon.Run(ctx) }()
	return func() {
		cancel()
		Eventually(ended, patience).Should(Receive(BeNil()))
	}
}

// startTogether returns what starts daemons that are stopped all at once when the test ends.
func startTogether(t *testing.T) func(daemon runner) {
	var stops []func()
	t.Cleanup(func() { stopAll(stops) })
	return func(daemon runner) { stops = append(stops, start(daemon)) }
}

func stopAll(stops []func()) {
	var stopping sync.WaitGroup
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

// run starts a daemon for a spec and returns what stops it.
func run(daemon runner) func() {
	stop := start(daemon)
	stopped := false
	DeferCleanup(func() {
		if !stopped {
			stop()
		}
	})
	return func() {
		stopped = true
		stop()
	}
}
