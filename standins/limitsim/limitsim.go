// Package limitsim plays daemons that keep servers' limits together, on a clock of its own:
// the package that they do it with, a network that delays, loses and cuts messages, and servers
// that name limits. The same seed plays the same.
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
	// Step is how far the clock goes on at a time.
	Step = 5 * time.Millisecond
	// Window is the span over which a server's requests count.
	Window = 4 * time.Second
	// Settles is how long a server's word takes to hold everywhere.
	SettleTime = 3 * time.Second
	// tellPace is the least time between a daemon's messages.
	sendInterval = 10 * time.Millisecond
	// usualDelay and usualDemand are the longest way of a message, and the requests a second
	// that a daemon gets, unless they're changed.
	defaultMaxDelay    = 4 * time.Millisecond
	defaultRequestRate = 10
	// looks is how many servers a request looks at for one that takes it.
	maxAttempts = 3
)

// Allowed is what a server with a limit may get in one window: half as much again as it named,
// and 5 requests that were on their way.
func MaxRequests(limit float64) int { return int(1.5*limit*Window.Seconds()) + 5 }

// Daemon is one of a fleet.
type Daemon struct {
	Table *ratelimit.Table
	// Demand is how many requests a second it gets.
	RequestRate float64
	// Side tells which daemons hear each other: those of the same.
	Partition int
	// FrozenUntil is when it runs on; what comes before waits.
	FrozenUntil time.Time
	// Gone is set when it has ended.
	Stopped bool

	lastSent time.Time
	inbox    []message
}

type message struct {
	from      string
	deliverAt time.Time
	update    *peerrpc.LimitNews
}

// Sim is a fleet and its servers.
type Sim struct {
	Random  *rand.Rand
	Now     time.Time
	Daemons []*Daemon
	// Limit is what all servers name, ChangedAt when they named another last.
	Limit          ratelimit.Limit
	LimitChangedAt time.Time
	// Loss is the part of messages that is lost, Delay the longest that one takes.
	Loss     float64
	MaxDelay time.Duration
	// CutAt is when daemons were cut off from each other.
	PartitionedAt []time.Time
	// Customer draws who a request is of, Got counts what customers got.
	DrawCustomer   func(*rand.Rand) string
	SentByCustomer map[string]int
	// Sent has the times of the requests to each server.
	SentByServer map[string][]time.Time
	// Messages and Bytes count what daemons told each other.
	Messages, Bytes int

	servers []string
	nextID  uint64
}

// New returns a fleet of some daemons before some servers.
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

// Join adds a daemon, where another one is: one that comes cut off from all others can't know of
// them, and sends by the whole limit.
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

// Leave ends a daemon as planned.
func (s *Sim) StopDaemon(d *Daemon) {
	s.send(slices.Index(s.Daemons, d), []*peerrpc.LimitNews{d.Table.DepartureMessage()})
	d.Stopped = true
}

// Alive counts the daemons that run.
func (s *Sim) Running() (n int) {
	for _, d := range s.Daemons {
		if !d.Stopped {
			n++
		}
	}
	return n
}

// Run lets a time pass.
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

// step lets one daemon hear, send requests and tell.
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
	switch since := s.Now.Sub(d.lastSent); {
	case since >= d.Table.RefreshInterval():
		d.lastSent = s.Now
		s.send(i, d.Table.RefreshMessages(s.Now))
	case since >= sendInterval:
		if updates := d.Table.Updates(s.Now); len(updates) > 0 {
			s.send(i, updates)
		}
	}
}

// send delivers messages later, but for those lost or cut off.
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

// request sends one to a server if one takes it, and hears its word.
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

// Since counts what was sent to all servers from a time on, and the most to one of them in a
// window that began then.
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

// Disturb does something to the fleet at random.
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

// cut puts each daemon on one of two sides.
func (s *Sim) partition() {
	s.PartitionedAt = append(s.PartitionedAt, s.Now)
	for _, d := range s.Daemons {
		d.Partition = s.Random.IntN(2)
	}
}

// AddedByCuts is what cuts may have added to a window that began after a time, until it was
// noticed that the others are silent.
func (s *Sim) PartitionExcess(from time.Time) int {
	excess := 0.0
	for _, at := range s.PartitionedAt {
		if detection, perPartition := ratelimit.PartitionExcess(s.Limit.PerSecond); at.After(from.Add(-detection)) {
			excess += perPartition
		}
	}
	return int(excess)
}
