package entry

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
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
)

// Admin serves rpc.Operators.
type Admin struct {
	entry     *Entry
	log       replica.Log
	leases    experts.LeaseStore
	operators []daemon.Operator
	logger    *logrus.Entry

	mu    sync.Mutex // leaf: guards peers
	peers map[string]int64
}

// NewAdmin returns the administration API of an entry.
func NewAdmin(entry *Entry, log replica.Log, leases experts.LeaseStore, operators []daemon.Operator, logger *logrus.Entry) *Admin {
	return &Admin{entry: entry, log: log, leases: leases, operators: operators, logger: logger, peers: map[string]int64{}}
}

type operatorKey struct{}

// Handler authenticates operators before the API.
func (a *Admin) Handler() http.Handler {
	server := rpc.NewOperatorsServer(a)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := daemon.FindOperator(a.operators, r)
		if !ok {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "unknown operator token"))
			return
		}
		server.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, operator)))
	})
}

// PathPrefix is where the API is mounted.
func (a *Admin) PathPrefix() string { return rpc.NewOperatorsServer(a).PathPrefix() }

func operatorOf(ctx context.Context) daemon.Operator {
	operator, _ := ctx.Value(operatorKey{}).(daemon.Operator)
	return operator
}

// Seen notes the offset that a daemon has in force.
func (a *Admin) Seen(name string, offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers[name] = offset
}

const (
	appendAttempts = 4
	appendTimeout  = 2 * time.Second
	appendPause    = 200 * time.Millisecond
	// resultTimeout bounds the wait for the fold to decide a command.
	resultTimeout = 5 * time.Second
)

// Apply implements rpc.Operators.
func (a *Admin) Apply(ctx context.Context, request *rpc.ApplyRequest) (*rpc.ApplyReply, error) {
	operator := operatorOf(ctx)
	if operator.Role != daemon.RoleChange {
		return nil, twirp.NewError(twirp.PermissionDenied, "role "+string(operator.Role)+" may not change the configuration")
	}
	bundle, err := decodeBundle(request, operator.Name)
	if err != nil {
		return &rpc.ApplyReply{Verdict: rpc.Verdict_VERDICT_REJECTED, CommandId: request.CommandId, Reason: err.Error()}, nil
	}
	if known := a.known(bundle.CommandID); known != nil {
		return known, nil
	}
	if err := a.entry.replica.Check(bundle); err != nil {
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

// publish appends the command, repeating it while the answer is lost: the
// command ID keeps it from taking effect twice.
func (a *Admin) publish(ctx context.Context, bundle *config.Bundle) (*rpc.ApplyReply, error) {
	record := &config.Record{Format: config.FormatVersion, Kind: config.RecordChange, Bundle: bundle}
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
		a.logger.WithError(err).WithField("command", bundle.CommandID).Warn("append not confirmed")
	}
	if reply := a.awaitResult(ctx, bundle.CommandID); reply != nil {
		return reply, nil
	}
	reason := "not seen on the log yet: ask again with the same command ID"
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
	// A timeout leaves the reply nil, which means unknown.
	_ = a.entry.replica.Wait(ctx, func() bool {
		reply = a.known(commandID)
		return reply != nil
	})
	return reply
}

func (a *Admin) known(commandID string) *rpc.ApplyReply {
	result, ok := a.entry.replica.Result(commandID)
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
	view := a.entry.replica.View()
	reply := &rpc.GetReply{Offset: view.Offset}
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
	for _, entry := range a.entry.replica.Audit(request.AfterOffset) {
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
	e := a.entry
	offset, hash := e.replica.Hash()
	reply := &rpc.StatusReply{
		Daemon: e.options.Name, Zone: e.options.Zone, Offset: offset, StateHash: hash,
		LogAgeMs: e.replica.LogAge().Milliseconds(),
		Servers:  e.serverStatus(),
		Ledgers:  []*rpc.Ledger{rpc.LedgerFrom(e.options.Name, e.Ledger())},
	}
	for _, lease := range a.holders(ctx) {
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

// leaseTimeout bounds the look at the leases: the rest of a status is known here.
const leaseTimeout = 300 * time.Millisecond

// holders returns who holds the groups' leases, or nobody while the store can't
// be read.
func (a *Admin) holders(ctx context.Context) []experts.Held {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	held, err := experts.Holders(ctx, a.leases)
	if err != nil {
		a.logger.WithError(err).Info("leases not read: the status goes without them")
	}
	return held
}

func (e *Entry) serverStatus() []*rpc.ServerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []*rpc.ServerStatus
	for name, row := range e.table.Rows() {
		state := row.Health.String()
		if row.Server.Spec.Draining {
			state = "draining"
		}
		age := int64(-1)
		if !row.ReportedAt.IsZero() {
			age = now.Sub(row.ReportedAt).Milliseconds()
		}
		list = append(list, &rpc.ServerStatus{
			Name: name, Zone: row.Server.Spec.Zone, State: state, ReportAgeMs: age,
			InFlight: int64(row.Reported.InFlight), Queued: int64(row.Reported.Queued),
		})
	}
	slices.SortFunc(list, func(x, y *rpc.ServerStatus) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// Explain implements rpc.Operators.
func (a *Admin) Explain(_ context.Context, request *rpc.ExplainRequest) (*rpc.ExplainReply, error) {
	e := a.entry
	index := e.index.Load()
	customer := index.Customer(request.Customer)
	if customer == nil {
		return nil, twirp.NotFoundError("customer " + request.Customer + " doesn't exist")
	}
	route := index.RouteModel(customer, request.Model, e.now())
	if request.Path != "" {
		route = index.RoutePath(customer, request.Path, e.now())
	}
	if route == nil {
		return nil, twirp.NotFoundError("no route of this customer serves that model or path now")
	}
	reply := &rpc.ExplainReply{Route: route.Name}
	for name, reason := range index.Explain(route) {
		if reason == "" {
			reason = e.health(name)
		}
		reply.Servers = append(reply.Servers, &rpc.ServerVerdict{Name: name, Eligible: reason == "", Reason: reason})
	}
	slices.SortFunc(reply.Servers, func(x, y *rpc.ServerVerdict) int { return strings.Compare(x.Name, y.Name) })
	return reply, nil
}

// health returns why a server takes no requests now, or "".
func (e *Entry) health(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	row := e.table.Row(name)
	switch {
	case row == nil:
		return "not known here yet"
	case e.picker.Allowed(e.now(), row):
		return ""
	case row.ListedLeaving:
		return "the platform's list calls its VM leaving"
	default:
		return row.Health.String()
	}
}
