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
	// endingEach is the time between the repeats of a request that ends its servers.
	endingEach = 300 * time.Millisecond
	// endingPatience is how long its caller waits for an answer.
	endingPatience = 2 * time.Second
	// serverAway is how long a server that ended is away.
	serverAway = 700 * time.Millisecond
	// mostEnded is how many servers one request may end: the three that show it, and three
	// more while daemons that know of them are killed, paused or cut off.
	mostEnded = 6
)

// endingCaller is a caller whose one request ends each server that runs it, and who
// repeats it at any entry.
type endingCaller struct {
	cluster *harness.Cluster
	random  *rand.Rand
	mu      sync.Mutex
	ended   int
	err     error
}

// newEndingCaller draws from a source of its own, so that the faults of a seed stay what
// they were.
func newEndingCaller(cluster *harness.Cluster, seed uint64) *endingCaller {
	return &endingCaller{cluster: cluster, random: rand.New(rand.NewPCG(seed, 2))}
}

// run repeats the request, and brings servers back, until the context ends.
func (c *endingCaller) run(ctx context.Context) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for name, p := range c.cluster.Processes {
		if strings.HasPrefix(name, "backend-plain-") {
			restarts.Go(func() { c.keepUp(ctx, p) })
		}
	}
	for ctx.Err() == nil {
		c.ask(ctx)
		time.Sleep(endingEach)
	}
}

// keepUp starts a server again whenever it has ended.
func (c *endingCaller) keepUp(ctx context.Context, p *harness.Process) {
	for ctx.Err() == nil {
		time.Sleep(settlePoll / 10)
		if p.Running() {
			continue
		}
		time.Sleep(serverAway)
		err := p.Start()
		c.mu.Lock()
		c.ended++
		if err != nil && c.err == nil {
			c.err = err
		}
		c.mu.Unlock()
	}
}

// ask sends the request to an entry that runs. How it ends doesn't matter.
func (c *endingCaller) ask(ctx context.Context) {
	askOnce(ctx, c.cluster, c.random, plainserver.CrashMarker)
}

// askOnce sends a plain call with a body to an entry that runs, if there is one.
func askOnce(ctx context.Context, cluster *harness.Cluster, random *rand.Rand, body string) {
	entries := cluster.CallerAddresses()
	if len(entries) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, endingPatience)
	defer cancel()
	url := "http://" + entries[random.IntN(len(entries))] + "/dispatch/slots"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return // the context ended
	}
	request.Header.Set("Authorization", "Bearer "+cluster.Keys[0])
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close() // it earns nothing
	}
}

// check tells whether too many servers ended.
func (c *endingCaller) check() (ended int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.ended > mostEnded {
		return c.ended, errors.Errorf("one request ended %d servers, %d at most", c.ended, mostEnded)
	}
	return c.ended, c.err
}
