package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/crowbridge/crowbridge/standins/crowd"
	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

const (
	// daemonMemoryMB and daemonDescriptors are the limits of each daemon.
	daemonMemoryMB    = 192
	daemonDescriptors = 1000
	// reservedDescriptors are for files alone.
	reservedDescriptors = 200

	// crowdClients clients send bodies of crowdBody bytes for at most maxCrowdTime; then there are none for at most
	// maxCrowdGap.
	crowdClients = 24
	crowdBody    = 6 << 20
	maxCrowdTime = 1500 * time.Millisecond
	maxCrowdGap  = 1500 * time.Millisecond
)

// daemonLimits are the daemons' settings.
var daemonLimits = []string{"--memory-mb", strconv.Itoa(daemonMemoryMB), "--max-fds", strconv.Itoa(daemonDescriptors)}

// crowdBehaviors are those whose requests never reach a server.
var crowdBehaviors = []crowd.Behavior{
	crowd.ShortOfEnd, crowd.LargeChunks, crowd.TinyChunks, crowd.OverLimit, crowd.EndlessBody, crowd.Multipart, crowd.BehindLeaver,
	crowd.HalfHeads, crowd.HalfLines, crowd.Silent,
}

// crowder lets crowds of clients that don't behave call entries and agents. It uses a random source of its own, so that it
// doesn't change the faults of a seed.
type crowder struct {
	cluster *harness.Cluster
	random  *rand.Rand
	logf    func(format string, args ...any)
	err     error
}

func newCrowder(cluster *harness.Cluster, seed uint64, logf func(string, ...any)) *crowder {
	return &crowder{cluster: cluster, random: rand.New(rand.NewPCG(seed, 74)), logf: logf}
}

// run plays one crowd after the other until the context ends.
func (c *crowder) run(ctx context.Context) {
	for c.err == nil && wait.For(ctx, time.Duration(c.random.Int64N(int64(maxCrowdGap)))) {
		name, address, header := c.target()
		behavior := crowdBehaviors[c.random.IntN(len(crowdBehaviors))]
		c.logf("crowd of %s at %s", behavior, name)
		clients := crowd.Start(address, behavior, crowdClients, crowd.Request{Body: crowdBody, Head: func(client int) string {
			return fmt.Sprintf("POST /dispatch/crowd HTTP/1.1\r\nHost: h\r\nX-Client: %d\r\n%s", client, header)
		}})
		wait.For(ctx, time.Duration(c.random.Int64N(int64(maxCrowdTime))))
		c.err = c.checkProcess(name)
		clients.Close()
	}
}

// target draws an entry or an agent and returns its name, its address and the header of a caller that has a key.
func (c *crowder) target() (name, address, header string) {
	n := c.random.IntN(len(c.cluster.Entries) + len(c.cluster.Servers))
	if n < len(c.cluster.Entries) {
		e := c.cluster.Entries[n]
		return e.Name, e.CallerAddress, "Authorization: Bearer " + c.cluster.Keys[c.random.IntN(len(c.cluster.Keys))] + "\r\n"
	}
	s := c.cluster.Servers[n-len(c.cluster.Entries)]
	return "agent-" + s.Name, s.AgentAddress(), harness.AgentHeader(s.Name)
}

// checkProcess returns an error if a process has exceeded its limits. One that is down or ends meanwhile hasn't.
func (c *crowder) checkProcess(name string) error {
	process := c.cluster.Processes[name]
	if !process.Running() {
		return nil
	}
	usage, err := crowd.ReadUsage(process.PID(), nil)
	if err != nil {
		return nil // it has just ended
	}
	if peak := usage.Peak + usage.Unread; peak > daemonMemoryMB<<20 {
		return errors.Errorf("%s held %d MB, more than %d", name, peak>>20, daemonMemoryMB)
	}
	if usage.Descriptors > daemonDescriptors || usage.Sockets > daemonDescriptors-reservedDescriptors {
		return errors.Errorf("%s held %d descriptors, of them %d sockets and pipes", name, usage.Descriptors, usage.Sockets)
	}
	return nil
}

// check returns an error if a process has exceeded its limits.
func (c *crowder) check() error {
	if c.err != nil {
		return c.err
	}
	for name := range c.cluster.Processes {
		if harness.IsDaemon(name) {
			if err := c.checkProcess(name); err != nil {
				return err
			}
		}
	}
	return nil
}
