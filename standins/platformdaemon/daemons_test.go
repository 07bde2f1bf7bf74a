package platformdaemon_test

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

type runner interface {
	Run(ctx context.Context) error
}

// start starts a daemon and returns a function that stops it and waits until it has exited.
func start(daemon runner) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- daemon.Run(ctx) }()
	return func() {
		cancel()
		Eventually(result, testTimeout).Should(Receive(BeNil()))
	}
}

// newStarter returns a function that starts daemons, which are stopped concurrently at the end of
// the test.
func newStarter(t *testing.T) func(daemon runner) {
	var stops []func()
	t.Cleanup(func() { stopAll(stops) })
	return func(daemon runner) { stops = append(stops, start(daemon)) }
}

// stopAll calls the functions concurrently and waits for them.
func stopAll(stops []func()) {
	var stopping sync.WaitGroup
	for _, stop := range stops {
		stopping.Go(stop)
	}
	stopping.Wait()
}

// startForSpec starts a daemon that is stopped by the returned function, or at the end of the spec.
func startForSpec(daemon runner) func() {
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
