package bench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// Size of the simulated deployment.
const (
	sizeCustomers    = 4200
	sizeModels       = 25
	sizeServers      = 2400
	sizeDailyChanges = 8600
	sizeZones        = 10
)

// Config measures how fast configuration changes are applied, and the cost of snapshots, of
// memory and of the routing index.
func (r *Reporter) Config() error {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	state := config.NewState()
	if err := applyInitial(state); err != nil {
		return err
	}
	entries, err := dailyChanges(state)
	if err != nil {
		return err
	}
	start := time.Now()
	for _, e := range entries {
		if err := state.Apply(e); err != nil {
			return errors.Wrap(err, "apply")
		}
		state.View() // as a replica does after each change
	}
	took := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	r.Figure("config/fold-rate", float64(len(entries))/took.Seconds(), "records/s")
	r.Figure("config/fold-time-per-change", float64(took.Microseconds())/float64(len(entries)), "us")
	r.Figure("config/memory-after-a-day", float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
	bytes := 0
	for _, e := range entries {
		bytes += len(e.Data)
	}
	r.Figure("config/bytes-per-change", float64(bytes)/float64(len(entries)), "bytes")
	if err := r.snapshots(state); err != nil {
		return err
	}
	return r.index(state)
}

func newBundleEntry(offset int64, command string, objects []*config.Object) (config.LogEntry, error) {
	bundle := &config.Bundle{CommandID: command, Actor: "ops", Reason: "bench"}
	for _, o := range objects {
		bundle.Changes = append(bundle.Changes, config.Change{Kind: o.Kind, Name: o.Name, Object: o, ExpectedRevision: config.AnyRevision})
	}
	data, err := (&config.Record{Format: config.FormatVersion, Kind: config.RecordChange, Bundle: bundle}).Encode()
	return config.LogEntry{Position: storelog.Position(offset), TimeMs: simStart.UnixMilli(), Data: data}, err
}

func newCustomer(i, weight int) *config.Object {
	return &config.Object{
		Kind: config.KindCustomer, Name: fmt.Sprintf("customer-%04d", i),
		Labels:   map[string]string{"tier": fmt.Sprintf("t%d", i%4), "region": fmt.Sprintf("r%d", i%4)},
		Customer: &config.Customer{Weight: weight, KeyHashes: []string{fmt.Sprintf("%064x", i)}},
	}
}

// applyInitial applies the whole deployment as one change.
func applyInitial(state *config.State) error {
	var objects []*config.Object
	for i := range sizeModels {
		objects = append(objects, &config.Object{
			Kind: config.KindService, Name: fmt.Sprintf("service-%02d", i),
			Service: &config.Service{Protocol: config.ProtocolEngine, Models: []string{fmt.Sprintf("model-%02d", i)}},
		})
		for region := range 4 {
			objects = append(objects, &config.Object{
				Kind: config.KindRoute, Name: fmt.Sprintf("route-%02d-%d", i, region),
				Route: &config.Route{
					Service: fmt.Sprintf("service-%02d", i), Priority: region,
					Customers: fmt.Sprintf("region=r%d", region), Servers: fmt.Sprintf("region in (r%d, r%d)", region, (region+1)%4),
				},
			})
		}
	}
	for i := range sizeServers {
		objects = append(objects, &config.Object{
			Kind: config.KindBackendServer, Name: fmt.Sprintf("server-%04d", i),
			Labels: map[string]string{"region": fmt.Sprintf("r%d", i%4)},
			BackendServer: &config.BackendServer{
				Service: fmt.Sprintf("service-%02d", i%sizeModels), Zone: fmt.Sprintf("zone-%d", i%sizeZones),
				Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250), Control: fmt.Sprintf("10.%d.%d.1:81", i/250, i%250),
			},
		})
	}
	for i := range sizeCustomers {
		objects = append(objects, newCustomer(i, 1))
	}
	entry, err := newBundleEntry(0, "first", objects)
	if err != nil {
		return err
	}
	if err := state.Apply(entry); err != nil {
		return errors.Wrap(err, "apply")
	}
	if result := state.Results["first"]; !result.Accepted {
		return errors.New(result.Reason)
	}
	return nil
}

// dailyChanges returns the changes of one day. Each changes one customer.
func dailyChanges(state *config.State) ([]config.LogEntry, error) {
	entries := make([]config.LogEntry, 0, sizeDailyChanges)
	for i := range sizeDailyChanges {
		e, err := newBundleEntry(int64(state.Position)+1+int64(i), fmt.Sprint("change-", i), []*config.Object{newCustomer(i*7%sizeCustomers, 1+i%9)})
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (r *Reporter) snapshots(state *config.State) error {
	start := time.Now()
	data, err := state.EncodeSnapshot()
	if err != nil {
		return err
	}
	encoded := time.Since(start)
	start = time.Now()
	if _, err := config.DecodeSnapshot(data); err != nil {
		return err
	}
	r.Figure("config/snapshot-size", float64(len(data))/(1<<20), "MiB")
	r.Figure("config/snapshot-encode", float64(encoded.Milliseconds()), "ms")
	r.Figure("config/snapshot-load", float64(time.Since(start).Milliseconds()), "ms")
	start = time.Now()
	state.Hash()
	r.Figure("config/hash", float64(time.Since(start).Milliseconds()), "ms")
	return nil
}

func (r *Reporter) index(state *config.State) error {
	view := state.View()
	start := time.Now()
	index, err := selector.NewIndex(view)
	if err != nil {
		return err
	}
	r.Figure("config/index-rebuild", float64(time.Since(start).Microseconds())/1000, "ms")
	caller := index.Customer("customer-0001")
	const lookups = 200000
	start = time.Now()
	for i := range lookups {
		if index.RouteForModel(caller, fmt.Sprintf("model-%02d", i%sizeModels), simStart) == nil {
			return errors.New("no route")
		}
	}
	r.Figure("config/route-lookup", float64(time.Since(start).Nanoseconds())/lookups, "ns")
	return nil
}
