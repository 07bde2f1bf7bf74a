package bench

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	platformWorkers      = 16  // concurrent callers
	platformEvents       = 200 // per stream
	platformDuration     = 5 * time.Second
	platformStartTimeout = 10 * time.Second
)

// platformBench sends requests to a backend server, directly and through an entry.
type platformBench struct {
	directAddress, entryAddress string
	client                      *http.Client
	requests                    atomic.Int64
}

// PlatformEntry measures the latency and the CPU time that an entry on the users' platform
// adds to a direct call. The CPU time is that of this process, which also runs the entry, the
// callers and the backend server.
func (r *Reporter) PlatformEntry() error {
	store := standin.NewStore()
	storeServer, backend := httptest.NewServer(store), httptest.NewServer(standin.BackendHandler(platformEvents))
	defer storeServer.Close()
	defer backend.Close()
	address := backend.Listener.Addr().String()
	store.Put(platform.TopicOperators, platform.Decoder{}.ConfigKey(), standin.BackendConfig)
	store.Put(platform.TopicRegistrations, "i-1", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","capacity":64,"state":"ready"}`, standin.BackendService, address))
	settings, err := platformSettings(storeServer.Listener.Addr().String())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	exited := make(chan error, 1)
	go func() { exited <- platformdaemon.NewEntryDaemon(settings, nil, discardLog()).Run(ctx) }()
	b := &platformBench{
		directAddress: address, entryAddress: settings.Callers,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: platformWorkers}},
	}
	err = b.measure(r, settings.Readiness)
	stop()
	if stopped := <-exited; err == nil {
		err = stopped
	}
	return err
}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// platformSettings returns settings with free loopback ports.
func platformSettings(store string) (*platform.Settings, error) {
	const ip, ports = "127.0.0.1", 6
	var free [ports]string
	for i := range free {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "platform entry")
		}
		free[i] = listener.Addr().String()
		if err := listener.Close(); err != nil {
			return nil, errors.Wrap(err, "platform entry")
		}
	}
	_, first, err := net.SplitHostPort(free[0])
	if err != nil {
		return nil, errors.Wrap(err, "platform entry")
	}
	firstPort, err := strconv.Atoi(first)
	return &platform.Settings{
		Daemon: "bench", IP: ip, Zone: "z", Store: store, Callers: free[1], Readiness: free[2], Control: free[3],
		FirstPort: firstPort, Grace: platformDuration, RetryRatio: 1, RetryExtra: 1, RetryWindow: time.Second,
	}, errors.Wrap(err, "platform entry")
}

func (b *platformBench) measure(r *Reporter, ready string) error {
	if err := b.awaitReady(ready); err != nil {
		return err
	}
	for _, kind := range []struct {
		name, path string
		units      int // per request
		unit       string
	}{
		{"requests", standin.BackendPlainPath, 1, "request"},
		{"streams", standin.BackendStreamPath, platformEvents, "event"},
	} {
		if _, err := b.load(b.entryAddress, kind.path); err != nil { // warm up
			return err
		}
		direct, err := b.load(b.directAddress, kind.path)
		if err != nil {
			return err
		}
		through, err := b.load(b.entryAddress, kind.path)
		if err != nil {
			return err
		}
		perUnit := func(s sample) float64 { return s.cpu / float64(s.requests*kind.units) * 1e6 }
		r.Compare("hosted/"+kind.name+"/processor-per-"+kind.unit, perUnit(through), "us", perUnit(direct))
		r.Figure("hosted/"+kind.name+"/processor-added-per-"+kind.unit, perUnit(through)-perUnit(direct), "us")
		r.Compare("hosted/"+kind.name+"/p50", Quantile(through.times, 0.5), "ms", Quantile(direct.times, 0.5))
		r.Compare("hosted/"+kind.name+"/p99", Quantile(through.times, 0.99), "ms", Quantile(direct.times, 0.99))
	}
	return nil
}

func (b *platformBench) awaitReady(address string) error {
	for start := time.Now(); time.Since(start) < platformStartTimeout; time.Sleep(10 * time.Millisecond) {
		response, err := b.client.Get("http://" + address + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // empty
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the entry did not become ready in time")
}

// sample contains the results of a load phase.
type sample struct {
	requests int
	// times are in milliseconds, cpu is the CPU time of this process in seconds.
	times []float64
	cpu   float64
}

// load sends requests from all workers for platformDuration.
func (b *platformBench) load(address, path string) (sample, error) {
	type result struct {
		times []float64
		err   error
	}
	results := make(chan result, platformWorkers)
	before, end := selfCPUSeconds(), time.Now().Add(platformDuration)
	for range platformWorkers {
		go func() {
			var worker result
			for worker.err == nil && time.Now().Before(end) {
				start := time.Now()
				worker.err = b.get(address, path)
				worker.times = append(worker.times, time.Since(start).Seconds()*1000)
			}
			results <- worker
		}()
	}
	var all sample
	var lastErr error
	for range platformWorkers {
		worker := <-results
		all.times = append(all.times, worker.times...)
		if worker.err != nil {
			lastErr = worker.err
		}
	}
	all.requests, all.cpu = len(all.times), selfCPUSeconds()-before
	return all, lastErr
}

func (b *platformBench) get(address, path string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	request.Host = standin.BackendHost
	request.Header.Set(platform.HeaderRequestID, strconv.FormatInt(b.requests.Add(1), 10))
	response, err := b.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Wrap(err, "response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// selfCPUSeconds returns the CPU time of this process.
func selfCPUSeconds() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
