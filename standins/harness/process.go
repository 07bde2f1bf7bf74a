// Package harness runs a deployment of separate processes on one machine, for the demo,
// the scenario tests, the fault soak and benchmarks.
package harness

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a process of a Cluster.
type Process struct {
	Name         string
	binary       string
	args         []string
	readyAddress string // address that accepts connections once the process serves
	logPath      string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// NewProcess returns a process that isn't started yet. It accepts connections at readyAddress once it
// serves, and its output is appended to the file logPath.
func NewProcess(name, binary string, args []string, readyAddress, logPath string) *Process {
	return &Process{Name: name, binary: binary, args: args, readyAddress: readyAddress, logPath: logPath}
}

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 40 * time.Second
)

// Start starts the process and waits until it accepts connections.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the harness exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, p.Name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = log.Close() // the process has exited
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(exited)
	}()
	return p.awaitReady(exited)
}

func (p *Process) awaitReady(exited <-chan struct{}) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-exited:
			return errors.Errorf("%s exited during its start; see %s", p.Name, p.logPath)
		default:
		}
		conn, err := net.DialTimeout("tcp", p.readyAddress, readyPoll)
		if err == nil {
			return errors.Wrap(conn.Close(), p.Name)
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("%s doesn't accept connections on %s; see %s", p.Name, p.readyAddress, p.logPath)
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrap(p.cmd.Process.Signal(signal), p.Name)
}

// StopBySignals requests a graceful stop between other signals. The process must run until the request.
func (p *Process) StopBySignals() error {
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := p.Signal(signal); err != nil {
			return err
		}
	}
	return p.SignalIfRunning(syscall.SIGTERM)
}

// SignalIfRunning sends signals to a process that may exit meanwhile.
func (p *Process) SignalIfRunning(signals ...syscall.Signal) error {
	for _, signal := range signals {
		if err := p.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
			return err
		}
	}
	return nil
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Stop stops the process gracefully and waits until it has exited. It returns an error if
// the exit code isn't 0.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.AwaitExit()
}

// AwaitExit waits until the process has exited. It returns an error if the exit code isn't 0.
func (p *Process) AwaitExit() error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrapf(p.err, "%s; see %s", p.Name, p.logPath)
	case <-time.After(stopTimeout):
		return errors.Errorf("%s did not exit within the stop timeout; see %s", p.Name, p.logPath)
	}
}

// Exited returns a channel that is closed when the started process has exited.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// PID returns the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Running reports whether the process has been started and hasn't exited.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Ports are below the ephemeral range, so that no outgoing connection takes one between its
// choice and its use.
const (
	firstPort = 18000
	lastPort  = 32000
	// portStride separates the first ports of processes with consecutive IDs: it is the
	// length of the range divided by the golden ratio.
	portStride = 8653
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(firstPort + os.Getpid()*portStride%(lastPort-firstPort))) }

// processLoopback returns a loopback address that is derived from the process ID. Concurrent
// deployments don't share addresses, so neither can take the port of a process of the other
// that is down.
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freeAddress returns an unused loopback address, a different one on each call.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		address := fmt.Sprintf("%s:%d", processLoopback(), port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(listener.Close(), "free port")
	}
	return "", errors.New("no free port")
}

// freePortRange returns a loopback address and the first of n consecutive ports that are unused there.
func freePortRange(n int) (ip string, first int, err error) {
	ip = processLoopback()
	for range lastPort - firstPort {
		base := firstPort + int(nextPort.Add(int64(n))-int64(n)+1)%(lastPort-firstPort)
		if portsFree(ip, base, n) {
			return ip, base, nil
		}
	}
	return "", 0, errors.New("no free port range")
}

func portsFree(ip string, base, n int) bool {
	for port := base; port < base+n; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close() // never used
	}
	return true
}

func logFile(dir, name string) string { return filepath.Join(dir, fmt.Sprintf("%s.log", name)) }
