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

// restEach is the time between calls that make their server rest, or name a limit.
const restEach = 1500 * time.Millisecond

// restingCaller makes servers rest or name limits, and finds out which calls came nevertheless.
type restingCaller struct {
	cluster *harness.Cluster
	random  *rand.Rand

	mu sync.Mutex
	// harmed are the spans in which an agent was killed, stopped or paused: it may have
	// forgotten the rest, or not have heard of it yet.
	harmed map[string][]span
}

// span is a time from a beginning to an end; the end is zero while it lasts.
type span struct{ from, to time.Time }

// newRestingCaller draws from a source of its own, so that the faults of a seed stay what
// they were.
func newRestingCaller(cluster *harness.Cluster, seed uint64) *restingCaller {
	return &restingCaller{cluster: cluster, random: rand.New(rand.NewPCG(seed, 3)), harmed: map[string][]span{}}
}

// run asks until the context ends.
func (c *restingCaller) run(ctx context.Context) {
	words := []string{plainserver.RestMarker, plainserver.LimitMarker}
	for n := 0; ctx.Err() == nil; n++ {
		askOnce(ctx, c.cluster, c.random, words[n%len(words)])
		time.Sleep(restEach)
	}
}

// begins and ends note a fault by its name, whose last word is what it's about.
func (c *restingCaller) begins(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	about := lastWord(fault)
	c.harmed[about] = append(c.harmed[about], span{from: time.Now()})
}

func (c *restingCaller) ends(fault string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.harmed[lastWord(fault)]
	if len(spans) > 0 {
		spans[len(spans)-1].to = time.Now()
	}
}

// check returns an error when calls reached a server against its word, unless its agent was
// harmed meanwhile. Call it when all faults are over.
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
		rest, against := strings.CutPrefix(name, plainserver.ViolationPrefix+"-")
		if !against {
			continue
		}
		at := strings.LastIndex(rest, "-")
		ms, err := strconv.ParseInt(rest[at+1:], 10, 64)
		if err != nil {
			return errors.Wrapf(err, "run %s", name)
		}
		if server := rest[:at]; !c.excused(server, time.UnixMilli(ms)) {
			return errors.Errorf("%d calls reached %s while it rested or over its limit", count, server)
		}
	}
	return nil
}

// excused tells whether a server's agent was harmed while a word held that began at a time.
func (c *restingCaller) excused(server string, began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.harmed["agent-"+server] {
		if s.from.Before(began.Add(max(plainserver.RestTime, plainserver.LimitTime))) && (s.to.IsZero() || s.to.After(began)) {
			return true
		}
	}
	return false
}
