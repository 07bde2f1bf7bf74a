package hosted_test

import (
	"context"

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
