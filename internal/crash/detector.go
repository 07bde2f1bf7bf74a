// Package crash detects servers that exit while they run requests, shares the evidence with
// peers, and persists the quarantine of requests that crash servers.
package crash

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/sirupsen/logrus"
)

// Liveness is the result of a probe.
type Liveness int

const (
	// Unknown means no response: the server may be partitioned.
	Unknown Liveness = iota
	// Listening means that the server accepts connections.
	Listening
	// Exited means that no process listens at the server's address.
	Exited
)

// Prober checks whether a server's process listens.
type Prober interface {
	Probe(ctx context.Context, server *fleet.Server) Liveness
}

const (
	// probeDelay is the time from a lost connection to the probe: an exiting process may close
	// its connections slightly before its listening socket.
	probeDelay = 100 * time.Millisecond
	// rankProbeDelay replaces probeDelay for ranks of groups. Their agents report at least
	// every 0.4 s, and a group failure affects requests at all ranks at once.
	rankProbeDelay = 700 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// reportDelay is the time from a lost connection until an agent's report is certain to
	// postdate it. A report after minRestartTime may describe a restarted engine.
	reportDelay    = 250 * time.Millisecond
	minRestartTime = time.Second
	// updateQueueSize bounds the queued updates. Peers receive dropped updates with their next
	// pull.
	updateQueueSize = 256
)

// Detector holds a daemon's evidence and resolves lost connections. It is safe for concurrent
// use.
type Detector struct {
	table     *quarantine.Table
	prober    Prober
	now       func() time.Time
	afterFunc func(time.Duration, func())
	log       *logrus.Entry
	updates   chan []quarantine.Evidence
	// tableID identifies the table to peers; never 0, which stands for none.
	tableID uint64
	// changed receives a value when the quarantines may have changed.
	changed chan struct{}
	// exclusion returns why a server may receive no requests by its own report, or nil.
	exclusion func(server string) *eligibility.Exclusion
	refresher refresher

	mu sync.Mutex // acquired before the table's lock
	// servers is the latest state of the registry.
	servers *fleet.Servers
	// lastLosses are the last lost connections to ranks, by server.
	lastLosses map[string]rankLoss
	// peers are the positions in peers' tables, by address; silent are the peers that didn't
	// answer the last call.
	peers  map[string]peerPosition
	silent map[string]bool
}

// rankLoss is a lost connection to a rank.
type rankLoss struct {
	at time.Time
	// reported is set once the rank's agent has reported that its engine is reachable.
	reported bool
}

// New returns a detector. afterFunc schedules a function call.
func New(prober Prober, now func() time.Time, afterFunc func(time.Duration, func()), log *logrus.Entry) *Detector {
	return &Detector{
		table: quarantine.NewTable(), prober: prober, now: now, afterFunc: afterFunc, log: log,
		updates: make(chan []quarantine.Evidence, updateQueueSize), tableID: rand.Uint64() | 1, changed: make(chan struct{}, 1),
		lastLosses: map[string]rankLoss{}, peers: map[string]peerPosition{}, silent: map[string]bool{},
		exclusion: func(string) *eligibility.Exclusion { return nil },
	}
}

// SetExclusions sets the source of the servers' self-reported exclusions. Call it before the
// first request.
func (det *Detector) SetExclusions(exclusion func(server string) *eligibility.Exclusion) {
	det.exclusion = exclusion
}

// isLeaving reports whether a server is leaving, by its registration or its own report.
func (det *Detector) isLeaving(server *fleet.Server) bool {
	if server.Leaving {
		return true
	}
	exclusion := det.exclusion(server.Key())
	return exclusion != nil && exclusion.Reason == eligibility.Leaving
}

// Empty implements dispatch.Quarantine.
func (det *Detector) Empty() bool { return !det.outdated() && det.table.Empty() }

// Admit implements dispatch.Quarantine. Decisions are pending while outdated evidence is refreshed.
func (det *Detector) Admit(f quarantine.Fingerprint) quarantine.Decision {
	if det.outdated() {
		return quarantine.Decision{State: quarantine.Pending}
	}
	return det.table.Admit(f, det.now())
}

// Done implements dispatch.Quarantine.
func (det *Detector) Done(d quarantine.Digest) { det.table.Done(d) }

// RecordServed implements dispatch.Quarantine.
func (det *Detector) RecordServed(service string, parts quarantine.PromptParts) {
	det.table.RecordServed(service, parts, det.now())
}

// RecordSuccess implements dispatch.Quarantine.
func (det *Detector) RecordSuccess(f quarantine.Fingerprint) {
	if cleared := det.table.RecordSuccess(f); len(cleared) > 0 {
		det.log.WithFields(logrus.Fields{"digest": f.Digest, "exits": len(cleared), "parts": describeParts(cleared)}).
			Info("evidence cleared: a request completed successfully")
		countEvidence("cleared", cleared)
		det.publish(urgent(cleared))
		det.notifyStore()
	}
}

// RecordConnectionLoss implements dispatch.Quarantine. Connections lost at leaving or unknown
// servers are not evidence against the request.
func (det *Detector) RecordConnectionLoss(f quarantine.Fingerprint, server *fleet.Server) {
	if registered := det.registered(server.Key()); registered == nil || det.isLeaving(registered) {
		return
	}
	now := det.now()
	delay := probeDelay
	if server.Rank != nil {
		delay = rankProbeDelay
		det.mu.Lock()
		det.lastLosses[server.Key()] = rankLoss{at: now}
		det.mu.Unlock()
	}
	if det.table.RecordConnectionLoss(f, server.Key(), now) {
		det.afterFunc(delay, func() { det.probe(server) })
	}
}

func (det *Detector) registered(key string) *fleet.Server {
	det.mu.Lock()
	defer det.mu.Unlock()
	if det.servers == nil {
		return nil
	}
	return det.servers.ByKey(key)
}

// probe determines whether a server exited, unless that is known already.
func (det *Detector) probe(server *fleet.Server) {
	if !det.table.ExitPending(server.Key(), det.now()) {
		return
	}
	startedAt := det.now()
	if exclusion := det.exclusion(server.Key()); exclusion != nil {
		det.log.WithFields(logrus.Fields{"server": server.ID, "reason": exclusion.Reason}).
			Info("server lost connections and is excluded: not probed, presumed alive")
		det.table.MarkAlive(server.Key(), startedAt)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	switch det.prober.Probe(ctx, server) {
	case Exited:
		det.MarkExited(server.Key(), "connection refused by its address")
	case Listening:
		det.table.MarkAlive(server.Key(), startedAt)
	case Unknown:
		det.log.WithFields(logrus.Fields{"server": server.ID, "address": server.Address}).
			Info("server lost connections and is unreachable: presumed alive")
		det.table.MarkAlive(server.Key(), startedAt)
	}
}

// HasExited implements dispatch.Quarantine. Leaving servers stop listening before their last
// responses end, and those that rest aren't probed.
func (det *Detector) HasExited(ctx context.Context, server *fleet.Server) bool {
	registered := det.registered(server.Key())
	if registered == nil || registered.Leaving || det.exclusion(server.Key()) != nil {
		return false
	}
	return det.prober.Probe(ctx, server) == Exited
}

// MarkExited implements dispatch.Quarantine.
func (det *Detector) MarkExited(server, cause string) {
	evidence := det.table.MarkExited(server, det.now())
	if len(evidence) == 0 {
		return
	}
	metrics.GetOrCreateCounter(`crowbridge_servers_ended_under_requests_total`).Inc()
	countEvidence("found", evidence)
	requests := slices.DeleteFunc(slices.Clone(evidence), func(e quarantine.Evidence) bool { return e.Part != nil })
	det.log.WithFields(logrus.Fields{
		"server": server, "cause": cause, "requests": len(requests), "parts": describeParts(evidence),
		"age_ms": det.now().Sub(evidence[0].ExitedAt).Milliseconds(),
	}).Warn("server exited with requests in progress")
	det.publish(urgent(evidence))
	det.afterFunc(quarantine.SettleTime, det.notifyStore)
}

// notifyStore triggers a check by the store.
func (det *Detector) notifyStore() {
	select {
	case det.changed <- struct{}{}:
	default: // a check is pending
	}
}

// SetEngineReachable applies the report of a server's agent on whether its engine accepts
// connections.
func (det *Detector) SetEngineReachable(server string, reachable bool) {
	if !reachable {
		det.MarkExited(server, "engine unreachable by its agent")
		return
	}
	det.mu.Lock()
	loss, found := det.lastLosses[server]
	age := det.now().Sub(loss.at)
	known := !found || loss.reported || age < reportDelay
	if !known {
		loss.reported = true
		det.lastLosses[server] = loss
	}
	det.mu.Unlock()
	if !known && age < minRestartTime {
		det.table.MarkAlive(server, loss.at)
	}
}

// RecordResponse implements dispatch.Quarantine.
func (det *Detector) RecordResponse(server *fleet.Server, sentAt time.Time) {
	det.mu.Lock()
	loss, found := det.lastLosses[server.Key()]
	survived := found && loss.at.Before(sentAt)
	if survived {
		delete(det.lastLosses, server.Key())
	}
	det.mu.Unlock()
	if found {
		det.table.DropLosses(server.Key(), sentAt)
	}
}

// UpdateRegistry applies a state of the registry. Servers that disappeared without leaving, or
// that restarted, are marked as exited.
func (det *Detector) UpdateRegistry(servers *fleet.Servers) {
	previousServers := det.SetServers(servers)
	if previousServers == nil {
		return
	}
	for id, previous := range previousServers.All() {
		current := servers.ByID(id)
		switch {
		case current == nil && !det.isLeaving(previous):
			det.MarkExited(previous.Key(), "registration gone")
		case current != nil && current.Key() != previous.Key():
			det.MarkExited(previous.Key(), "restarted")
		}
	}
}

// SetServers sets the known servers and returns the previous ones. Unlike with UpdateRegistry,
// a removal does not count as an exit.
func (det *Detector) SetServers(servers *fleet.Servers) (previous *fleet.Servers) {
	det.mu.Lock()
	defer det.mu.Unlock()
	previous, det.servers = det.servers, servers
	maps.DeleteFunc(det.lastLosses, func(key string, _ rankLoss) bool { return servers.ByKey(key) == nil })
	return previous
}

// Table returns the daemon's evidence.
func (det *Detector) Table() *quarantine.Table { return det.table }

// endQuarantine releases a request on an operator's command.
func (det *Detector) endQuarantine(d quarantine.Digest) {
	if cleared := det.table.EndQuarantine(d); len(cleared) > 0 {
		det.publish(cleared)
	}
}
