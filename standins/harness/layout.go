package harness

import (
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/headers"
)

// Layout configures a deployment.
type Layout struct {
	Zones          []string
	EntriesPerZone int
	EnginesPerZone int
	PlainPerZone   int
	// ZoneLinks routes the traffic from the daemons of each zone to the entries of other
	// zones through a proxy process named link-ZONE.
	ZoneLinks bool
	// RanksPerZone adds a group of ranks that spans all zones.
	RanksPerZone int
	// Proxy routes the traffic between entries and agents through a process named proxy. See
	// Cluster.SetProxyMode.
	Proxy bool
	// IgnoreFences makes the group's engines execute commands with outdated fencing tokens.
	IgnoreFences bool
	// StepTime is the duration of a step of the simulated engines.
	StepTime time.Duration
	// KeyWindowSeconds and ClockSkewMs are settings of the policy.
	KeyWindowSeconds int
	ClockSkewMs      int
	// DrainTimeout bounds a graceful stop.
	DrainTimeout time.Duration
	// Quiet limits logs to warnings and disables the count of executions outside the group of
	// ranks, for benchmarks.
	Quiet bool
	// EntryArgs and AgentArgs are appended to the daemons' arguments and override them.
	EntryArgs, AgentArgs []string
	// NoBackends starts agents without backend servers, to measure control traffic alone.
	NoBackends bool
}

func (l *Layout) logLevel() string {
	if l.Quiet {
		return "warn"
	}
	return "debug"
}

// BackendAddress returns the address of the backend server itself.
func (s *Server) BackendAddress() string { return s.backend }

// AgentAddress returns the address at which its agent takes requests.
func (s *Server) AgentAddress() string { return s.address }

// Secrets of each deployment.
const (
	DaemonKey     = "harness-daemon-key"
	operatorToken = "harness-operator-token"
	readerToken   = "harness-reader-token"
)

// IsDaemon reports whether a process of a Cluster is an entry or an agent.
func IsDaemon(name string) bool {
	return strings.HasPrefix(name, "entry-") || strings.HasPrefix(name, "agent-")
}

// AgentHeader returns the header lines of a request to the agent of a server, but for the request's ID.
func AgentHeader(server string) string {
	const timeout = 30 * time.Second
	h := http.Header{}
	(&headers.Envelope{
		Customer: customerNames[0], Weight: 1, Class: config.ClassNormal, Budget: timeout, Cost: 1, Server: server, Homes: config.NoOffset,
	}).Write(h)
	h.Del(headers.RequestID)
	h.Set(headers.DaemonKey, DaemonKey)
	var lines strings.Builder
	for name := range h {
		fmt.Fprintf(&lines, "%s: %s\r\n", name, h.Get(name))
	}
	return lines.String()
}

// Server is a backend server and its agent.
type Server struct {
	Name, Zone, Service string
	Protocol            string
	Group               string // of ranks; empty for other servers
	Rank                int
	backend             string // address of the backend server itself
	address             string // of the agent, like control and metrics
	control             string
	metrics             string
	// proxyAddress is the agent's address at the proxy, or empty.
	proxyAddress string
}

// dialAddress returns the address at which entries reach the agent.
func (s *Server) dialAddress() string {
	if s.proxyAddress != "" {
		return s.proxyAddress
	}
	return s.address
}

// Entry contains the name and the addresses of an entry.
type Entry struct {
	Name, Zone     string
	CallerAddress  string
	ControlAddress string
	metrics        string
}

// MetricsAddress returns the address of the entry's metrics port.
func (e *Entry) MetricsAddress() string { return e.metrics }

// addLinks adds a proxy between each zone's daemons and the entries of other zones.
func (c *Cluster) addLinks() error {
	for _, zone := range c.Layout.Zones {
		args := []string{"relay"}
		ready := ""
		for _, e := range c.Entries {
			if !c.Layout.ZoneLinks || e.Zone == zone {
				continue
			}
			address, err := freeAddress()
			if err != nil {
				return err
			}
			c.linkAddresses[zone+e.Name] = address
			args = append(args, "--pair", address+"="+e.ControlAddress)
			ready = address
		}
		if ready != "" {
			c.addProcess("link-"+zone, "standin", ready, args)
		}
	}
	return nil
}

// addProxy adds a proxy between the entries and the agents.
func (c *Cluster) addProxy() error {
	if !c.Layout.Proxy {
		return nil
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c.proxyURL = "http://" + listen
	args := []string{"relay", "--listen", listen}
	for i := range c.Servers {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		args = append(args, "--pair", address+"="+c.Servers[i].address)
		c.Servers[i].proxyAddress = address
	}
	c.addProcess("proxy", "standin", listen, args)
	return nil
}

// addGroup adds the engines of the group, in one process.
func (c *Cluster) addGroup() error {
	if len(c.rankAddresses) == 0 {
		return nil
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c.groupURL = "http://" + listen
	args := []string{
		"group", "--name", GroupName, "--listen", listen, "--step", c.Layout.StepTime.String(), "--recorder", c.PlatformURL,
		"--experts", strconv.Itoa(groupExperts), "--sets", strconv.Itoa(groupLayers),
	}
	for _, address := range c.rankAddresses {
		args = append(args, "--rank", address)
	}
	if c.Layout.IgnoreFences {
		args = append(args, "--ignore-fences")
	}
	c.addProcess("backend-"+GroupName, "standin", listen, args)
	return nil
}

func (c *Cluster) addPlatform() error {
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c.PlatformURL = "http://" + listen
	args := []string{"platform", "--listen", listen}
	for _, zone := range c.Layout.Zones {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		c.platformAddresses[zone] = address
		args = append(args, "--zone", zone+"="+address)
	}
	c.addProcess("platform", "standin", listen, args)
	return nil
}

func (c *Cluster) addZone(zone string) error {
	for i := range c.Layout.EntriesPerZone {
		addresses, err := FreeAddresses(3)
		if err != nil {
			return err
		}
		c.Entries = append(c.Entries, Entry{
			Name: fmt.Sprintf("entry-%s-%d", zone, i+1), Zone: zone,
			CallerAddress: addresses[0], ControlAddress: addresses[1], metrics: addresses[2],
		})
	}
	for i := range c.Layout.EnginesPerZone {
		if err := c.addServer(zone, "text-writer", "engine", i); err != nil {
			return err
		}
	}
	for i := range c.Layout.RanksPerZone {
		if err := c.addServer(zone, groupService, "rank", i); err != nil {
			return err
		}
		s := &c.Servers[len(c.Servers)-1]
		s.Protocol, s.Group, s.Rank = "engine", GroupName, len(c.rankAddresses)
		c.rankAddresses = append(c.rankAddresses, s.backend)
	}
	for i := range c.Layout.PlainPerZone {
		if err := c.addServer(zone, "courier-api", "plain", i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) addServer(zone, service, protocol string, i int) error {
	addresses, err := FreeAddresses(4)
	if err != nil {
		return err
	}
	c.Servers = append(c.Servers, Server{
		Name: fmt.Sprintf("%s-%s-%d", protocol, zone, i+1), Zone: zone, Service: service, Protocol: protocol,
		backend: addresses[0], address: addresses[1], control: addresses[2], metrics: addresses[3],
	})
	return nil
}

// FreeAddresses returns unused loopback addresses.
func FreeAddresses(n int) ([]string, error) {
	free := make([]string, 0, n)
	for range n {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		free = append(free, address)
	}
	return free, nil
}

func (c *Cluster) addProcess(name, binary, ready string, args []string) {
	c.Processes[name] = NewProcess(name, filepath.Join(c.bin, binary), args, ready, logFile(c.dir, name))
	c.startOrder = append(c.startOrder, name)
}

func (c *Cluster) addProcesses() {
	for _, s := range c.Servers {
		args := []string{s.Protocol, "--name", s.Name, "--listen", s.backend, "--step", c.Layout.StepTime.String()}
		if !c.Layout.Quiet {
			args = append(args, "--recorder", c.PlatformURL)
		}
		if !c.Layout.NoBackends && s.Group == "" {
			c.addProcess("backend-"+s.Name, "standin", s.backend, args)
		}
	}
	for _, e := range c.Entries {
		c.addProcess(e.Name, "crowbridged", e.CallerAddress, append([]string{
			"entry", "--name", e.Name, "--zone", e.Zone, "--listen", e.CallerAddress, "--control", e.ControlAddress,
			"--metrics", e.metrics, "--daemon-key", DaemonKey, "--log-level", c.Layout.logLevel(),
			"--drain-timeout", c.Layout.DrainTimeout.String(),
			"--store", c.platformAddresses[e.Zone],
			"--operator", "ops:change:" + daemon.HashSecret(operatorToken),
			"--operator", "viewer:read:" + daemon.HashSecret(readerToken),
		}, append(c.peerArgs(e.Zone), c.Layout.EntryArgs...)...))
	}
	for _, s := range c.Servers {
		storeArgs := []string{}
		if s.Group != "" {
			storeArgs = []string{"--store", c.platformAddresses[s.Zone]}
		}
		c.addProcess("agent-"+s.Name, "crowbridged", s.address, append(append([]string{
			"agent", "--server", s.Name, "--zone", s.Zone, "--listen", s.address, "--control", s.control,
			"--metrics", s.metrics, "--daemon-key", DaemonKey, "--backend", "http://" + s.backend,
			"--protocol", s.Protocol, "--log-level", c.Layout.logLevel(), "--drain-timeout", c.Layout.DrainTimeout.String(),
			"--config-timeout", "1s",
		}, append(c.peerArgs(s.Zone), c.Layout.AgentArgs...)...), storeArgs...))
	}
}

// peerArgs returns the arguments that name all entries for the daemons of a zone.
func (c *Cluster) peerArgs(zone string) []string {
	var args []string
	for _, e := range c.Entries {
		address := e.ControlAddress
		if link := c.linkAddresses[zone+e.Name]; link != "" {
			address = link
		}
		args = append(args, "--entry-peer", e.Zone+"="+address)
	}
	return args
}
