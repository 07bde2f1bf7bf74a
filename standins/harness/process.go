// Package harness runs a deployment of separate processes on one machine, for
// the demo and the scenarios.
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

// Process is one process that the harness started.
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

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 40 * time.Second
)

// Start runs the process and waits until it serves.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, p.Name)
	}
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A process of ours must not outlive the harness.
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
		_ = log.Close() // the process has written its last line
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
			return errors.Errorf("%s ended at its start; see %s", p.Name, p.logPath)
		default:
		}
		conn, err := net.DialTimeout("tcp", p.readyAddress, readyPoll)
		if err == nil {
			return errors.Wrap(conn.Close(), p.Name)
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("%s doesn't serve on %s; see %s", p.Name, p.readyAddress, p.logPath)
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return errors.Wrap(p.cmd.Process.Signal(signal), p.Name)
}

// Kill ends the process at once and waits for it.
func (p *Process) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// Stop asks for a planned stop and waits for it. An exit code other than 0 is
// an error.
func (p *Process) Stop() error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.AwaitExit()
}

// Ended waits for a process that was asked to stop.
func (p *Process) AwaitExit() error {
	select {
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrapf(p.err, "%s; see %s", p.Name, p.logPath)
	case <-time.After(stopTimeout):
		return errors.Errorf("%s doesn't stop; see %s", p.Name, p.logPath)
	}
}

// PID is the process's number.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Running tells whether the process has not ended.
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

// Ports below those that the system gives to outgoing connections, so that
// nothing else takes one between its choice and its use.
const (
	firstPort = 18000
	lastPort  = 32000
	// portSpread puts processes whose numbers follow each other far apart in that
	// range, by the golden ratio: each walks on from where it began.
	portStride = 8653
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(firstPort + os.Getpid()*portStride%(lastPort-firstPort))) }

// ownLoopback is an address of this process's own: of two deployments side by side, neither
// takes a port of the other's while a process there is down. An entry that was to start again
// once found its port in use, and its callers got wrong answers (soak seed 424).
func processLoopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

// freeAddress returns a loopback address that no other caller in this process
// gets, and that is free.
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

func logFile(dir, name string) string { return filepath.Join(dir, fmt.Sprintf("%s.log", name)) }
