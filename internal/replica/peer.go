package replica

import (
	"context"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// PeerSource reads from another daemon.
type PeerSource struct {
	address string
	daemon  string
	client  rpc.Peers
}

// NewPeerSource returns a source for the daemon at a control address. daemon is the name of the
// caller.
func NewPeerSource(address, daemon string, client *http.Client) *PeerSource {
	return &PeerSource{
		address: address,
		daemon:  daemon,
		client:  rpc.NewPeersProtobufClient("http://"+address, client),
	}
}

// Name implements Source.
func (p *PeerSource) Name() string { return "peer " + p.address }

// Records implements Source.
func (p *PeerSource) Records(ctx context.Context, after storelog.Position, wait time.Duration) (Batch, error) {
	reply, err := p.client.Records(ctx, &rpc.RecordsRequest{After: int64(after), WaitMs: wait.Milliseconds(), Daemon: p.daemon})
	if err != nil {
		return Batch{}, errors.Wrap(err, p.Name())
	}
	if known := storelog.Position(reply.Offset); known.Era() < after.Era() {
		return Batch{}, errors.Errorf("%s: peer is at %s, in an older era than %s", p.Name(), known, after)
	}
	batch := Batch{Gone: reply.Gone, LogAge: time.Duration(reply.LogAgeMs) * time.Millisecond}
	for _, r := range reply.Records {
		batch.Entries = append(batch.Entries, config.LogEntry{Position: storelog.Position(r.Offset), TimeMs: r.TimeMs, Data: r.Data})
	}
	return batch, nil
}

// State implements Source.
func (p *PeerSource) State(ctx context.Context) (*config.State, error) {
	reply, err := p.client.State(ctx, &rpc.StateRequest{})
	if err != nil {
		return nil, errors.Wrap(err, p.Name())
	}
	state, err := config.DecodeSnapshot(reply.Snapshot)
	return state, errors.Wrap(err, p.Name())
}

// PeerServer serves a replica to other daemons.
type PeerServer struct {
	Replica *Replica
	// Log receives the records of agents; nil if this daemon doesn't write to the log.
	Log Log
	// OnPeerPosition is called with the position of each daemon that requests records; may be nil.
	OnPeerPosition func(daemon string, offset int64)
}

// maxPeerWait limits the wait that a peer can request.
const maxPeerWait = 10 * time.Second

// Records implements rpc.Peers.
func (s *PeerServer) Records(ctx context.Context, request *rpc.RecordsRequest) (*rpc.RecordsReply, error) {
	if s.OnPeerPosition != nil && request.Daemon != "" {
		s.OnPeerPosition(request.Daemon, request.After)
	}
	after := storelog.Position(request.After)
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxPeerWait)
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	// A timeout yields a response without records.
	_ = s.Replica.Wait(waitCtx, func() bool { return s.Replica.Position() > after })
	return toReply(s.Replica.EntriesAfter(after), s.Replica.Position()), nil
}

func toReply(batch Batch, known storelog.Position) *rpc.RecordsReply {
	reply := &rpc.RecordsReply{Gone: batch.Gone, Offset: int64(known), LogAgeMs: batch.LogAge.Milliseconds()}
	for _, e := range batch.Entries {
		reply.Records = append(reply.Records, &rpc.LogRecord{Offset: int64(e.Position), TimeMs: e.TimeMs, Data: e.Data})
	}
	return reply
}

// Append implements rpc.Peers. It forwards a record of an agent, which has no access to the log.
func (s *PeerServer) Append(ctx context.Context, request *rpc.AppendRequest) (*rpc.AppendReply, error) {
	record, err := config.DecodeRecord(request.Record)
	if err != nil || record.Kind != config.RecordAgent {
		return nil, twirp.InvalidArgumentError("record", "not an agent's record")
	}
	if s.Log == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "this daemon doesn't write to the log")
	}
	if _, err := s.Log.Append(ctx, request.Record); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rpc.AppendReply{}, nil
}

// State implements rpc.Peers.
func (s *PeerServer) State(context.Context, *rpc.StateRequest) (*rpc.StateReply, error) {
	data, at, err := s.Replica.Snapshot()
	if err != nil {
		return nil, err
	}
	return &rpc.StateReply{Snapshot: data, Offset: int64(at)}, nil
}
