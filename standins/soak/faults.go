package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/crowbridge/crowbridge/standins/faultproxy"
	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

// fault draws one fault. It returns its name, whose last word is the target, and the functions that
// begin and end it.
type fault func(r *run) (name string, begin, end func() error)

var faults = []fault{
	killDaemon, killDaemon, stopDaemon, pauseDaemon, pauseDaemon, pauseLink, changeProxyMode, changeProxyMode, storeFault, storeFault, partitionZone, delayCommands, stopEngine,
	applyChange, applyChange,
}

// randomDaemon draws an entry or an agent.
func (r *run) randomDaemon() *harness.Process {
	var names []string
	for _, e := range r.cluster.Entries {
		names = append(names, e.Name)
	}
	for _, s := range r.cluster.Servers {
		names = append(names, "agent-"+s.Name)
	}
	return r.cluster.Processes[names[r.random.IntN(len(names))]]
}

func killDaemon(r *run) (string, func() error, func() error) {
	p := r.randomDaemon()
	return "kill " + p.Name, p.Kill, p.Start
}

func stopDaemon(r *run) (string, func() error, func() error) {
	p := r.randomDaemon()
	return "stop " + p.Name, func() error { return p.StopBySignals() }, func() error {
		if err := p.SignalIfRunning(syscall.SIGHUP, syscall.SIGTERM); err != nil {
			return err
		}
		if err := p.AwaitExit(); err != nil {
			return err
		}
		return p.Start()
	}
}

func pauseDaemon(r *run) (string, func() error, func() error) {
	p := r.randomDaemon()
	return "pause " + p.Name, func() error { return p.Signal(syscall.SIGSTOP) }, func() error { return p.Signal(syscall.SIGCONT) }
}

func pauseLink(r *run) (string, func() error, func() error) {
	zones := r.cluster.Layout.Zones
	p := r.cluster.Processes["link-"+zones[r.random.IntN(len(zones))]]
	return "pause " + p.Name, func() error { return p.Signal(syscall.SIGSTOP) }, func() error { return p.Signal(syscall.SIGCONT) }
}

func changeProxyMode(r *run) (string, func() error, func() error) {
	mode := faultproxy.SoakModes[r.random.IntN(len(faultproxy.SoakModes))]
	// In half of the cases the held data is dropped: the requests have run, but their responses
	// are lost.
	lost := r.random.IntN(2) == 0
	return string(mode) + " proxy", func() error { return r.cluster.SetProxyMode(mode) }, func() error {
		if lost {
			if err := r.cluster.SetProxyMode(faultproxy.Reset); err != nil {
				return err
			}
		}
		return r.cluster.SetProxyMode(faultproxy.Pass)
	}
}

func storeFault(r *run) (string, func() error, func() error) {
	bodies := []string{`{"down":true}`, `{"loseAnswers":true}`, `{"delayMs":300}`, `{"keep":1}`}
	body := bodies[r.random.IntN(len(bodies))]
	return body + " store", func() error { return r.cluster.InjectFault("/fault/log", body) },
		func() error { return r.cluster.InjectFault("/fault/log", `{}`) }
}

func partitionZone(r *run) (string, func() error, func() error) {
	zones := r.cluster.Layout.Zones
	zone := zones[r.random.IntN(len(zones))]
	return "cut zone-" + zone, func() error { return r.cluster.InjectFault("/fault/cut/"+zone+"/true", "") },
		func() error { return r.cluster.InjectFault("/fault/cut/"+zone+"/false", "") }
}

// delayCommands makes the engines execute each seventh command 800 ms late, after the lease holder
// has given up on it.
func delayCommands(r *run) (string, func() error, func() error) {
	return "late orders", func() error { return r.cluster.InjectGroupFault("late/7/800") },
		func() error { return r.cluster.InjectGroupFault("late/0/0") }
}

func stopEngine(r *run) (string, func() error, func() error) {
	rank := r.random.IntN(len(r.cluster.Layout.Zones) * r.cluster.Layout.RanksPerZone)
	return fmt.Sprintf("down engine-%d", rank), func() error { return r.cluster.InjectGroupFault(fmt.Sprintf("down/%d/true", rank)) },
		func() error { return r.cluster.InjectGroupFault(fmt.Sprintf("down/%d/false", rank)) }
}

// applyChange applies a change of a customer and records its weight if it is accepted.
func applyChange(r *run) (string, func() error, func() error) {
	customer := fmt.Sprintf("soak-%d", r.random.IntN(3))
	r.weight++
	weight := r.weight
	apply := func() error {
		path := filepath.Join(r.options.Dir, fmt.Sprintf("change-%d.yaml", weight))
		text := fmt.Sprintf("kind: Customer\nname: %s\ncustomer: {weight: %d}\n", customer, weight)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "change")
		}
		out, err := r.cluster.RunCLI("apply", "-f", path, "--reason", "soak")
		outcome := strings.TrimSpace(out)
		r.logf("change %d: %.80s", weight, outcome)
		if err == nil {
			r.acceptedWeights[customer] = weight
		} else {
			delete(r.acceptedWeights, customer) // rejected or unknown: either weight may be in force
		}
		return nil
	}
	return "change " + customer, apply, func() error { return nil }
}
