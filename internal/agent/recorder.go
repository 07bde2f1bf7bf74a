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

// Recorder records the start and the planned end of the agent's process on the log, through
// the entries, so that the next process knows which keys may have run.
type Recorder struct {
	agent   *Agent
	replica *replica.Replica
	entries []rpc.Peers
	log     *logrus.Entry
}

// NewRecorder returns a recorder that appends through the entries at the given control
// addresses, tried in turn.
func NewRecorder(agent *Agent, rep *replica.Replica, addresses []string, client *http.Client, log *logrus.Entry) *Recorder {
	r := &Recorder{agent: agent, replica: rep, log: log}
	for _, address := range addresses {
		r.entries = append(r.entries, rpc.NewPeersProtobufClient("http://"+address, client))
	}
	return r
}

const (
	recordTimeout       = 2 * time.Second
	recordRetryInterval = 2 * time.Second
)

// RecordStart records the start of the process, retrying until it succeeds or the context
// ends.
func (r *Recorder) RecordStart(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.replica.View().Position.HasRecord() && r.appendStart(ctx) {
			return nil
		}
		timer := time.NewTimer(recordRetryInterval)
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

// appendStart appends the start and waits until the replica has applied it. It reports
// whether that succeeded; if another record was appended in between, the caller retries.
func (r *Recorder) appendStart(ctx context.Context) bool {
	server := r.agent.options.Server
	if r.confirmed() {
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
		r.log.WithError(err).Debug("start not recorded yet")
		return false
	}
	return r.replica.Wait(ctx, r.confirmed) == nil
}

// confirmed reports whether the log has this process as the current one. If so, it applies
// the inherited keys.
func (r *Recorder) confirmed() bool {
	run, known := r.replica.Agent(r.agent.options.Server)
	if !known || run.Incarnation != r.agent.incarnation {
		return false
	}
	r.agent.setInherited(inheritedKeys(run.Inherited))
	return true
}

func inheritedKeys(h *config.Handover) *outcome.Handover {
	if h == nil {
		return nil
	}
	hashes := map[uint64]bool{}
	for _, hash := range h.Hashes() {
		hashes[hash] = true
	}
	return &outcome.Handover{
		CoveredFrom: time.UnixMilli(h.CoveredFromMs), SealedAt: time.UnixMilli(h.SealedMs), CoversUntimed: h.Untimed, Seen: hashes,
	}
}

// Seal closes the agent's key table and records the handover to the next process. If that
// fails, the next process reports recent keys as unknown, which is safe.
func (r *Recorder) Seal(ctx context.Context) {
	handover := r.agent.sealKeys()
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
		r.log.WithError(err).Warn("handover not recorded; the next process will report recent keys as unknown")
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
	return errors.Wrap(err, "append through any entry")
}

func (a *Agent) setInherited(inherited *outcome.Handover) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.keys.MarkRecorded(inherited)
}

func (a *Agent) sealKeys() *outcome.Handover {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys.Seal(a.now())
}
