// Package faultproxy is a TCP proxy between local processes that injects network faults:
// delays, resets and stalled connections.
package faultproxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Mode is the fault that a Proxy injects.
type Mode string

// Modes of a Proxy.
const (
	// Pass forwards all data.
	Pass Mode = "pass"
	// Delay delays each chunk of data.
	Delay Mode = "delay"
	// Reset resets all connections, open and new ones.
	Reset Mode = "reset"
	// HoldReplies holds the data from the target until the mode changes.
	HoldReplies Mode = "one-way"
	// HoldAll holds the data in both directions until the mode changes.
	HoldAll Mode = "silent"
	// BlackholeExisting discards all further data on open connections. New ones pass.
	BlackholeExisting Mode = "stale"
)

// SoakModes are the modes that the fault soak selects from. The selection depends on their
// number and order, so a new mode would change what the recorded seeds test.
var SoakModes = []Mode{Delay, Reset, HoldReplies, HoldAll}

const (
	delayTime = 60 * time.Millisecond
	// holdPoll is the interval at which a held connection checks the mode.
	holdPoll   = 5 * time.Millisecond
	bufferSize = 32 << 10
)

// Proxy forwards TCP connections. It is safe for concurrent use.
type Proxy struct {
	mu         sync.Mutex
	mode       Mode
	conns      map[*net.TCPConn]bool
	blackholed map[*net.TCPConn]bool
}

// New returns a Proxy in mode Pass.
func New() *Proxy {
	return &Proxy{mode: Pass, conns: map[*net.TCPConn]bool{}, blackholed: map[*net.TCPConn]bool{}}
}

// SetMode changes the mode.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for conn := range p.conns {
		switch mode {
		case Reset:
			reset(conn)
		case BlackholeExisting:
			p.blackholed[conn] = true
		default:
		}
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // fails if the connection is already closed
	_ = conn.Close()
}

// ControlHandler returns the HTTP API for the test harness: PUT /mode/MODE.
func (p *Proxy) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /mode/{mode}", func(_ http.ResponseWriter, request *http.Request) {
		p.SetMode(Mode(request.PathValue("mode")))
	})
	return mux
}

// Run forwards connections for each pair, in the form listen=target, until a listener fails.
func (p *Proxy) Run(pairs []string) error {
	var group errgroup.Group
	for _, pair := range pairs {
		listen, target, found := strings.Cut(pair, "=")
		if !found {
			return errors.Errorf("pair %q: use listen=target", pair)
		}
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return errors.Wrap(err, pair)
		}
		group.Go(func() error { return p.accept(listener, target) })
	}
	return group.Wait()
}

func (p *Proxy) accept(listener net.Listener, target string) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go p.forward(conn.(*net.TCPConn), target)
	}
}

func (p *Proxy) forward(downstream *net.TCPConn, target string) {
	if p.currentMode() == Reset {
		reset(downstream)
		return
	}
	conn, err := net.Dial("tcp", target)
	if err != nil {
		reset(downstream) // the target is down
		return
	}
	upstream := conn.(*net.TCPConn)
	p.track(downstream, upstream)
	defer p.closeAll(downstream, upstream)
	responsesDone := make(chan struct{})
	go func() {
		defer close(responsesDone)
		p.forwardData(downstream, upstream, HoldReplies)
	}()
	p.forwardData(upstream, downstream, HoldAll)
	<-responsesDone
}

func (p *Proxy) track(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

func (p *Proxy) closeAll(conns ...*net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		delete(p.conns, conn)
		delete(p.blackholed, conn)
		_ = conn.Close() // usually already closed
	}
}

// forwardData forwards data until either side closes its connection. It holds the data in
// modes HoldAll and holdMode.
func (p *Proxy) forwardData(to, from *net.TCPConn, holdMode Mode) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		p.waitWhileHeld(holdMode)
		if p.isBlackholed(from) && err == nil {
			continue // discard the data
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.SetLinger(0) // forward a reset as a reset
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

func (p *Proxy) isBlackholed(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blackholed[conn]
}

// waitWhileHeld applies mode Delay and waits while the mode is HoldAll or holdMode.
func (p *Proxy) waitWhileHeld(holdMode Mode) {
	mode := p.currentMode()
	if mode == Delay {
		time.Sleep(delayTime)
	}
	for mode == HoldAll || mode == holdMode {
		time.Sleep(holdPoll)
		mode = p.currentMode()
	}
}
