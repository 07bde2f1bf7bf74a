// Package crash finds out whether servers that cut requests off have ended, tells
// other daemons, and keeps the quarantine of requests that end their servers.
package crash

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/sirupsen/logrus"
)

// Liveness is what a probe says of a server.
type Liveness int

// What a probe can say.
const (
	// Unknown servers didn't answer: they may be cut off.
	Unknown Liveness = iota
	// Listening servers accept connections.
	Listening
	// Ended servers have nobody who listens at their address.
	Exited
)

// Prober looks whether a server's process listens.
type Prober interface {
	Probe(ctx context.Context, server *fleet.Server) Liveness
}

const (
	// probeDelay is how long after an attempt was cut off its server is probed: a process
	// that ends may close its connections a little before it stops listening.
	probeDelay = 100 * time.Millisecond
	// rankProbeDelay replaces it for ranks of groups: the agents beside them tell sooner,
	// and a group that breaks cuts off what all its ranks run. Agents tell each 0.4 s at
	// least.
	rankProbeDelay = 700 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// reportLag is how long after an attempt was cut off an agent's report shows that the
	// engine lives on, and soonestRestart up to when it can't be the engine's next start.
	reportLag      = 250 * time.Millisecond
	soonestRestart = time.Second
	// newsQueue is how many pieces of news may wait to be sent: what is over reaches the
	// others when they ask.
	newsQueue = 256
)

// Watch keeps a daemon's evidence and finds out what is missing of it. Safe for
// concurrent use.
type Detector struct {
	table  *quarantine.Table
	prober Prober
	now    func() time.Time
	after  func(time.Duration, func())
	log    *logrus.Entry
	news   chan []quarantine.Evidence
	// tableID names the table to other daemons; never 0, which stands for none.
	tableID uint64
	// changed gets a value when the quarantines may have changed.
	changed chan struct{}
	// bars tells why a server gets no requests by its own word, or nil.
	bars func(server string) *eligibility.Exclusion

	mu sync.Mutex // taken before the table's
	// servers is the registry as last seen.
	servers *fleet.Servers
	// lastCuts are when attempts were cut off at ranks last, by server.
	lastCuts map[string]time.Time
	// peers is what is known of other daemons' tables, by address.
	peers map[string]peerTable
}

// New returns a watch. after calls a function after a time.
func New(prober Prober, now func() time.Time, after func(time.Duration, func()), log *logrus.Entry) *Detector {
	return &Detector{
		table: quarantine.NewTable(), prober: prober, now: now, after: after, log: log,
		news: make(chan []quarantine.Evidence, newsQueue), tableID: rand.Uint64() | 1, changed: make(chan struct{}, 1),
		lastCuts: map[string]time.Time{}, peers: map[string]peerTable{},
		bars: func(string) *eligibility.Exclusion { return nil },
	}
}

// SetBars makes the watch heed what servers say of themselves. Call it before the first
// request.
func (w *Detector) SetExclusions(bars func(server string) *eligibility.Exclusion) { w.bars = bars }

// leaves tells whether a server is to leave, by its registration or its own word.
func (w *Detector) leaves(server *fleet.Server) bool {
	if server.Leaving {
		return true
	}
	bar := w.bars(server.Key())
	return bar != nil && bar.Reason == eligibility.Leaving
}

// Empty implements dispatch.Quarantine.
func (w *Detector) Empty() bool { return w.table.Empty() }

// Admit implements dispatch.Quarantine.
func (w *Detector) Admit(d quarantine.Digest) quarantine.Decision { return w.table.Admit(d, w.now()) }

// Release implements dispatch.Quarantine.
func (w *Detector) Release(d quarantine.Digest) { w.table.Release(d) }

// MarkServed implements dispatch.Quarantine.
func (w *Detector) MarkServed(d quarantine.Digest) {
	if cleared := w.table.MarkServed(d); len(cleared) > 0 {
		w.log.WithFields(logrus.Fields{"digest": d, "servers": len(cleared)}).Info("request cleared: it has run to a good end")
		w.tell(cleared)
		w.wake()
	}
}

// ConnectionLost implements dispatch.Quarantine. What a server that is to leave cuts off says
// nothing against the request.
func (w *Detector) ConnectionLost(d quarantine.Digest, about quarantine.RequestInfo, server *fleet.Server) {
	if registered := w.registered(server.Key()); registered == nil || w.leaves(registered) {
		return
	}
	now := w.now()
	delay := probeDelay
	if server.Rank != nil {
		delay = rankProbeDelay
		w.mu.Lock()
		w.lastCuts[server.Key()] = now
		w.mu.Unlock()
	}
	if w.table.ConnectionLost(d, about, server.Key(), now) {
		w.after(delay, func() { w.probe(server) })
	}
}

func (w *Detector) registered(key string) *fleet.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.servers == nil {
		return nil
	}
	return w.servers.ByKey(key)
}

// probe finds out whether a server has ended, unless that is known by now.
func (w *Detector) probe(server *fleet.Server) {
	if !w.table.ExitPending(server.Key(), w.now()) {
		return
	}
	began := w.now()
	if bar := w.bars(server.Key()); bar != nil {
		w.log.WithFields(logrus.Fields{"server": server.ID, "reason": bar.Reason}).
			Info("server cut requests off and isn't probed, by its own word: taken for alive until it's known to have ended")
		w.table.MarkAlive(server.Key(), began)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	switch w.prober.Probe(ctx, server) {
	case Exited:
		w.MarkExited(server.Key(), "nobody listens at its address")
	case Listening:
		w.table.MarkAlive(server.Key(), began)
	case Unknown:
		w.log.WithFields(logrus.Fields{"server": server.ID, "address": server.Address}).
			Info("server cut requests off and can't be reached: taken for alive until it's known to have ended")
		w.table.MarkAlive(server.Key(), began)
	}
}

// MarkExited implements dispatch.Quarantine: a server has ended, as cause shows.
func (w *Detector) MarkExited(server, cause string) {
	found := w.table.MarkExited(server, w.now())
	if len(found) == 0 {
		return
	}
	metrics.GetOrCreateCounter(`crowbridge_servers_ended_under_requests_total`).Inc()
	w.log.WithFields(logrus.Fields{"server": server, "cause": cause, "requests": len(found)}).
		Warn("server ended with requests in progress")
	w.tell(found)
	w.after(quarantine.SettleTime, w.wake)
}

// wake makes the keeper look at once.
func (w *Detector) wake() {
	select {
	case w.changed <- struct{}{}:
	default: // it will look
	}
}

// tell puts evidence into the queue for other daemons.
func (w *Detector) tell(evidence []quarantine.Evidence) {
	select {
	case w.news <- evidence:
	default:
		w.log.WithField("evidence", len(evidence)).Info("evidence not sent, too much is waiting: others hear of it when they ask")
	}
}

// News is the evidence that this daemon has found and others should hear of at once.
func (w *Detector) Updates() <-chan []quarantine.Evidence { return w.news }

// Hear takes in another daemon's evidence.
func (w *Detector) MergeEvidence(evidence []quarantine.Evidence, source string) {
	news := w.table.Merge(evidence, w.now())
	if len(news) == 0 {
		return
	}
	w.log.WithFields(logrus.Fields{"evidence": len(news), "source": source}).Info("servers that ended under requests heard of")
	w.after(quarantine.SettleTime, w.wake)
}

// SetEngineReachable takes in what the agent beside a server says of it: that its engine answers, or
// that nobody listens where it did.
func (w *Detector) SetEngineReachable(server string, answers bool) {
	if !answers {
		w.MarkExited(server, "its agent finds nobody listening")
		return
	}
	w.mu.Lock()
	cut, found := w.lastCuts[server]
	w.mu.Unlock()
	if !found {
		return
	}
	if age := w.now().Sub(cut); age >= reportLag {
		if age < soonestRestart {
			w.table.MarkAlive(server, cut)
		}
		w.mu.Lock()
		delete(w.lastCuts, server)
		w.mu.Unlock()
	}
}

// Keep takes in a state of the registry: servers that are gone without having said that
// they leave, and those that have started again, have ended.
func (w *Detector) UpdateRegistry(servers *fleet.Servers) {
	before := w.SetServers(servers)
	if before == nil {
		return
	}
	for id, old := range before.All() {
		current := servers.ByID(id)
		switch {
		case current == nil && !w.leaves(old):
			w.MarkExited(old.Key(), "its registration is gone")
		case current != nil && current.Key() != old.Key():
			w.MarkExited(old.Key(), "it has started again")
		}
	}
}

// SetServers takes in the servers that operators list: one that is no longer listed hasn't
// ended for it. It returns those before.
func (w *Detector) SetServers(servers *fleet.Servers) (before *fleet.Servers) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before, w.servers = w.servers, servers
	maps.DeleteFunc(w.lastCuts, func(key string, _ time.Time) bool { return servers.ByKey(key) == nil })
	return before
}

// Table is the daemon's evidence.
func (w *Detector) Table() *quarantine.Table { return w.table }

// release ends a quarantine, as the operators say.
func (w *Detector) release(d quarantine.Digest) {
	if cleared := w.table.EndQuarantine(d); len(cleared) > 0 {
		w.tell(cleared)
	}
}
