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

// Cluster is a running deployment.
type Cluster struct {
	Layout    Layout
	Entries   []Entry
	Servers   []Server
	Processes map[string]*Process
	// Keys are the customers' API keys.
	Keys []string
	// PlatformURL is the platform stand-in's control port.
	PlatformURL string

	bin, dir          string
	platformAddresses map[string]string // the platform's address by zone
	linkAddresses     map[string]string // addresses by zone and entry
	startOrder        []string
	rankAddresses     []string // addresses of the engines in the group, by rank
	// groupURL is the control port of the group's stand-in.
	groupURL string
	proxyURL string
}

// The harness's group of ranks.
const (
	GroupName    = "g1"
	groupService = "expert-writer"
	groupExperts = 16
	groupLayers  = 2
	groupSlots   = 8
)

// Customers of the harness's deployments.
var customerNames = []string{"rozsa", "tulipan", "szegfu"}

// New lays out a deployment whose binaries are in bin and whose logs go to dir.
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

// awaitRouting waits until every entry has heard from every server.
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

// Callers returns the addresses for callers of the entries that run.
func (c *Cluster) CallerAddresses() []string {
	var running []string
	for _, e := range c.Entries {
		if c.Processes[e.Name].Running() {
			running = append(running, e.CallerAddress)
		}
	}
	return running
}

// ProxyMode sets what the relay between entries and agents does.
func (c *Cluster) SetProxyMode(mode faultproxy.Mode) error {
	return putFault(c.proxyURL+"/mode/"+string(mode), "")
}

// Fault sets a fault at the platform, such as `log` with a JSON body.
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

// Group returns what the group's ranks did so far.
func (c *Cluster) GroupState() (*engine.GroupState, error) {
	response, err := http.Get(c.groupURL + "/state")
	if err != nil {
		return nil, errors.Wrap(err, "group")
	}
	defer func() { _ = response.Body.Close() }() // decoded below
	var state engine.GroupState
	return &state, errors.Wrap(json.NewDecoder(response.Body).Decode(&state), "group")
}

// GroupFault sets a fault at the group's engines, such as down/0/true.
func (c *Cluster) InjectGroupFault(path string) error { return putFault(c.groupURL+"/"+path, "") }

// Holder returns the name of the process that holds the group's lease, as an
// entry that answers tells it.
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
	return "", errors.Errorf("nobody holds the lease:\n%s", out)
}

// StopAll stops entries, then agents, gracefully, and ends the rest. It returns
// the first planned stop that failed.
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

// KillAll ends every process at once.
func (c *Cluster) KillAll() {
	for _, name := range slices.Backward(c.startOrder) {
		if process := c.Processes[name]; process.Running() {
			_ = process.Kill() // it ended by itself meanwhile
		}
	}
}
