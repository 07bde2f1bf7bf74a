package bench

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	recoveryZones = 4
	// recoveryPort is the first port of each entry, which has its own loopback address.
	recoveryPort = 31000
	// recoveryOutage is the duration of the outage before a restore.
	recoveryOutage = 1500 * time.Millisecond
	// recoveryTimeout bounds the time until all entries apply a version.
	recoveryTimeout = 30 * time.Second
	recoveryRounds  = 3
)

// recovery is a fleet of entries whose store is restored from a backup.
type recovery struct {
	store   *standin.Store
	calls   atomic.Int64
	version int64

	mu sync.Mutex
	// appliedAt contains the times at which entries applied a version, by version.
	appliedAt map[int64][]time.Time
}

// Recovery measures how fast all entries apply a new configuration after the store was
// restored from a backup, and the calls to the store until then.
func (r *Reporter) Recovery() error {
	for _, entries := range []int{8, 32, 128} {
		if err := r.recover(entries); err != nil {
			return errors.Wrapf(err, "%d entries", entries)
		}
	}
	return nil
}

func (r *Reporter) recover(entries int) error {
	f := &recovery{store: standin.NewStore(), appliedAt: map[int64][]time.Time{}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.calls.Add(1)
		f.store.ServeHTTP(w, q)
	}))
	defer server.CloseClientConnections()
	f.writeConfig()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for i := range entries {
		daemon := platformdaemon.NewEntryDaemon(recoverySettings(i, server.Listener.Addr().String()), nil, f.newLog())
		running.Go(func() { _ = daemon.Run(ctx) }) // awaitApplied fails if an entry exits
	}
	var times []float64
	calls := 0.0
	for range recoveryRounds {
		took, err := f.round(entries)
		if err != nil {
			return err
		}
		times = append(times, took...)
		calls = max(calls, float64(f.calls.Load()))
	}
	name := fmt.Sprint("recovery/entries-", entries)
	r.Figure(name+"/in-force-p50", Quantile(times, 0.5), "ms")
	r.Figure(name+"/in-force-worst", Quantile(times, 1), "ms")
	r.Figure(name+"/calls-until-then", calls, "calls")
	return nil
}

// round takes the store down, restores it from a backup, and changes the configuration
// immediately. It returns the times until each entry applied the change, in milliseconds.
func (f *recovery) round(entries int) ([]float64, error) {
	if err := f.awaitApplied(entries); err != nil {
		return nil, err
	}
	f.store.TakeBackup()
	f.writeConfig()
	f.writeConfig()
	if err := f.awaitApplied(entries); err != nil {
		return nil, err
	}
	f.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(recoveryOutage)
	f.store.RestoreBackup()
	f.store.SetFaults(standin.Faults{})
	restoredAt := time.Now()
	f.calls.Store(0)
	f.writeConfig()
	if err := f.awaitApplied(entries); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var took []float64
	for _, at := range f.appliedAt[f.version] {
		took = append(took, at.Sub(restoredAt).Seconds()*1000)
	}
	return took, nil
}

// writeConfig writes the next version of the configuration.
func (f *recovery) writeConfig() {
	f.version++
	f.store.Put(platform.TopicOperators, platform.Decoder{}.ConfigKey(), fmt.Sprintf(`{"version":%d}`, f.version))
}

// awaitApplied waits until all entries have applied the latest version.
func (f *recovery) awaitApplied(entries int) error {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.mu.Lock()
		applied := len(f.appliedAt[f.version])
		f.mu.Unlock()
		if applied == entries {
			return nil
		}
	}
	return errors.Errorf("version %d was not applied by all entries in time", f.version)
}

// newLog returns a logger for an entry whose messages are observed by Fire.
func (f *recovery) newLog() *logrus.Entry {
	log := discardLog()
	log.Logger.AddHook(f)
	return log
}

// Levels implements logrus.Hook.
func (*recovery) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire implements logrus.Hook.
func (f *recovery) Fire(line *logrus.Entry) error {
	version, ok := line.Data["version"].(int64)
	if !ok || line.Message != "configuration in force" {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.appliedAt[version] = append(f.appliedAt[version], line.Time)
	return nil
}

// recoverySettings returns the settings of the i-th entry.
func recoverySettings(i int, store string) *platform.Settings {
	ip := recoveryIP(i)
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, recoveryPort+n) }
	var seeds []string
	for seed := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", recoveryIP(seed), recoveryPort+7))
	}
	return &platform.Settings{
		Daemon: "entry-" + ip, IP: ip, Zone: fmt.Sprint("z", i%recoveryZones), Store: store, Path: "none",
		Callers: at(5), Readiness: at(6), Control: at(7), FirstPort: recoveryPort, Seeds: slices.Clone(seeds),
		Grace: time.Second, RetryRatio: 1, RetryExtra: 1, RetryWindow: time.Second,
	}
}

func recoveryIP(i int) string { return fmt.Sprintf("127.0.9.%d", i+1) }
