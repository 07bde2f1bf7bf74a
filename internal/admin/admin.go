// Package admin implements the operators' API: configuration changes, the configuration in force,
// the audit trail, and the daemon's view of the fleet.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
)

// Host is the daemon that serves the API.
type Host interface {
	Name() string
	Zone() string
	// OutcomeCounts returns the number of requests by outcome.
	OutcomeCounts() outcome.Counts
	// Servers returns the status of the backend servers as the daemon sees them, in any order.
	Servers() []*rpc.ServerStatus
	// Explain returns the route of a customer's request for a model or a path. For each server,
	// reasons holds why the request may not go there, or "" if it may.
	Explain(customer, model, path string) (route string, reasons map[string]string, err error)
}

// Admin serves rpc.Operators.
type Admin struct {
	host      Host
	replica   *replica.Replica
	log       replica.Log
	leases    experts.LeaseStore
	operators []daemon.Operator
	logger    *logrus.Entry

	mu    sync.Mutex       // leaf lock: guards peers
	peers map[string]int64 // configuration offsets by daemon
}

// New returns the administration API of a daemon.
func New(host Host, rep *replica.Replica, log replica.Log, leases experts.LeaseStore, operators []daemon.Operator, logger *logrus.Entry) *Admin {
	return &Admin{host: host, replica: rep, log: log, leases: leases, operators: operators, logger: logger, peers: map[string]int64{}}
}

type operatorKey struct{}

// Handler returns the API's handler, which authenticates operators.
func (a *Admin) Handler() http.Handler {
	server := rpc.NewOperatorsServer(a)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := daemon.FindOperator(a.operators, r)
		if !ok {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "operator token: unknown: set --token or CROWBRIDGE_TOKEN to a configured operator's token"))
			return
		}
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// PathPrefix returns the path at which to mount Handler.
func (a *Admin) PathPrefix() string { return rpc.NewOperatorsServer(a).PathPrefix() }

func operatorFromContext(ctx context.Context) daemon.Operator {
	operator, _ := ctx.Value(operatorKey{}).(daemon.Operator)
	return operator
}

// RecordPeerOffset records the offset of the configuration in force at a daemon.
func (a *Admin) RecordPeerOffset(name string, offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers[name] = offset
}

const (
	appendAttempts = 4
	appendTimeout  = 2 * time.Second
	appendPause    = 200 * time.Millisecond
	// resultTimeout limits the wait until the replica has applied a command.
	resultTimeout = 5 * time.Second
)

// Apply implements rpc.Operators.
func (a *Admin) Apply(ctx context.Context, request *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	operator := operatorFromContext(ctx)
	if operator.Role != daemon.RoleChange {
		return nil, twirp.NewError(twirp.PermissionDenied, "role "+string(operator.Role)+" may not change the configuration: use the token of an operator with role change")
	}
	bundle, err := decodeBundle(request, operator.Name)
	if err != nil {
		return &rpc.ApplyReply{Verdict: rpc.Verdict_VERDICT_REJECTED, CommandId: request.CommandId, Reason: err.Error()}, nil
	}
	if reply := a.knownResult(bundle.CommandID); reply != nil {
		return reply, nil
	}
	if err := a.replica.Check(bundle); err != nil {
		return &rpc.ApplyReply{Verdict: rpc.Verdict_VERDICT_REJECTED, CommandId: bundle.CommandID, Reason: err.Error()}, nil
	}
	if request.DryRun {
		return &rpc.ApplyReply{Verdict: rpc.Verdict_VERDICT_ACCEPTED, CommandId: bundle.CommandID, Reason: "dry run: nothing was changed"}, nil
	}
	return a.publish(ctx, bundle)
}

func decodeBundle(request *rpc.ApplyRequest, actor string) (*config.Bundle, error) {
	bundle := &config.Bundle{CommandID: request.CommandId, Actor: actor, Reason: request.Reason}
	for _, c := range request.Changes {
		change := config.Change{Kind: config.Kind(c.Kind), Name: c.Name, ExpectedRevision: c.ExpectedRevision}
		if len(c.Object) > 0 {
			object, err := config.DecodeObject(c.Object)
			if err != nil {
				return nil, errors.Wrapf(err, "%s/%s", c.Kind, c.Name)
			}
			object.Revision = 0
			change.Object = object
		}
		bundle.Changes = append(bundle.Changes, change)
	}
	return bundle, nil
}

// publish appends a command to the log and waits for its result. It retries an append that isn't
// confirmed; the command ID prevents a second effect.
func (a *Admin) publish(ctx context.Context, bundle *config.Bundle) (*rpc.ApplyReply, error) {
	record := config.NewChange(bundle)
	data, err := record.Encode()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	for attempt := range appendAttempts {
		if attempt > 0 {
			time.Sleep(appendPause)
		}
		if err = a.appendOnce(ctx, data); err == nil {
			break
		}
		a.logger.WithError(err).WithField("command", bundle.CommandID).Warn("append of a command not confirmed")
	}
	if reply := a.awaitResult(ctx, bundle.CommandID); reply != nil {
		return reply, nil
	}
	reason := "not applied from the log yet: retry with the same command ID"
	if err != nil {
		reason += ": " + err.Error()
	}
	return &rpc.ApplyReply{Verdict: rpc.Verdict_VERDICT_UNKNOWN, CommandId: bundle.CommandID, Reason: reason}, nil
}

func (a *Admin) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := a.log.Append(ctx, data)
	return err
}

func (a *Admin) awaitResult(ctx context.Context, commandID string) *rpc.ApplyReply {
	ctx, cancel := context.WithTimeout(ctx, resultTimeout)
	defer cancel()
	var reply *rpc.ApplyReply
	// After a timeout the reply is nil: the result is unknown.
	_ = a.replica.Wait(ctx, func() bool {
		reply = a.knownResult(commandID)
		return reply != nil
	})
	return reply
}

// knownResult returns the result of a command that the replica has applied, or nil.
func (a *Admin) knownResult(commandID string) *rpc.ApplyReply {
	result, ok := a.replica.Result(commandID)
	if !ok {
		return nil
	}
	verdict := rpc.Verdict_VERDICT_REJECTED
	if result.Accepted {
		verdict = rpc.Verdict_VERDICT_ACCEPTED
	}
	return &rpc.ApplyReply{Verdict: verdict, CommandId: commandID, Offset: result.Offset, Reason: result.Reason}
}

// Get implements rpc.Operators.
func (a *Admin) Get(_ context.Context, request *rpc.GetRequest) (*rpc.GetReply, error) {
	view := a.replica.View()
	reply := &rpc.GetReply{Offset: int64(view.Position)}
	for _, kind := range config.Kinds {
		if request.Kind != "" && !strings.EqualFold(request.Kind, string(kind)) {
			continue
		}
		for _, object := range view.List(kind) {
			if request.Name != "" && request.Name != object.Name {
				continue
			}
			data, err := json.Marshal(object)
			if err != nil {
				return nil, twirp.InternalErrorWith(err)
			}
			reply.Objects = append(reply.Objects, &rpc.Change{
				Kind: string(kind), Name: object.Name, Object: data, ExpectedRevision: object.Revision,
			})
		}
	}
	return reply, nil
}

// Audit implements rpc.Operators.
func (a *Admin) Audit(_ context.Context, request *rpc.AuditRequest) (*rpc.AuditReply, error) {
	reply := &rpc.AuditReply{}
	for _, entry := range a.replica.Audit(request.AfterOffset) {
		if request.Actor != "" && request.Actor != entry.Actor {
			continue
		}
		if request.Object != "" && !slices.Contains(entry.Objects, request.Object) {
			continue
		}
		data, err := json.Marshal(entry)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		reply.Entries = append(reply.Entries, data)
	}
	if limit := int(request.Limit); limit > 0 && len(reply.Entries) > limit {
		reply.Entries = reply.Entries[len(reply.Entries)-limit:]
	}
	return reply, nil
}

// Status implements rpc.Operators.
func (a *Admin) Status(ctx context.Context, _ *rpc.StatusRequest) (*rpc.StatusReply, error) {
	offset, hash := a.replica.Hash()
	reply := &rpc.StatusReply{
		Daemon: a.host.Name(), Zone: a.host.Zone(), Offset: int64(offset), StateHash: hash,
		LogAgeMs: a.replica.LogAge().Milliseconds(),
		Servers:  a.host.Servers(),
		Ledgers:  []*rpc.Ledger{rpc.NewLedger(a.host.Name(), a.host.OutcomeCounts())},
	}
	slices.SortFunc(reply.Servers, func(x, y *rpc.ServerStatus) int { return strings.Compare(x.Name, y.Name) })
	for _, lease := range a.currentLeases(ctx) {
		reply.Leases = append(reply.Leases, &rpc.LeaseStatus{Group: lease.Group, Holder: lease.Holder, Fence: lease.Fence})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, offset := range a.peers {
		reply.Peers = append(reply.Peers, &rpc.PeerOffset{Address: name, Offset: offset})
	}
	slices.SortFunc(reply.Peers, func(x, y *rpc.PeerOffset) int { return strings.Compare(x.Address, y.Address) })
	return reply, nil
}

// leaseTimeout limits reading the leases, so that an unreachable store delays a status only briefly.
const leaseTimeout = 300 * time.Millisecond

// currentLeases returns the groups' leases, or none if the store can't be read.
func (a *Admin) currentLeases(ctx context.Context) []experts.LeaseState {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	leases, err := experts.CurrentLeases(ctx, a.leases)
	if err != nil {
		a.logger.WithError(err).Info("failed to read leases: status reported without them")
	}
	return leases
}

// Explain implements rpc.Operators.
func (a *Admin) Explain(_ context.Context, request *rpc.ExplainRequest) (*rpc.ExplainReply, error) {
	route, reasons, err := a.host.Explain(request.Customer, request.Model, request.Path)
	if err != nil {
		return nil, twirp.NotFoundError(err.Error())
	}
	reply := &rpc.ExplainReply{Route: route}
	for name, reason := range reasons {
		reply.Servers = append(reply.Servers, &rpc.ServerVerdict{Name: name, Eligible: reason == "", Reason: reason})
	}
	slices.SortFunc(reply.Servers, func(x, y *rpc.ServerVerdict) int { return strings.Compare(x.Name, y.Name) })
	return reply, nil
}
