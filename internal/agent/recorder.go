package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Recorder puts the beginning and the planned end of the agent's run onto the
// log, by way of the entries, so that the next run knows which keys may have run.
type Recorder struct {
	agent   *Agent
	replica *replica.Replica
	entries []rpc.Peers
	log     *logrus.Entry
}

// NewRecorder returns a recorder that reaches the log through entries at the
// given control addresses, tried in turn.
func NewRecorder(agent *Agent, rep *replica.Replica, addresses []string, client *http.Client, log *logrus.Entry) *Recorder {
	r := &Recorder{agent: agent, replica: rep, log: log}
	for _, address := range addresses {
		r.entries = append(r.entries, rpc.NewPeersProtobufClient("http://"+address, client))
	}
	return r
}

const (
	recordTimeout = 2 * time.Second
	recordAgain   = 2 * time.Second
)

// RecordStart records the beginning, as soon as the log can be reached, and returns.
func (r *Recorder) RecordStart(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.replica.View().Position.HasRecord() && r.begin(ctx) {
			return nil
		}
		timer := time.NewTimer(recordAgain)
		select {
		case <-timer.C:
		case <-r.replica.Changed():
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// begin appends the beginning and waits until the fold has taken it. It is
// repeated when another record came in between; the fold takes the first only.
func (r *Recorder) begin(ctx context.Context) bool {
	server := r.agent.options.Server
	if r.mine() {
		return true
	}
	previous := config.NoOffset
	if run, known := r.replica.Agent(server); known {
		previous = run.Offset
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := r.append(ctx, &config.AgentEvent{Server: server, Incarnation: r.agent.incarnation, Previous: previous})
	if err != nil {
		r.log.WithError(err).Debug("beginning not recorded yet")
		return false
	}
	return r.replica.Wait(ctx, r.mine) == nil
}

// mine tells whether the log says that this run is on, and takes over what it
// inherits.
func (r *Recorder) mine() bool {
	run, known := r.replica.Agent(r.agent.options.Server)
	if !known || run.Incarnation != r.agent.incarnation {
		return false
	}
	r.agent.recorded(inheritance(run.Inherited))
	return true
}

func inheritance(h *config.Handover) *outcome.Handover {
	if h == nil {
		return nil
	}
	seen := map[uint64]bool{}
	for _, hash := range h.Hashes() {
		seen[hash] = true
	}
	return &outcome.Handover{
		CoveredFrom: time.UnixMilli(h.CoveredFromMs), SealedAt: time.UnixMilli(h.SealedMs), CoversUntimed: h.Untimed, Seen: seen,
	}
}

// Seal ends the agent's key table and records its handover. When that fails, the
// next run goes without, which is safe.
func (r *Recorder) Seal(ctx context.Context) {
	handover := r.agent.seal()
	if handover == nil {
		return
	}
	hashes := make([]uint64, 0, len(handover.Seen))
	for hash := range handover.Seen {
		hashes = append(hashes, hash)
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := r.append(ctx, &config.AgentEvent{
		Server: r.agent.options.Server, Incarnation: r.agent.incarnation,
		Handover: &config.Handover{
			SealedMs: handover.SealedAt.UnixMilli(), CoveredFromMs: handover.CoveredFrom.UnixMilli(),
			Untimed: handover.CoversUntimed, Seen: config.PackHashes(hashes),
		},
	})
	if err != nil {
		r.log.WithError(err).Warn("handover not recorded; the next run will call recent keys unknown")
	}
}

func (r *Recorder) append(ctx context.Context, event *config.AgentEvent) error {
	record := &config.Record{Format: config.FormatVersion, Kind: config.RecordAgent, Agent: event}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	for _, entry := range r.entries {
		if _, err = entry.Append(ctx, &rpc.AppendRequest{Record: data}); err == nil {
			return nil
		}
	}
	return errors.Wrap(err, "no entry reaches the log")
}

func (a *Agent) recorded(inherited *outcome.Handover) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys.MarkRecorded(inherited)
}

func (a *Agent) seal() *outcome.Handover {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys.Seal(a.now())
}
