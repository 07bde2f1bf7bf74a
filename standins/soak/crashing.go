package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/plainserver"
	"github.com/pkg/errors"
)

const (
	// crashInterval is the time between repeats of the request that crashes its server.
	crashInterval = 300 * time.Millisecond
	// callTimeout bounds each call.
	callTimeout = 2 * time.Second
	// restartDelay is the time from the detection of a crash to the restart.
	restartDelay = 700 * time.Millisecond
	// maxCrashes allows the three crashes that lead to quarantine, and three more while daemons that
	// have the evidence are killed, paused or partitioned.
	maxCrashes = 6
)

// crashingCaller repeats one request that crashes each server that runs it, at any entry.
type crashingCaller struct {
	cluster *harness.Cluster
	random  *rand.Rand
	mu      sync.Mutex
	crashed int
	err     error
}

// newCrashingCaller uses a random source of its own, so that it doesn't change the faults of a seed.
func newCrashingCaller(cluster *harness.Cluster, seed uint64) *crashingCaller {
	return &crashingCaller{cluster: cluster, random: rand.New(rand.NewPCG(seed, 2))}
}

// run repeats the request and restarts crashed servers until the context ends.
func (c *crashingCaller) run(ctx context.Context) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for name, p := range c.cluster.Processes {
		if strings.HasPrefix(name, "backend-plain-") {
			restarts.Go(func() { c.restartAfterCrash(ctx, p) })
		}
	}
	for ctx.Err() == nil {
		c.call(ctx)
		time.Sleep(crashInterval)
	}
}

// restartAfterCrash restarts a server whenever it has exited.
func (c *crashingCaller) restartAfterCrash(ctx context.Context, p *harness.Process) {
	for ctx.Err() == nil {
		time.Sleep(pollInterval / 10)
		if p.Running() {
			continue
		}
		time.Sleep(restartDelay)
		err := p.Start()
		c.mu.Lock()
		c.crashed++
		if err != nil && c.err == nil {
			c.err = err
		}
		c.mu.Unlock()
	}
}

// call sends the request to a running entry and ignores the outcome.
func (c *crashingCaller) call(ctx context.Context) {
	callOnce(ctx, c.cluster, c.random, plainserver.CrashMarker)
}

// callOnce sends a plain call with the body to a running entry, if there is one.
func callOnce(ctx context.Context, cluster *harness.Cluster, random *rand.Rand, body string) {
	entries := cluster.CallerAddresses()
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + entries[random.IntN(len(entries))] + "/dispatch/slots"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return // the context has ended
	}
	request.Header.Set("Authorization", "Bearer "+cluster.Keys[0])
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close() // the outcome is ignored
	}
}

// check returns the number of crashes, and an error if there were too many.
func (c *crashingCaller) check() (crashed int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.crashed > maxCrashes {
		return c.crashed, errors.Errorf("one request crashed %d servers, at most %d allowed", c.crashed, maxCrashes)
	}
	return c.crashed, c.err
}
