package plannedstop

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/crowbridge/crowbridge/standins/harness"
	standin "github.com/crowbridge/crowbridge/standins/platform"
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
	grace = 8 * time.Second
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
	// LateRefusals took longer than the slack from their last byte.
	LateRefusals int
	// Gone is when the process was gone, after SIGTERM; CutAt is the time of the first cut, or 0.
	Gone, CutAt time.Duration
}

// String returns the counts in one line.
func (r Result) String() string {
	return fmt.Sprintf("%d requests: %d complete, %d refused (%d late), %d lost, %d passed on and cut, %d untrue, %d doubled, %d without a hint, %d excused, %d unanswered; first cut %.2f s, gone %.2f s",
		r.Total, r.Complete, r.Refused, r.LateRefusals, len(r.Lost), len(r.PassedOnAndCut), len(r.Untrue), len(r.Doubled), len(r.Hintless), r.Excused, r.Unanswered,
		r.CutAt.Seconds(), r.Gone.Seconds())
}

// Run starts an entry of the users' platform, stops it while callers go on, and counts what became of
// their requests.
func Run(o Options) (Result, error) {
	d, err := start(o)
	if err != nil {
		return Result{}, err
	}
	defer d.close()
	c := &callers{address: d.callersAddress}
	exited := d.process.Exited()
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
	result := judge(c.records, d.servers, stopAt, gone, o.NoStop)
	return result, err
}

// deployment is an entry process with stand-ins of its store and servers.
type deployment struct {
	store          *standin.Store
	servers        *servers
	process        *harness.Process
	callersAddress string
	settingsPath   string
	settings       string
	closers        []func()
}

func (d *deployment) close() {
	if d.process != nil && d.process.Running() {
		_ = d.process.Kill() // fails only if it has just exited
	}
	for _, c := range d.closers {
		c()
	}
}

// serve serves a handler until the deployment is closed.
func (d *deployment) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "planned stop")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends by Close
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func start(o Options) (*deployment, error) {
	d := &deployment{store: standin.NewStore(), servers: newServers()}
	storeAddress, err := d.serve(d.store)
	if err != nil {
		return nil, err
	}
	d.store.Put(platform.TopicOperators, platform.Decoder{}.ConfigKey(), configuration(1))
	for i := range serverCount {
		address, err := d.serve(d.servers)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprint("i-", i)
		d.store.Put(platform.TopicRegistrations, id, fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":1000,"state":"ready"}`, address))
	}
	addresses, err := harness.FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	ip, firstPort, err := harness.FreePortRange(portRange)
	if err != nil {
		return nil, err
	}
	d.callersAddress, d.settingsPath = addresses[0], filepath.Join(o.Dir, "settings.yaml")
	d.settings = fmt.Sprintf(`
node_name: entry
ip: %s
zone: z
listen: {front: %q, ready: %q, admin: %q}
port_range: [%d, %d]
seeds: []
limits: {memory_mb: 284}
bounds: {drain_ms: 2000, grace_s: %d, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra: 90}
provider: {address: %q}
`, ip, addresses[0], addresses[1], addresses[2], firstPort, firstPort+portRange-1, int(grace.Seconds()), storeAddress)
	if err := os.WriteFile(d.settingsPath, []byte(d.settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "planned stop")
	}
	d.process = harness.NewProcess("entry", filepath.Join(o.Bin, "crowbridged"),
		[]string{"hosted-entry", "--settings", d.settingsPath}, addresses[0], filepath.Join(o.Dir, "entry.log"))
	if err := d.process.Start(); err != nil {
		return nil, err
	}
	return d, d.awaitReady("http://" + addresses[1] + "/ready")
}

const portRange = 10

// awaitReady waits until the entry is ready.
func (d *deployment) awaitReady(url string) error {
	const timeout, poll = 20 * time.Second, 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(poll) {
		response, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("planned stop: the entry isn't ready in time")
}

// stop sends the signals and waits until the process is gone. As the platform does, it kills a process
// that outlasts its grace period.
func (d *deployment) stop(o Options, exited <-chan struct{}) error {
	if !o.NoStop {
		if err := d.process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	began := time.Now()
	for _, s := range o.Signals {
		time.Sleep(time.Until(began.Add(s.At)))
		if d.process.Running() {
			_ = d.process.Signal(s.Signal) // fails only if it has just exited
		}
	}
	select {
	case <-exited:
		return errors.WithMessage(d.process.AwaitExit(), "exit")
	case <-time.After(time.Until(began.Add(grace))):
	}
	_ = d.process.Kill() // fails only if it has just exited
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
		d.store.Put(platform.TopicOperators, platform.Decoder{}.ConfigKey(), configuration(version))
		text := strings.Replace(d.settings, "budget_extra: 90", fmt.Sprint("budget_extra: ", 90+version), 1)
		if err := os.WriteFile(d.settingsPath, []byte(text), 0o600); err != nil {
			return // the folder is gone
		}
		if d.process.Running() {
			_ = d.process.Signal(syscall.SIGHUP) // fails only if it has just exited
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
			{Name: "idempotent", Type: "idempotent"}, {Name: "once", Type: "non_idempotent"},
			{Name: "resumable", Type: "streaming", Resumable: true}, {Name: "stream", Type: "streaming"},
		},
	})
	if err != nil {
		panic(err) // the template and its data are constant
	}
	return text.String()
}

// judge counts the requests of a run.
func judge(records []record, s *servers, stopAt, gone time.Time, noStop bool) Result {
	result := Result{Total: len(records), Gone: gone.Sub(stopAt)}
	for _, r := range records {
		e := s.of(r.id)
		name := fmt.Sprintf("%s%s sent %.2f..%.2f ended %.2f status %d events %d runs %d", r.id, r.path,
			r.sentAt.Sub(stopAt).Seconds(), r.wholeAt.Sub(stopAt).Seconds(), r.endedAt.Sub(stopAt).Seconds(), r.status, r.events, e.runs)
		if r.path != pathIdempotent && r.path != pathResumable && e.runs > 1 {
			result.Doubled = append(result.Doubled, name)
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

// judgeCut counts a request without a whole answer by the platform's rule.
func (result *Result) judgeCut(r record, e execution, name string, stopAt time.Time) {
	cutAt := r.endedAt.Sub(stopAt)
	atLimit := r.endedAt.Sub(r.sentAt) >= routeTimeout-slack
	const lastPart = 6 // the grace period's last sixth
	atWork := e.endedAt.IsZero() || e.endedAt.Sub(stopAt) >= grace-grace/lastPart
	switch {
	case r.wholeAt.IsZero(): // not whole, so not read
	case e.runs == 0 && r.endedAt.Sub(r.wholeAt) <= slack:
		result.Unanswered++
	case atLimit:
	case e.runs > 0 && atWork && r.wholeAt.Sub(stopAt) > slack && r.wholeAt.Sub(stopAt) <= earlyLimit && cutAt >= grace-grace/lastPart:
		result.PassedOnAndCut = append(result.PassedOnAndCut, name)
	case e.runs > 0 && atWork && r.wholeAt.Sub(stopAt) <= earlyLimit && cutAt >= grace-grace/lastPart:
		result.Excused++
		if result.CutAt == 0 || cutAt < result.CutAt {
			result.CutAt = cutAt
		}
	default:
		result.Lost = append(result.Lost, name)
	}
}
