package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/plainserver"
	"github.com/pkg/errors"
)

// restInterval is the time between calls that make their server ask for rest or announce a limit.
const restInterval = 1500 * time.Millisecond

// restingCaller makes servers ask for rest or announce limits, and checks that no call violates them.
type restingCaller struct {
	cluster *harness.Cluster
	random  *rand.Rand

	mu sync.Mutex
	// disrupted holds the periods of faults by target: an agent that is killed, stopped or paused may
	// lose a rest or limit, or not have received it yet.
	disrupted map[string][]span
}

// span is a period of time; to is zero until the period ends.
type span struct{ from, to time.Time }

// newRestingCaller uses a random source of its own, so that it doesn't change the faults of a seed.
func newRestingCaller(cluster *harness.Cluster, seed uint64) *restingCaller {
	return &restingCaller{cluster: cluster, random: rand.New(rand.NewPCG(seed, 3)), disrupted: map[string][]span{}}
}

// run sends calls until the context ends.
func (c *restingCaller) run(ctx context.Context) {
	markers := []string{plainserver.RestMarker, plainserver.LimitMarker}
	for n := 0; ctx.Err() == nil; n++ {
		callOnce(ctx, c.cluster, c.random, markers[n%len(markers)])
		time.Sleep(restInterval)
	}
}

// beginFault records the start of a fault.
func (c *restingCaller) beginFault(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	target := faultTarget(fault)
	c.disrupted[target] = append(c.disrupted[target], span{from: time.Now()})
}

// endFault records the end of a fault.
func (c *restingCaller) endFault(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.disrupted[faultTarget(fault)]
	if len(spans) > 0 {
		spans[len(spans)-1].to = time.Now()
	}
}

// check returns an error if calls violated a server's rest or limit while its agent was not
// disrupted. All faults must have ended.
func (c *restingCaller) check() error {
	response, err := http.Get(c.cluster.PlatformURL + "/runs")
	if err != nil {
		return errors.Wrap(err, "runs")
	}
	defer func() { _ = response.Body.Close() }()
	runs := map[string]int{}
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return errors.Wrap(err, "runs")
	}
	for name, count := range runs {
		rest, violation := strings.CutPrefix(name, plainserver.ViolationPrefix+"-")
		if !violation {
			continue
		}
		at := strings.LastIndex(rest, "-")
		ms, err := strconv.ParseInt(rest[at+1:], 10, 64)
		if err != nil {
			return errors.Wrapf(err, "run %s", name)
		}
		if server := rest[:at]; !c.excused(server, time.UnixMilli(ms)) {
			return errors.Errorf("%d calls reached %s while it rested or beyond its limit", count, server)
		}
	}
	return nil
}

// excused reports whether the server's agent was disrupted during a rest or limit that began at the
// given time.
func (c *restingCaller) excused(server string, started time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.disrupted["agent-"+server] {
		if s.from.Before(started.Add(max(plainserver.RestTime, plainserver.LimitTime))) && (s.to.IsZero() || s.to.After(started)) {
			return true
		}
	}
	return false
}
