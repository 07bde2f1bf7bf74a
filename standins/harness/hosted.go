package harness

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	"github.com/pkg/errors"
)

// HostedGrace is the time from SIGTERM to SIGKILL in the settings of a HostedEntry, HostedMemory its
// memory limit in bytes.
const (
	HostedGrace  = 8 * time.Second
	HostedMemory = hostedMemoryMB << 20

	hostedMemoryMB  = 284
	hostedFDs       = 4200
	hostedPortRange = 10
	// agentPortOffset is where in its port range an agent accepts calls.
	agentPortOffset = 2
)

// HostedLimits are the limits of a process in its settings.
type HostedLimits struct {
	// MemoryMB is the memory in MiB, Descriptors the number of descriptors.
	MemoryMB, Descriptors int
}

// HostedEntry is an entry of the users' platform, as a process, with a double of the store.
type HostedEntry struct {
	Store   *standin.Store
	Process *Process
	// Callers is the address for callers, Control that for other daemons.
	Callers, Control string
	// SettingsPath is the path of the settings file, Settings its content.
	SettingsPath, Settings string

	limits       HostedLimits
	ready        string
	storeAddress string
	closers      []func()
}

// StartHostedEntry starts an entry and waits until it is ready. The servers have a service named s.
// It takes the binary from bin and writes to dir.
func StartHostedEntry(bin, dir, configuration string, servers []string) (*HostedEntry, error) {
	return StartLimitedHostedEntry(bin, dir, configuration, servers, HostedLimits{MemoryMB: hostedMemoryMB, Descriptors: hostedFDs})
}

// StartLimitedHostedEntry is StartHostedEntry with other limits.
func StartLimitedHostedEntry(bin, dir, configuration string, servers []string, limits HostedLimits) (*HostedEntry, error) {
	h := &HostedEntry{Store: standin.NewStore(), SettingsPath: filepath.Join(dir, "settings.yaml"), limits: limits}
	h.Store.Put(platform.TopicOperators, platform.Decoder{}.ConfigKey(), configuration)
	for i, address := range servers {
		h.Store.Put(platform.TopicRegistrations, fmt.Sprint("i-", i),
			fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":1000,"state":"ready"}`, address))
	}
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	h.Process = NewProcess("entry", filepath.Join(bin, "crowbridged"), []string{"hosted-entry", "--settings", h.SettingsPath}, h.Callers, logFile(dir, "entry"))
	if err := h.Process.Start(); err != nil {
		h.Close()
		return nil, err
	}
	if err := h.awaitReady(); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *HostedEntry) writeSettings() error {
	store, err := h.Serve(h.Store)
	if err != nil {
		return err
	}
	addresses, err := FreeAddresses(3)
	if err != nil {
		return err
	}
	ip, first, err := freePortRange(hostedPortRange)
	if err != nil {
		return err
	}
	h.Callers, h.ready, h.Control = addresses[0], addresses[1], addresses[2]
	h.Settings = h.hostedSettings("entry", ip, first, store) + fmt.Sprintf("listen: {front: %q, ready: %q, admin: %q}\n", addresses[0], addresses[1], addresses[2])
	h.storeAddress = store
	return errors.Wrap(os.WriteFile(h.SettingsPath, []byte(h.Settings), 0o600), "settings")
}

// hostedSettings returns the settings that all daemons have.
func (h *HostedEntry) hostedSettings(name, ip string, firstPort int, store string) string {
	return fmt.Sprintf(`
node_name: %s
ip: %s
zone: z
port_range: [%d, %d]
limits: {memory_mb: %d, max_fds: %d}
bounds: {drain_ms: 2000, grace_s: %d, retry_budget_ratio: 0.2, budget_window_s: 10, budget_extra: 90}
provider: {address: %q}
`, name, ip, firstPort, firstPort+hostedPortRange-1, h.limits.MemoryMB, h.limits.Descriptors, int(HostedGrace.Seconds()), store)
}

// NewHostedAgent returns the agent of an engine, as a process that isn't started yet. It reads
// registrations from the entry.
func (h *HostedEntry) NewHostedAgent(bin, dir, engine string) (*Process, error) {
	ip, first, err := freePortRange(hostedPortRange)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "agent.yaml")
	text := h.hostedSettings("agent", ip, first, h.storeAddress) + fmt.Sprintf("app: %q\nseeds: [%q]\n", engine, h.Control)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	ready := fmt.Sprintf("%s:%d", ip, first+agentPortOffset)
	return NewProcess("agent", filepath.Join(bin, "crowbridged"), []string{"hosted-agent", "--settings", path}, ready, logFile(dir, "agent")), nil
}

// Serve serves a handler at a free address until Close.
func (h *HostedEntry) Serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "serve")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends by Close
	h.closers = append(h.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

func (h *HostedEntry) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyPoll) {
		response, err := http.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close() // empty
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the entry isn't ready in time")
}

// Close kills the entry if it runs and closes the doubles.
func (h *HostedEntry) Close() {
	if h.Process != nil && h.Process.Running() {
		_ = h.Process.Kill() // fails only if it has just exited
	}
	for _, c := range h.closers {
		c()
	}
}
