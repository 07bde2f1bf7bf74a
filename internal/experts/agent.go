package experts

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Engine is a client of the model engine on the agent's VM.
type Engine interface {
	Report(ctx context.Context, address string) (RankReport, error)
	Counts(ctx context.Context, address string) (Counts, error)
	Experts(ctx context.Context, address string) ([][]int, error)
	Execute(ctx context.Context, address string, command Command) (Result, error)
}

// Agent runs beside one engine. It reports the engine's state to the holder of
// the group's lease and executes the holder's commands. It rejects commands with
// a lower fencing token than the highest that it has seen. Safe for concurrent use.
type Agent struct {
	engine  Engine
	address string
	now     func() time.Time
	log     *logrus.Entry

	mu sync.Mutex // leaf lock
	// fence is the highest fencing token seen; holderCalledAt is when it was last seen.
	fence          int64
	holderCalledAt time.Time
	lastReport     RankReport
	// prevCounts are the engine's counts at the previous query of the holder with the
	// fencing token prevCountsFence.
	prevCounts      Counts
	prevCountsFence int64
	// openedAt is when the group was last observed to become open.
	openedAt time.Time
	// selfReport holds the pauses that the engine asked for in its responses.
	selfReport eligibility.Report
	// goneFence is the fencing token of a lease that an earlier process of this
	// daemon held.
	goneFence int64
	// commandMu serializes commands, so that none with an old fencing token is in
	// flight once a higher one has been seen.
	commandMu sync.Mutex
}

// NewAgent returns the agent of the engine at address.
func NewAgent(engine Engine, address string, now func() time.Time, log *logrus.Entry) *Agent {
	return &Agent{engine: engine, address: address, now: now, log: log, holderCalledAt: now()}
}

// recordFence records a fencing token. It returns the highest token seen and
// whether fence is that.
func (a *Agent) recordFence(fence int64) (highest int64, current bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if fence < a.fence {
		return a.fence, false
	}
	if fence > a.fence {
		a.log.WithFields(logrus.Fields{"fence": fence, "before": a.fence}).Info("new lease holder observed")
	}
	a.fence, a.holderCalledAt = fence, a.now()
	return fence, true
}

// ObserveFence records a fencing token found in the lease history.
func (a *Agent) ObserveFence(fence int64) { a.recordFence(fence) }

// MarkHolderGone records that the lease with a fencing token belonged to an earlier
// process of this daemon, so that the next claim doesn't wait for that holder.
func (a *Agent) MarkHolderGone(fence int64) {
	a.recordFence(fence)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.goneFence = fence
}

// goneDuration is reported as the time since the last call of a holder that no
// longer runs.
const goneDuration = time.Hour

// SinceHolderCall returns the highest fencing token seen and how long an open
// group has gone without a call of its holder. The duration is 0 while the group
// isn't open: it needs no holder then, and what stopped it may also have cut off
// the holder.
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

// Query selects what an observation contains besides a rank's state.
type Query struct {
	// From and To bound the range of counts, as indexes of Counts.Selections.
	From, To int
	// Experts requests the experts of the map in use.
	Experts bool
}

// Observe returns the state of the rank to the holder with a fencing token. To a
// superseded holder it returns only the highest token seen.
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

// slice returns the counts from index from up to, not including, to.
func (c Counts) slice(from, to int) Counts {
	to = min(to, len(c.Selections))
	if from < 0 || from >= to {
		c.Selections = nil
		return c
	}
	c.Offset, c.Selections = from, c.Selections[from:to]
	return c
}

// countDelta returns the selections since the holder's previous query. It returns
// none at the first query and after the engine's counters were reset.
func (a *Agent) countDelta(fence int64, counts Counts) Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	prev, prevFence := a.prevCounts, a.prevCountsFence
	a.prevCounts, a.prevCountsFence = counts, fence
	delta := Counts{Pass: counts.Pass, Epoch: counts.Epoch, StartID: counts.StartID}
	if prevFence != fence || prev.Epoch != counts.Epoch || prev.StartID != counts.StartID || len(prev.Selections) != len(counts.Selections) {
		return delta
	}
	selections := make([]float64, len(counts.Selections))
	for i, n := range counts.Selections {
		if selections[i] = n - prev.Selections[i]; selections[i] < 0 {
			return delta
		}
	}
	delta.Selections = selections
	return delta
}

// RefreshReport reads the engine's state.
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
		a.selfReport = eligibility.Report{} // not valid for a new start
	}
	a.lastReport = report
	return report, nil
}

// LastReport returns the last report that was read from the engine.
func (a *Agent) LastReport() RankReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastReport
}

// Execute sends a holder's command to the engine.
func (a *Agent) Execute(ctx context.Context, command Command) (Result, error) {
	a.commandMu.Lock()
	defer a.commandMu.Unlock()
	if highest, current := a.recordFence(command.Fence); !current {
		return Fenced, errors.Errorf("stale fence %d, highest known is %d", command.Fence, highest)
	}
	if err := a.checkPermitted(command.Operation); err != nil {
		a.log.WithError(err).WithField("operation", command.Operation.String()).Info("command not sent to engine")
		return Refused, err
	}
	result, err := Retry(ctx, localAttemptTimeout, func(ctx context.Context) (Result, error) {
		return a.engine.Execute(ctx, a.address, command)
	})
	a.log.WithFields(logrus.Fields{
		"operation": command.Operation.String(), "version": command.Version, "pass": command.Pass, "epoch": command.Epoch,
		"fence": command.Fence, "verdict": result.String(), "error": errorText(err),
	}).Info("command sent to engine")
	var rest *RestError
	if errors.As(err, &rest) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.selfReport.RecordRest(rest.Rest, a.now())
	}
	return result, err
}

// RestError is returned when an engine refuses a command and asks for a pause.
type RestError struct {
	Rest time.Duration
	Err  error
}

func (e *RestError) Error() string { return e.Err.Error() }

// Unwrap returns the engine's error.
func (e *RestError) Unwrap() error { return e.Err }

// checkPermitted returns an error if the engine must not get a command now. Commands
// that begin something wait until a pause that the engine asked for has ended.
// Disarm and Release don't wait: without them ranks would block each other or begin
// a pass with different maps.
func (a *Agent) checkPermitted(operation Operation) error {
	if operation != Prepare && operation != Arm && operation != Hold {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if exclusion := a.selfReport.Exclusion(a.now()); exclusion != nil {
		return &eligibility.ExcludedError{Exclusion: exclusion}
	}
	return nil
}

// localAttemptTimeout bounds one attempt to send a command to the engine on the
// same VM, which normally responds within a millisecond.
const localAttemptTimeout = 12 * time.Millisecond

// Retry sends a command until there is a response or the context ends. Commands
// are idempotent: the engine accepts a repeated one again.
func Retry(ctx context.Context, attemptTimeout time.Duration, send func(ctx context.Context) (Result, error)) (Result, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := send(attempt)
		if result == NoResponse {
			<-attempt.Done() // avoids a busy loop when the connection is refused
		}
		cancel()
		if result != NoResponse || ctx.Err() != nil {
			return result, err
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
