package plannedstop

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

// Signals are sent to the process, with the time of each after the first SIGTERM.
type Signals []Signal

// Signal is a signal and when it is sent.
type Signal struct {
	At     time.Duration
	Signal syscall.Signal
}

// Options configure a run.
type Options struct {
	Seed    uint64
	Callers int
	// Signals follow the SIGTERM that begins the stop.
	Signals Signals
	// Changes is set if the configuration and the settings change all the while.
	Changes bool
	// NoStop leaves out the SIGTERM: the process is killed at the end, and what is open then doesn't
	// count.
	NoStop bool
	// Warmup is the time of traffic before the stop.
	Warmup time.Duration
	// Bin is the folder of the daemons' binary, Dir one for logs.
	Bin, Dir string
}

const (
	// grace is the platform's time from SIGTERM to SIGKILL.
	grace = harness.HostedGrace
	// slack is how long after its last byte a request may lose its connection unread.
	slack = 200 * time.Millisecond
	// routeTimeout bounds all requests.
	routeTimeout = 8 * time.Second
	// earlyLimit is the time after SIGTERM until which a request may be sent that the end of the
	// grace period may cut.
	earlyLimit = 3 * time.Second

	serverCount = 3
)

// Result counts the requests of a run by what their callers saw.
type Result struct {
	Total, Complete, Refused int
	// Lost are named: no whole answer, by the platform's rule. Untrue ones were refused and have run,
	// Doubled ones ran more often than they may. Hintless ones were refused without Retry-After.
	Lost, Untrue, Doubled, Hintless []string
	// PassedOnAndCut were read after the stop had begun, passed on and cut at the end of its grace period.
	PassedOnAndCut []string
	// Excused had been read before and were cut at the end of the grace period.
	Excused int
	// Unanswered requests were whole, not passed on, and lost their connection within the slack.
	Unanswered int
	// Partial requests weren't whole when their connection ended.
	Partial int
	// LateRefusals took longer than the slack from their last byte.
	LateRefusals int
	// Kinds counts the requests that were whole after SIGTERM by how they were sent and what became of
	// them.
	Kinds map[string]map[string]int
	// Gone is when the process was gone, after SIGTERM; CutAt is the time of the first cut, or 0.
	Gone, CutAt time.Duration
}

// String returns the counts in one line.
func (r Result) String() string {
	return fmt.Sprintf("%d requests: %d complete, %d refused (%d late), %d lost, %d passed on and cut, %d untrue, %d doubled, %d without a hint, %d excused, %d unanswered, %d partial; first cut %.2f s, gone %.2f s",
		r.Total, r.Complete, r.Refused, r.LateRefusals, len(r.Lost), len(r.PassedOnAndCut), len(r.Untrue), len(r.Doubled), len(r.Hintless), r.Excused, r.Unanswered, r.Partial,
		r.CutAt.Seconds(), r.Gone.Seconds())
}

// Run starts an entry of the users' platform, stops it while callers go on, and counts what became of
// their requests.
func Run(o Options) (Result, error) {
	s := newServers()
	double := httptest.NewServer(s)
	defer double.Close()
	addresses := slices.Repeat([]string{double.Listener.Addr().String()}, serverCount)
	h, err := harness.StartHostedEntry(o.Bin, o.Dir, configuration(1), addresses)
	if err != nil {
		return Result{}, err
	}
	defer h.Close()
	d := &deployment{HostedEntry: h}
	c := &callers{address: h.Callers}
	exited := h.Process.Exited()
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.run(rand.New(rand.NewPCG(o.Seed, uint64(i))), fmt.Sprintf("c%d", i), exited)
		}()
	}
	if o.Changes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.change(exited)
		}()
	}
	time.Sleep(o.Warmup)
	stopAt := time.Now()
	err = d.stop(o, exited)
	gone := time.Now()
	wg.Wait()
	result := judge(c.records, s, stopAt, gone, o.NoStop)
	return result, err
}

// deployment is an entry that is signaled and reconfigured.
type deployment struct{ *harness.HostedEntry }

// stop sends the signals and waits until the process is gone. As the platform does, it kills a process
// that outlasts its grace period.
func (d *deployment) stop(o Options, exited <-chan struct{}) error {
	if !o.NoStop {
		if err := d.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	began := time.Now()
	for _, s := range o.Signals {
		time.Sleep(time.Until(began.Add(s.At)))
		if d.Process.Running() {
			_ = d.Process.Signal(s.Signal) // fails only if it has just exited
		}
	}
	select {
	case <-exited:
		return errors.WithMessage(d.Process.AwaitExit(), "exit")
	case <-time.After(time.Until(began.Add(grace))):
	}
	_ = d.Process.Kill() // fails only if it has just exited
	if !o.NoStop {
		return errors.New("the process outlasted its grace period")
	}
	return nil
}

// change changes the configuration and the settings file until the process is gone.
func (d *deployment) change(exited <-chan struct{}) {
	const interval = 300 * time.Millisecond
	for version := 2; ; version++ {
		select {
		case <-exited:
			return
		case <-time.After(interval):
		}
		d.Store.Put(platform.TopicOperators, platform.Decoder{}.ConfigKey(), configuration(version))
		text := strings.Replace(d.Settings, "budget_extra: 90", fmt.Sprint("budget_extra: ", 90+version), 1)
		if err := os.WriteFile(d.SettingsPath, []byte(text), 0o600); err != nil {
			return // the folder is gone
		}
		if d.Process.Running() {
			_ = d.Process.Signal(syscall.SIGHUP) // fails only if it has just exited
		}
	}
}

//go:embed configuration.json.tmpl
var configurationText string

var configurationTemplate = template.Must(template.New("configuration").Parse(configurationText))

type route struct {
	Name, Type string
	Resumable  bool
}

// configuration returns a version of the operators' configuration. Versions differ in a route that
// nobody uses and in the number of attempts.
func configuration(version int) string {
	var text strings.Builder
	err := configurationTemplate.Execute(&text, map[string]any{
		"Version": version, "TimeoutMs": routeTimeout.Milliseconds(), "Attempts": 2 + version%2,
		"Routes": []route{
			{Name: "idempotent", Type: "idempotent"},
			{Name: "once", Type: "non_idempotent"},
			{Name: "resumable", Type: "streaming", Resumable: true},
			{Name: "stream", Type: "streaming"},
		},
	})
	if err != nil {
		panic(err) // the template and its data are constant
	}
	return text.String()
}

// judge counts the requests of a run.
func judge(records []record, s *servers, stopAt, gone time.Time, noStop bool) Result {
	result := Result{Total: len(records), Gone: gone.Sub(stopAt), Kinds: map[string]map[string]int{}}
	for _, r := range records {
		e := s.of(r.id)
		name := fmt.Sprintf("%s%s sent %.2f..%.2f ended %.2f status %d events %d runs %d", r.id, r.path,
			r.sentAt.Sub(stopAt).Seconds(), r.wholeAt.Sub(stopAt).Seconds(), r.endedAt.Sub(stopAt).Seconds(), r.status, r.events, e.runs)
		if r.path != pathIdempotent && r.path != pathResumable && e.runs > 1 {
			result.Doubled = append(result.Doubled, name)
		}
		if r.wholeAt.After(stopAt) {
			result.countKind(r, e)
		}
		switch {
		case r.complete && r.status == http.StatusOK:
			result.Complete++
		case r.complete && (r.status == http.StatusServiceUnavailable || r.status == http.StatusRequestTimeout):
			result.Refused++
			if e.runs > 0 {
				result.Untrue = append(result.Untrue, name)
			}
			if r.retryAfter == "" {
				result.Hintless = append(result.Hintless, name)
			}
			if r.endedAt.Sub(r.wholeAt) > slack {
				result.LateRefusals++
			}
		case noStop && r.endedAt.After(gone.Add(-slack)):
		default:
			result.judgeCut(r, e, name, stopAt)
		}
	}
	return result
}

// countKind counts a request that was whole after SIGTERM.
func (r *Result) countKind(request record, e execution) {
	fate := "cut"
	switch {
	case request.complete && request.status == http.StatusOK:
		fate = "served"
	case request.complete:
		fate = "refused"
	case e.runs == 0:
		fate = "unanswered"
	}
	connection := "new connection"
	if request.kept {
		connection = "open connection"
	}
	for _, kind := range []string{request.late.String(), connection, request.path} {
		if r.Kinds[kind] == nil {
			r.Kinds[kind] = map[string]int{}
		}
		r.Kinds[kind][fate]++
	}
}

// judgeCut counts a request without a whole answer by the platform's rule.
func (r *Result) judgeCut(request record, e execution, name string, stopAt time.Time) {
	const lastPart = 6 // the grace period's last sixth
	lastSixth := grace - grace/lastPart
	wholeAt, cutAt := request.wholeAt.Sub(stopAt), request.endedAt.Sub(stopAt)
	atWork := e.endedAt.IsZero() || e.endedAt.Sub(stopAt) >= lastSixth
	cutAtEnd := e.runs > 0 && atWork && cutAt >= lastSixth && wholeAt <= earlyLimit
	switch {
	case request.wholeAt.IsZero():
		r.Partial++
	case e.runs == 0 && cutAt-wholeAt <= slack:
		r.Unanswered++
	case cutAt-wholeAt >= routeTimeout-slack: // its time was up
	case cutAtEnd && wholeAt > slack:
		r.PassedOnAndCut = append(r.PassedOnAndCut, name)
	case cutAtEnd:
		r.Excused++
		if r.CutAt == 0 || cutAt < r.CutAt {
			r.CutAt = cutAt
		}
	default:
		r.Lost = append(r.Lost, name)
	}
}
