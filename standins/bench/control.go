package bench

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/crowbridge/crowbridge/standins/harness"
)

const controlDuration = 10 * time.Second

// Control measures the cost of control traffic per daemon for several numbers of daemons and
// servers, how fast a configuration change reaches all entries, and how fast an entry starts.
func (r *Reporter) Control(bin string) error {
	for _, size := range []struct{ entriesPerZone, serversPerZone int }{{2, 6}, {8, 6}, {32, 6}, {2, 24}, {2, 48}, {8, 24}, {8, 48}} {
		err := withLogDir(func(dir string) error { return r.controlAt(bin, dir, size.entriesPerZone, size.serversPerZone) })
		if err != nil {
			return err
		}
	}
	return nil
}

const controlZones = 4

func controlCluster(bin, dir string, entriesPerZone, serversPerZone int) (*harness.Cluster, error) {
	var zones []string
	for i := range controlZones {
		zones = append(zones, fmt.Sprintf("z%d", i))
	}
	cluster, err := harness.New(harness.Layout{
		Zones: zones, EntriesPerZone: entriesPerZone, EnginesPerZone: serversPerZone, StepTime: time.Millisecond,
		KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: time.Second, Quiet: true, NoBackends: true,
	}, bin, dir)
	if err != nil {
		return nil, err
	}
	if err := cluster.Start(); err != nil {
		cluster.KillAll()
		return nil, err
	}
	return cluster, nil
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu   float64 // seconds
	bytes float64 // read and written
}

func usageOf(p *harness.Process) usage { return usage{cpu: cpuSeconds(p), bytes: ioBytes(p)} }

// ioBytes returns the bytes that a process has read and written, including sockets.
func ioBytes(p *harness.Process) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.PID()))
	if err != nil {
		return 0
	}
	total := 0.0
	for _, line := range strings.Split(string(data), "\n") {
		name, value, found := strings.Cut(line, ": ")
		if !found || (name != "rchar" && name != "wchar") {
			continue
		}
		n, _ := strconv.ParseFloat(value, 64) // always a number
		total += n
	}
	return total
}

func (r *Reporter) controlAt(bin, dir string, entriesPerZone, serversPerZone int) error {
	cluster, err := controlCluster(bin, dir, entriesPerZone, serversPerZone)
	if err != nil {
		return err
	}
	defer cluster.KillAll()
	name := fmt.Sprintf("control/%d-daemons-%d-servers", controlZones*entriesPerZone, controlZones*serversPerZone)
	before := map[string]usage{}
	for processName, p := range cluster.Processes {
		before[processName] = usageOf(p)
	}
	time.Sleep(controlDuration)
	r.printMeans(cluster, before, name+"/entry", "entry-")
	r.printMeans(cluster, before, name+"/agent", "agent-")
	platform := usageOf(cluster.Processes["platform"])
	r.Figure(name+"/log-cpu", 100*(platform.cpu-before["platform"].cpu)/controlDuration.Seconds(), "% core")
	r.Figure(name+"/log-bytes", (platform.bytes-before["platform"].bytes)/controlDuration.Seconds()/1024, "KiB/s")
	if err := r.measurePropagation(cluster, name+"/in-force", "{}"); err != nil {
		return err
	}
	if entriesPerZone != 2 || serversPerZone != 6 {
		return nil
	}
	if err := r.measurePropagation(cluster, name+"/in-force-slow-log", `{"delayMs":300}`); err != nil {
		return err
	}
	return r.measureStartup(cluster, name)
}

func (r *Reporter) printMeans(cluster *harness.Cluster, before map[string]usage, name, prefix string) {
	n, cpu, traffic, memory, maxTraffic := 0.0, 0.0, 0.0, 0.0, 0.0
	for processName, p := range cluster.Processes {
		if !strings.HasPrefix(processName, prefix) {
			continue
		}
		now := usageOf(p)
		n++
		cpu += now.cpu - before[processName].cpu
		traffic += now.bytes - before[processName].bytes
		maxTraffic = max(maxTraffic, now.bytes-before[processName].bytes)
		memory += rssMiB(p)
	}
	seconds := controlDuration.Seconds()
	r.Figure(name+"-cpu", 100*cpu/n/seconds, "% core")
	r.Figure(name+"-bytes", traffic/n/seconds/1024, "KiB/s")
	r.Figure(name+"-bytes-most", maxTraffic/seconds/1024, "KiB/s")
	r.Figure(name+"-memory", memory/n, "MiB")
}

const propagationChanges = 30

// measurePropagation appends changes and measures the time until each entry has them. The
// baseline is a process that polls the log once per second.
func (r *Reporter) measurePropagation(cluster *harness.Cluster, name, faults string) error {
	if err := cluster.InjectFault("/fault/log", faults); err != nil {
		return err
	}
	client := daemon.NewControlClient(harness.DaemonKey)
	var times []float64
	for i := range propagationChanges {
		position, err := appendChange(cluster, fmt.Sprint(name, i))
		if err != nil {
			return err
		}
		start := time.Now()
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, e := range cluster.Entries {
			group.Go(func() {
				awaitPosition(client, e.ControlAddress, position)
				mu.Lock()
				defer mu.Unlock()
				times = append(times, time.Since(start).Seconds()*1000)
			})
		}
		group.Wait()
		time.Sleep(50 * time.Millisecond)
	}
	polled := make([]float64, 0, 1000)
	for i := range 1000 {
		polled = append(polled, float64(i)) // uniformly distributed from 0 to 1000 ms
	}
	r.Compare(name+"/p50", Quantile(times, 0.5), "ms", Quantile(polled, 0.5))
	r.Compare(name+"/p99", Quantile(times, 0.99), "ms", Quantile(polled, 0.99))
	r.Compare(name+"/worst", Quantile(times, 1), "ms", Quantile(polled, 1))
	return cluster.InjectFault("/fault/log", "{}")
}

func awaitPosition(client *http.Client, control string, position storelog.Position) {
	source := replica.NewPeerSource(control, "", client)
	for {
		batch, err := source.Records(context.Background(), position-1, 5*time.Second)
		if err == nil && len(batch.Entries) > 0 {
			return
		}
	}
}

func appendChange(cluster *harness.Cluster, command string) (storelog.Position, error) {
	entry, err := newBundleEntry(0, command, []*config.Object{newCustomer(1, 1)})
	if err != nil {
		return 0, err
	}
	store := platform.NewStore(strings.TrimPrefix(cluster.PlatformURL, "http://"), http.DefaultTransport)
	return platform.ConfigLog{Store: store, Now: time.Now}.Append(context.Background(), entry.Data)
}

// measureStartup measures the time from the start of an entry to its readiness.
func (r *Reporter) measureStartup(cluster *harness.Cluster, name string) error {
	entry := cluster.Entries[0]
	for _, log := range []struct{ name, faults string }{{"with-log", "{}"}, {"without-log", `{"down":true}`}} {
		if err := cluster.InjectFault("/fault/log", log.faults); err != nil {
			return err
		}
		var times []float64
		for range 5 {
			if err := cluster.Processes[entry.Name].Kill(); err != nil {
				return err
			}
			start := time.Now()
			if err := cluster.Processes[entry.Name].Start(); err != nil {
				return err
			}
			for !isReady(entry.MetricsAddress()) {
				time.Sleep(2 * time.Millisecond)
			}
			times = append(times, time.Since(start).Seconds()*1000)
		}
		r.Figure(name+"/fresh-entry-ready-"+log.name, Quantile(times, 0.5), "ms")
	}
	return cluster.InjectFault("/fault/log", "{}")
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status matters
	return response.StatusCode == http.StatusOK
}
