// Package limitsim simulates daemons that enforce the rate limits of servers together, in
// virtual time: the real ratelimit tables, servers that announce limits, and a network that
// delays, loses and partitions messages. A run is determined by its seed.
package limitsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"google.golang.org/protobuf/proto"
)

const (
	// Step is the increment of the simulated clock.
	Step = 5 * time.Millisecond
	// Window is the time over which a server's requests are counted.
	Window = 4 * time.Second
	// SettleTime is the time until all daemons enforce a changed limit.
	SettleTime = 3 * time.Second
	// sendInterval is the minimum time from a daemon's refresh to its next update.
	sendInterval = 10 * time.Millisecond
	// Defaults of Sim.MaxDelay and Daemon.RequestRate.
	defaultMaxDelay    = 4 * time.Millisecond
	defaultRequestRate = 10
	// maxAttempts is the number of servers that are tried for a request.
	maxAttempts = 3
)

// MaxRequests returns the number of requests that a server with a limit may receive in one
// window: 1.5 times its limit, and 5 requests that were in flight.
func MaxRequests(limit float64) int { return int(1.5*limit*Window.Seconds()) + 5 }

// Daemon is a simulated daemon.
type Daemon struct {
	Table *ratelimit.Table
	// RequestRate is the number of requests per second that callers send to it.
	RequestRate float64
	// Partition is the daemon's network partition. Only daemons of the same one exchange messages.
	Partition int
	// FrozenUntil is the time at which a suspended daemon resumes. Messages wait until then.
	FrozenUntil time.Time
	Stopped     bool

	lastRefresh time.Time
	inbox       []message
}

type message struct {
	from      string
	deliverAt time.Time
	update    *peerrpc.LimitNews
}

// Sim is a simulated fleet of daemons and its servers.
type Sim struct {
	Random  *rand.Rand
	Now     time.Time
	Daemons []*Daemon
	// Limit is the limit that all servers announce; LimitChangedAt is the time of its last change.
	Limit          ratelimit.Limit
	LimitChangedAt time.Time
	// Loss is the fraction of messages that is lost; MaxDelay bounds the delay of the others.
	Loss     float64
	MaxDelay time.Duration
	// PartitionedAt contains the start times of network partitions.
	PartitionedAt []time.Time
	// DrawCustomer returns the customer of a request; SentByCustomer counts the requests sent
	// to servers.
	DrawCustomer   func(*rand.Rand) string
	SentByCustomer map[string]int
	// SentByServer contains the times of the requests to each server.
	SentByServer map[string][]time.Time
	// Messages and Bytes count the messages between daemons, lost ones included.
	Messages, Bytes int

	servers []string
	nextID  uint64
}

// New returns a simulation with a number of daemons and of servers that announce a limit in
// requests per second.
func New(seed uint64, daemons, servers int, limit float64) *Sim {
	s := &Sim{
		Random: rand.New(rand.NewPCG(seed, 7)), Now: time.Unix(9000, 0), MaxDelay: defaultMaxDelay,
		Limit: ratelimit.Limit{Present: true, PerSecond: limit}, SentByCustomer: map[string]int{}, SentByServer: map[string][]time.Time{},
		DrawCustomer: func(*rand.Rand) string { return "" },
	}
	for i := range servers {
		s.servers = append(s.servers, fmt.Sprint("server-", i))
	}
	for range daemons {
		s.AddDaemon()
	}
	return s
}

// AddDaemon adds a daemon to the partition of the last running one: without a reachable peer
// it would use the whole limit.
func (s *Sim) AddDaemon() {
	s.nextID++
	d := &Daemon{Table: ratelimit.New(s.nextID, s.Random.Float64), RequestRate: defaultRequestRate}
	for _, other := range s.Daemons {
		if !other.Stopped {
			d.Partition = other.Partition
		}
	}
	s.Daemons = append(s.Daemons, d)
}

// StopDaemon stops a daemon gracefully.
func (s *Sim) StopDaemon(d *Daemon) {
	s.send(slices.Index(s.Daemons, d), []*peerrpc.LimitNews{d.Table.DepartureMessage()})
	d.Stopped = true
}

// Running returns the number of running daemons.
func (s *Sim) Running() (n int) {
	for _, d := range s.Daemons {
		if !d.Stopped {
			n++
		}
	}
	return n
}

// Run advances the simulation by d.
func (s *Sim) Run(d time.Duration) {
	for end := s.Now.Add(d); s.Now.Before(end); s.Now = s.Now.Add(Step) {
		for i, daemon := range s.Daemons {
			if daemon.Stopped || s.Now.Before(daemon.FrozenUntil) {
				continue
			}
			if !daemon.FrozenUntil.IsZero() {
				daemon.FrozenUntil = time.Time{}
				daemon.Table.Resumed(s.Now)
			}
			s.step(i, daemon)
		}
	}
}

// step delivers the messages that are due to a daemon, sends its requests, and publishes its
// updates.
func (s *Sim) step(i int, d *Daemon) {
	pending := d.inbox[:0]
	for _, m := range d.inbox {
		if m.deliverAt.After(s.Now) {
			pending = append(pending, m)
			continue
		}
		d.Table.Receive(m.from, m.update, s.Now)
	}
	d.inbox = pending
	for due := d.RequestRate * Step.Seconds(); due > 0; due-- {
		if s.Random.Float64() < due {
			s.sendRequest(d)
		}
	}
	switch since := s.Now.Sub(d.lastRefresh); {
	case since >= d.Table.RefreshInterval():
		d.lastRefresh = s.Now
		s.send(i, d.Table.RefreshMessages(s.Now))
	case since >= sendInterval:
		if updates := d.Table.Updates(s.Now); len(updates) > 0 {
			s.send(i, updates)
		}
	}
}

// send schedules the delivery of messages to all other daemons, except those that are lost
// or cross a partition.
func (s *Sim) send(from int, messages []*peerrpc.LimitNews) {
	for _, m := range messages {
		size := proto.Size(m)
		for i, to := range s.Daemons {
			if i == from || to.Stopped {
				continue
			}
			s.Messages++
			s.Bytes += size
			if to.Partition != s.Daemons[from].Partition || s.Random.Float64() < s.Loss {
				continue
			}
			delay := time.Duration(s.Random.Float64() * float64(s.MaxDelay))
			to.inbox = append(to.inbox, message{from: fmt.Sprint("d", from), deliverAt: s.Now.Add(delay), update: m})
		}
	}
}

// sendRequest sends one request to a server with a free token, whose response announces its
// limit.
func (s *Sim) sendRequest(d *Daemon) {
	request := ratelimit.TokenRequest{Customer: s.DrawCustomer(s.Random)}
	for range maxAttempts {
		server := s.servers[s.Random.IntN(len(s.servers))]
		if d.Table.Wait(server, request, s.Now) > 0 || d.Table.Acquire(server, request, s.Now) > 0 {
			continue
		}
		s.SentByServer[server] = append(s.SentByServer[server], s.Now)
		s.SentByCustomer[request.Customer]++
		limit := s.Limit
		limit.RequestedAt, limit.ReceivedAt = s.Now.Add(-Step/2), s.Now
		d.Table.UpdateLimit(server, limit)
		return
	}
	d.Table.RecordRefusal([]string{s.servers[s.Random.IntN(len(s.servers))]}, request, s.Now)
}

// CountSince returns the number of requests to all servers since a time, and the maximum for
// one server in a window that starts at or after it.
func (s *Sim) CountSince(from time.Time) (count, maxInWindow int) {
	for _, sent := range s.SentByServer {
		first, _ := slices.BinarySearchFunc(sent, from, time.Time.Compare)
		sent = sent[first:]
		count += len(sent)
		end := 0
		for i, at := range sent {
			for end < len(sent) && sent[end].Sub(at) < Window {
				end++
			}
			maxInWindow = max(maxInWindow, end-i)
		}
	}
	return count, maxInWindow
}

// InjectFault changes the fleet, the network or the limit at random.
func (s *Sim) InjectFault() {
	d := s.Daemons[s.Random.IntN(len(s.Daemons))]
	switch s.Random.IntN(8) {
	case 0:
		s.AddDaemon()
	case 1:
		s.StopDaemon(d)
	case 2: // killed
		d.Stopped = true
	case 3:
		d.FrozenUntil = s.Now.Add(time.Duration(s.Random.IntN(6000)) * time.Millisecond)
	case 4:
		s.partition()
	case 5:
		for _, other := range s.Daemons {
			other.Partition = 0
		}
	case 6:
		s.Loss = []float64{0, 0.03, 0.2}[s.Random.IntN(3)]
		s.MaxDelay = []time.Duration{4, 20, 100}[s.Random.IntN(3)] * time.Millisecond
	case 7:
		s.LimitChangedAt = s.Now
		s.Limit.PerSecond = []float64{0.2, 1, 1.1, 5, 20}[s.Random.IntN(5)]
	}
}

// partition assigns each daemon to one of two network partitions.
func (s *Sim) partition() {
	s.PartitionedAt = append(s.PartitionedAt, s.Now)
	for _, d := range s.Daemons {
		d.Partition = s.Random.IntN(2)
	}
}

// PartitionExcess returns by how many requests partitions may exceed the limit in a window
// that starts after a time: daemons detect unreachable peers only after a delay.
func (s *Sim) PartitionExcess(from time.Time) int {
	excess := 0.0
	for _, at := range s.PartitionedAt {
		if detection, perPartition := ratelimit.PartitionExcess(s.Limit.PerSecond); at.After(from.Add(-detection)) {
			excess += perPartition
		}
	}
	return int(excess)
}
