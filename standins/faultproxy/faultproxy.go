// Package relay is a loopback proxy between processes. When its process dies,
// connections are refused; when it's frozen, they hang; and it can delay, reset,
// silence or cut one way what passes through it.
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

// Mode is what a relay does to connections.
type Mode string

// The modes.
const (
	// Pass forwards everything.
	Pass Mode = "pass"
	// Delay holds each piece back for a while.
	Delay Mode = "delay"
	// Reset ends all connections, present and new ones.
	Reset Mode = "reset"
	// OneWay holds what comes back from the target until the mode ends.
	HoldReplies Mode = "one-way"
	// Silent holds both ways until the mode ends.
	HoldAll Mode = "silent"
	// Stale silences the present connections for good; new ones pass.
	BlackholeExisting Mode = "stale"
)

// Modes are those that a soak draws. Stale came later and has a scenario of its own:
// the seeds that ever failed stand for these.
var SoakModes = []Mode{Delay, Reset, HoldReplies, HoldAll}

const (
	// delayTime is how long Delay holds a piece back.
	delayTime = 60 * time.Millisecond
	// holdPoll is how often a held piece looks whether it may go on.
	holdPoll   = 5 * time.Millisecond
	bufferSize = 32 << 10
)

// Relay forwards connections. Safe for concurrent use.
type Proxy struct {
	mu    sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]bool
	// stale are connections that have fallen silent.
	blackholed map[*net.TCPConn]bool
}

// New returns a relay that passes everything.
func New() *Proxy {
	return &Proxy{mode: Pass, conns: map[*net.TCPConn]bool{}, blackholed: map[*net.TCPConn]bool{}}
}

// SetMode changes what the relay does.
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
	_ = conn.SetLinger(0) // closed already: nothing to reset
	_ = conn.Close()
}

// Control returns the harness's interface: PUT /mode/MODE.
func (p *Proxy) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /mode/{mode}", func(_ http.ResponseWriter, request *http.Request) {
		p.SetMode(Mode(request.PathValue("mode")))
	})
	return mux
}

// Run forwards each pair, written listen=target, until a listener fails.
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
		reset(downstream) // the target is gone, and so is the link
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
		_ = conn.Close() // closed by either side already
	}
}

// pipe forwards pieces until either side leaves. A mode of that name holds them,
// as Silent does.
func (p *Proxy) forwardData(to, from *net.TCPConn, holdMode Mode) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		p.waitWhileHeld(holdMode)
		if p.isBlackholed(from) && err == nil {
			continue // taken, and never passed on
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.SetLinger(0) // a reset goes on as one
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

// hold waits as the mode asks.
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
