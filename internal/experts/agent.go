package experts

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Engine is the model engine on the agent's VM.
type Engine interface {
	Report(ctx context.Context, address string) (RankReport, error)
	Counts(ctx context.Context, address string) (Counts, error)
	Experts(ctx context.Context, address string) ([][]int, error)
	Execute(ctx context.Context, address string, order Command) (Result, error)
}

// Agent stands beside one engine: it tells the holder of the group's lease what
// the engine says, and gives the engine the holder's orders. Invariant: it gives
// no order with a lower fence than it has heard of. Safe for concurrent use.
type Agent struct {
	engine  Engine
	address string
	now     func() time.Time
	log     *logrus.Entry

	mu sync.Mutex // a leaf
	// fence is the highest heard of, heardAt when its holder called last.
	fence          int64
	holderCalledAt time.Time
	lastReport     RankReport
	// counted is what the engine had counted at the last look of the holder with the
	// fence countedFor.
	prevCounts      Counts
	prevCountsFence int64
	// openedAt is when the group was seen to open last.
	openedAt time.Time
	// notice is what the engine has said of itself in answers to orders.
	notice eligibility.Report
	// inherited is the fence of a lease that an earlier process of this daemon had.
	goneFence int64
	// orders keeps orders one after the other, so that none with an old fence is on
	// its way once a higher one has been heard of.
	commandMu sync.Mutex
}

// NewAgent returns the agent of the engine at an address.
func NewAgent(engine Engine, address string, now func() time.Time, log *logrus.Entry) *Agent {
	return &Agent{engine: engine, address: address, now: now, log: log, holderCalledAt: now()}
}

// hear notes a call of a holder. It tells whether its fence is the highest.
func (a *Agent) recordFence(fence int64) (highest int64, current bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return a.fence, false
	}
	if fence > a.fence {
		a.log.WithFields(logrus.Fields{"fence": fence, "before": a.fence}).Info("new holder heard of")
	}
	a.fence, a.holderCalledAt = fence, a.now()
	return fence, true
}

// Learn notes a fence that the lease's history shows.
func (a *Agent) ObserveFence(fence int64) { a.recordFence(fence) }

// Inherit notes a lease that an earlier process of this daemon had. Nobody has it now,
// so that there is nobody to wait for.
func (a *Agent) MarkHolderGone(fence int64) {
	a.recordFence(fence)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.goneFence = fence
}

// neverCalls is for how long a holder has been silent that doesn't run any more.
const goneDuration = time.Hour

// Silent tells the highest fence heard of, and for how long an open group has
// gone without a call of its holder. A group that isn't open needs none, and its
// holder may be on the other side of what broke it.
func (a *Agent) SinceHolderCall() (fence int64, elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.lastReport.Open {
		return a.fence, 0
	}
	if a.goneFence != 0 && a.goneFence == a.fence {
		return a.fence, goneDuration
	}
	since := a.holderCalledAt
	if a.openedAt.After(since) {
		since = a.openedAt
	}
	return a.fence, a.now().Sub(since)
}

// Question is what a holder wants to know besides a rank's state.
type Query struct {
	// From and To bound the counts that are asked for, in the order of Counts.Chosen:
	// what was chosen since the holder's last look.
	From, To int
	// Lists asks for the rank's experts.
	Experts bool
}

// Observe answers a holder.
func (a *Agent) Observe(ctx context.Context, fence int64, query Query) (Observation, error) {
	highest, current := a.recordFence(fence)
	if !current {
		return Observation{Fence: highest}, nil
	}
	report, err := a.RefreshReport(ctx)
	if err != nil {
		return Observation{Fence: highest}, err
	}
	counts, err := a.engine.Counts(ctx, a.address)
	if err != nil {
		return Observation{Fence: highest}, err
	}
	observation := Observation{Report: report, Fence: highest}
	observation.Report.Pass = max(report.Pass, counts.Pass)
	if delta := a.countDelta(fence, counts); query.To > query.From {
		observation.Counts = delta.slice(query.From, query.To)
	}
	if query.Experts {
		observation.Experts, err = a.engine.Experts(ctx, a.address)
	}
	return observation, err
}

// between returns the counts from one place to before another.
func (c Counts) slice(from, to int) Counts {
	to = min(to, len(c.Chosen))
	if from < 0 || from >= to {
		c.Chosen = nil
		return c
	}
	c.Offset, c.Chosen = from, c.Chosen[from:to]
	return c
}

// sinceLast returns what was chosen since a holder's last look; nothing the first
// time, and when the rank counts from 0 again.
func (a *Agent) countDelta(fence int64, counts Counts) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	prev, prevFence := a.prevCounts, a.prevCountsFence
	a.prevCounts, a.prevCountsFence = counts, fence
	delta := Counts{Pass: counts.Pass, Epoch: counts.Epoch, StartID: counts.StartID}
	if prevFence != fence || prev.Epoch != counts.Epoch || prev.StartID != counts.StartID || len(prev.Chosen) != len(counts.Chosen) {
		return delta
	}
	chosen := make([]float64, len(counts.Chosen))
	for i, n := range counts.Chosen {
		if chosen[i] = n - prev.Chosen[i]; chosen[i] < 0 {
			return delta
		}
	}
	delta.Chosen = chosen
	return delta
}

// Report reads the engine's state.
func (a *Agent) RefreshReport(ctx context.Context) (RankReport, error) {
	report, err := a.engine.Report(ctx, a.address)
	if err != nil {
		return RankReport{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if report.Open && !a.lastReport.Open {
		a.openedAt = a.now()
	}
	if report.StartID != a.lastReport.StartID {
		a.notice = eligibility.Report{} // this start has said nothing
	}
	a.lastReport = report
	return report, nil
}

// Last returns the engine's last report.
func (a *Agent) LastReport() RankReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastReport
}

// Command gives the engine an order of a holder.
func (a *Agent) Execute(ctx context.Context, command Command) (Result, error) {
	a.commandMu.Lock()
	defer a.commandMu.Unlock()
	if highest, current := a.recordFence(command.Fence); !current {
		return Fenced, errors.Errorf("the order's fence is %d, the highest known %d", command.Fence, highest)
	}
	if err := a.checkPermitted(command.Operation); err != nil {
		a.log.WithError(err).WithField("operation", command.Operation.String()).Info("order not given")
		return Refused, err
	}
	result, err := Retry(ctx, localAttemptTimeout, func(ctx context.Context) (Result, error) {
		return a.engine.Execute(ctx, a.address, command)
	})
	a.log.WithFields(logrus.Fields{
		"operation": command.Operation.String(), "version": command.Version, "pass": command.Pass, "epoch": command.Epoch,
		"fence": command.Fence, "verdict": result.String(), "error": errorText(err),
	}).Info("order given")
	var rest *RestError
	if errors.As(err, &rest) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.notice.RecordRest(rest.Rest, a.now())
	}
	return result, err
}

// RestError says that an engine refused an order and wants no more for a time.
type RestError struct {
	Rest time.Duration
	Err  error
}

// Error implements error.
func (e *RestError) Error() string { return e.Err.Error() }

// Unwrap returns what the engine answered.
func (e *RestError) Unwrap() error { return e.Err }

// permit returns why an engine may get no order now, or nil. Orders that begin something
// wait for its rest to end. Those that undo or go on with what all ranks have begun don't:
// without them ranks would hold each other up, or begin a pass with different maps.
func (a *Agent) checkPermitted(operation Operation) error {
	if operation != Prepare && operation != Arm && operation != Hold {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if bar := a.notice.Exclusion(a.now()); bar != nil {
		return &eligibility.ExcludedError{Exclusion: bar}
	}
	return nil
}

// localTry bounds one try of an order to the engine on the same VM, which
// answers in well under a millisecond.
const localAttemptTimeout = 12 * time.Millisecond

// Repeat gives an order until it is answered or the context ends. Orders are
// idempotent: one that was carried out already is accepted again.
func Retry(ctx context.Context, attemptTimeout time.Duration, send func(ctx context.Context) (Result, error)) (Result, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := send(attempt)
		if result == NoResponse {
			<-attempt.Done() // an engine that can't be reached fails at once
		}
		cancel()
		if result != NoResponse || ctx.Err() != nil {
			return result, err
		}
	}
}

// errorText is empty without an error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
