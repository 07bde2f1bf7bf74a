package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

// pathBody requests one token.
const pathBody = `{"model":"petal-7b","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`

const streamTokens = 200

func streamBody() string {
	return fmt.Sprintf(`{"model":"petal-7b","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, streamTokens)
}

// target is an address to which load is sent.
type target struct {
	url, key string
	client   *http.Client
}

func newTarget(url, key string) *target {
	return &target{url: url, key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

func (t *target) post(body string) error {
	request, err := http.NewRequest(http.MethodPost, t.url+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+t.key)
	response, err := t.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", response.StatusCode, content)
	}
	return errors.Wrap(response.Body.Close(), "response")
}

// openLoop sends requests at a fixed rate and returns the latencies in milliseconds.
func (t *target) openLoop(rate int, duration time.Duration) ([]float64, error) {
	var mu sync.Mutex
	var times []float64
	var lastErr error
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); {
		<-ticker.C
		group.Go(func() {
			start := time.Now()
			err := t.post(pathBody)
			took := time.Since(start).Seconds() * 1000
			mu.Lock()
			defer mu.Unlock()
			times = append(times, took)
			if err != nil {
				lastErr = err
			}
		})
	}
	group.Wait()
	return times, lastErr
}

// closedLoop sends requests from a number of workers, each with one request at a time, and
// returns the requests per second.
func (t *target) closedLoop(workers int, duration time.Duration, body string) (float64, error) {
	var group sync.WaitGroup
	var mu sync.Mutex
	count := 0
	var lastErr error
	start := time.Now()
	for range workers {
		group.Go(func() {
			for time.Since(start) < duration {
				err := t.post(body)
				mu.Lock()
				count++
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return float64(count) / time.Since(start).Seconds(), lastErr
}

const (
	pathDuration = 5 * time.Second
	pathWorkers  = 24
)

// Path measures the throughput of entry and agent, the latency that they add to a direct
// call, and the memory of the entry.
func (r *Reporter) Path(bin string) error {
	return withLogDir(func(dir string) error { return r.pathIn(bin, dir) })
}

func (r *Reporter) pathIn(bin, dir string) error {
	cluster, err := harness.New(harness.Layout{
		Zones: []string{"a"}, EntriesPerZone: 1, EnginesPerZone: 2, StepTime: time.Millisecond,
		KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: 20 * time.Second, Quiet: true,
	}, bin, dir)
	if err != nil {
		return err
	}
	defer cluster.KillAll()
	if err := withOneProcessor(cluster.Start); err != nil {
		return err
	}
	direct := newTarget("http://"+cluster.Servers[0].BackendAddress(), "")
	through := newTarget("http://"+cluster.Entries[0].CallerAddress, cluster.Keys[0])
	entry, agent := cluster.Processes[cluster.Entries[0].Name], cluster.Processes["agent-"+cluster.Servers[0].Name]
	return r.measurePath(direct, through, entry, agent)
}

// withOneProcessor calls start with GOMAXPROCS=1, since the users' entry VMs have one core.
// With more, the Go scheduler spends CPU time on the search for work.
func withOneProcessor(start func() error) error {
	const variable = "GOMAXPROCS"
	before := os.Getenv(variable)
	if err := os.Setenv(variable, "1"); err != nil {
		return errors.Wrap(err, "bench")
	}
	if err := start(); err != nil {
		return err
	}
	return errors.Wrap(os.Setenv(variable, before), "bench") // an empty value counts as unset
}

func (r *Reporter) measurePath(direct, through *target, entry, agent *harness.Process) error {
	if _, err := through.closedLoop(pathWorkers, time.Second, pathBody); err != nil {
		return err
	}
	entryBefore, agentBefore := cpuSeconds(entry), cpuSeconds(agent)
	peak, err := through.closedLoop(pathWorkers, pathDuration, pathBody)
	if err != nil {
		return err
	}
	r.Figure("path/requests-per-second", peak, "req/s")
	r.Figure("path/requests-per-entry-core", peak*pathDuration.Seconds()/(cpuSeconds(entry)-entryBefore), "req/s")
	r.Figure("path/requests-per-agent-core", peak*pathDuration.Seconds()/2/(cpuSeconds(agent)-agentBefore), "req/s")
	for _, fraction := range []struct {
		name string
		of   float64
	}{{"tenth", 0.1}, {"half", 0.5}} {
		rate := max(int(peak*fraction.of), 1)
		plain, err := direct.openLoop(rate, pathDuration)
		if err != nil {
			return err
		}
		times, err := through.openLoop(rate, pathDuration)
		if err != nil {
			return err
		}
		r.Compare("path/"+fraction.name+"/p50", Quantile(times, 0.5), "ms", Quantile(plain, 0.5))
		r.Compare("path/"+fraction.name+"/p99", Quantile(times, 0.99), "ms", Quantile(plain, 0.99))
	}
	return r.measureStreams(through, entry)
}

func (r *Reporter) measureStreams(through *target, entry *harness.Process) error {
	idle := rssMiB(entry)
	before := cpuSeconds(entry)
	streams, err := through.closedLoop(pathWorkers, pathDuration, streamBody())
	if err != nil {
		return err
	}
	r.Figure("path/streamed-tokens-per-entry-core", streams*streamTokens*pathDuration.Seconds()/(cpuSeconds(entry)-before), "tokens/s")
	r.Figure("path/entry-memory-idle", idle, "MiB")
	r.Figure("path/entry-memory-with-streams", rssMiB(entry), "MiB")
	return r.measureMemory(through, entry)
}

const (
	heldConnections = 400
	// heldTokens makes a stream last longer than the measurement.
	heldTokens = 1 << 17
	heldTime   = 3 * time.Second
)

// measureMemory measures the memory per idle connection and per active stream.
func (r *Reporter) measureMemory(through *target, entry *harness.Process) error {
	before := rssMiB(entry)
	through.client.Transport = &http.Transport{MaxIdleConnsPerHost: heldConnections}
	var group sync.WaitGroup
	for range heldConnections {
		group.Go(func() { _ = through.post(pathBody) }) // failures are ignored
	}
	group.Wait()
	idle := rssMiB(entry)
	r.Figure("path/entry-memory-per-idle-connection", (idle-before)*1024/heldConnections, "KiB")
	ctx, cancel := context.WithCancel(context.Background())
	body := fmt.Sprintf(`{"model":"petal-7b","max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, heldTokens)
	for range heldConnections {
		group.Go(func() { through.holdStream(ctx, body) })
	}
	time.Sleep(heldTime)
	r.Figure("path/entry-memory-per-active-request", (rssMiB(entry)-idle)*1024/heldConnections, "KiB")
	cancel()
	group.Wait()
	return nil
}

// holdStream reads a stream until the context ends.
func (t *target) holdStream(ctx context.Context, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+t.key)
	response, err := t.client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body) // until the context ends
	_ = response.Body.Close()
}

// clockTick is the number of units of CPU time per second in /proc.
const clockTick = 100.0

// cpuSeconds returns the CPU time of a process.
func cpuSeconds(p *harness.Process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const userField, systemField = 11, 12
	user, _ := strconv.ParseFloat(fields[userField], 64)     // always a number
	system, _ := strconv.ParseFloat(fields[systemField], 64) // always a number
	return (user + system) / clockTick
}

// rssMiB returns the resident memory of a process in MiB.
func rssMiB(p *harness.Process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.ParseFloat(fields[1], 64) // always a number
			return kib / 1024
		}
	}
	return 0
}
