package harness

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/standins/engine"
	"github.com/crowbridge/crowbridge/standins/faultproxy"
	"github.com/pkg/errors"
)

// Cluster is a deployment of local processes.
type Cluster struct {
	Layout    Layout
	Entries   []Entry
	Servers   []Server
	Processes map[string]*Process
	// Keys are the customers' API keys.
	Keys []string
	// PlatformURL is the URL of the platform double's control port.
	PlatformURL string

	bin, dir          string
	platformAddresses map[string]string // address of the platform double, by zone
	linkAddresses     map[string]string // address of the link to an entry, by zone + entry name
	startOrder        []string
	rankAddresses     []string // addresses of the group's engines, by rank
	groupURL          string   // control port of the group's engines
	proxyURL          string   // control port of the fault proxy
}

// The group of ranks.
const (
	GroupName    = "g1"
	groupService = "expert-writer"
	groupExperts = 16
	groupLayers  = 2
	groupSlots   = 8
)

// customerNames are the customers of each deployment.
var customerNames = []string{"rozsa", "tulipan", "szegfu"}

// New returns a deployment that isn't started yet. It takes binaries from bin and writes logs
// to dir.
func New(layout Layout, bin, dir string) (*Cluster, error) {
	c := &Cluster{
		Layout: layout, Processes: map[string]*Process{},
		bin: bin, dir: dir, platformAddresses: map[string]string{}, linkAddresses: map[string]string{},
	}
	for _, customer := range customerNames {
		c.Keys = append(c.Keys, "key-of-"+customer)
	}
	if err := c.addPlatform(); err != nil {
		return nil, err
	}
	for _, zone := range layout.Zones {
		if err := c.addZone(zone); err != nil {
			return nil, err
		}
	}
	if err := c.addLinks(); err != nil {
		return nil, err
	}
	if err := c.addGroup(); err != nil {
		return nil, err
	}
	if err := c.addProxy(); err != nil {
		return nil, err
	}
	c.addProcesses()
	return c, nil
}

// Start starts all processes and applies the configuration.
func (c *Cluster) Start() error {
	startAll := func(prefix string) error {
		for _, name := range c.startOrder {
			if strings.HasPrefix(name, prefix) {
				if err := c.Processes[name].Start(); err != nil {
					return err
				}
			}
		}
		return nil
	}
	for _, prefix := range []string{"platform", "link-", "proxy", "backend-", "entry-"} {
		if err := startAll(prefix); err != nil {
			return err
		}
	}
	manifest := filepath.Join(c.dir, "manifest.yaml")
	if err := os.WriteFile(manifest, []byte(c.Manifest()), 0o600); err != nil {
		return errors.Wrap(err, "manifest")
	}
	if out, err := c.RunCLI("apply", "-f", manifest, "--reason", "first configuration"); err != nil {
		return errors.Wrap(err, out)
	}
	if err := startAll("agent-"); err != nil {
		return err
	}
	return c.awaitRouting()
}

// awaitRouting waits until every entry has a load report of every server.
func (c *Cluster) awaitRouting() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range c.Entries {
		for {
			out, err := c.RunCLIAt(e.ControlAddress, "-o", "json", "status")
			if err == nil && strings.Count(out, `"state": "up"`) == len(c.Servers) && !strings.Contains(out, `"report_age_ms": -1`) {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s doesn't route to all servers: %s", e.Name, out)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// CallerAddresses returns the addresses at which the running entries accept requests.
func (c *Cluster) CallerAddresses() []string {
	var running []string
	for _, e := range c.Entries {
		if c.Processes[e.Name].Running() {
			running = append(running, e.CallerAddress)
		}
	}
	return running
}

// SetProxyMode sets the mode of the fault proxy between entries and agents.
func (c *Cluster) SetProxyMode(mode faultproxy.Mode) error {
	return putFault(c.proxyURL+"/mode/"+string(mode), "")
}

// InjectFault sets a fault of the platform double, for example /fault/log with a JSON body.
func (c *Cluster) InjectFault(path, body string) error {
	return putFault(c.PlatformURL+path, body)
}

func putFault(url, body string) error {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "fault")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("fault %s: status %d", url, response.StatusCode)
	}
	return errors.Wrap(response.Body.Close(), "fault")
}

// GroupState returns the statistics of the group's ranks.
func (c *Cluster) GroupState() (*engine.GroupState, error) {
	response, err := http.Get(c.groupURL + "/state")
	if err != nil {
		return nil, errors.Wrap(err, "group")
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	var state engine.GroupState
	return &state, errors.Wrap(json.NewDecoder(response.Body).Decode(&state), "group")
}

// InjectGroupFault sets a fault of the group's engines, for example down/0/true.
func (c *Cluster) InjectGroupFault(path string) error { return putFault(c.groupURL+"/"+path, "") }

// LeaseHolder returns the name of the process that holds the group's lease according to the
// first reachable entry.
func (c *Cluster) LeaseHolder() (string, error) {
	out, err := c.RunCLI("status")
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(out, "\n") {
		if fields := strings.Fields(line); len(fields) > 3 && fields[0] == "lease" {
			return "agent-" + fields[3], nil
		}
	}
	return "", errors.Errorf("no process holds the lease:\n%s", out)
}

// StopAll stops entries and then agents gracefully, and kills all other processes. It
// returns the error of the first graceful stop that failed.
func (c *Cluster) StopAll() error {
	var first error
	for _, prefix := range []string{"entry-", "agent-"} {
		for _, name := range c.startOrder {
			process := c.Processes[name]
			if !strings.HasPrefix(name, prefix) || !process.Running() {
				continue
			}
			if err := process.Stop(); err != nil && first == nil {
				first = err
			}
		}
	}
	c.KillAll()
	return first
}

// KillAll kills all running processes.
func (c *Cluster) KillAll() {
	for _, name := range slices.Backward(c.startOrder) {
		if process := c.Processes[name]; process.Running() {
			_ = process.Kill() // fails if the process has just exited
		}
	}
}
