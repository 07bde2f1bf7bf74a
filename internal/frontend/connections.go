package frontend

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/intake"
	"golang.org/x/sys/unix"
)

// phase is what a caller's connection is used for. Whoever closes it without a response and whoever
// serves a request change the phase first, so that no request is served on a closed connection.
type phase int32

const (
	// phaseReceiving is that of a new connection, and of one on which a request is arriving.
	phaseReceiving phase = iota
	phaseServing
	// phaseIdle is that of a kept connection while nothing of a next request has been read.
	phaseIdle
	phaseClosed
)

// callerConn is a caller's connection.
type callerConn struct {
	*intake.Conn
	openedAt time.Time
	phase    atomic.Int32
	// unread counts the bytes received since the connection was opened or became idle.
	unread atomic.Int64
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 {
		return n, err
	}
	c.unread.Add(int64(n))
	if c.change(phaseIdle, phaseReceiving); c.in(phaseClosed) {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *callerConn) in(p phase) bool { return phase(c.phase.Load()) == p }

func (c *callerConn) change(from, to phase) bool {
	return c.phase.CompareAndSwap(int32(from), int32(to))
}

// beginServing reports whether a request whose header has been read may be served. If it arrived with
// the one before, the connection is idle.
func (c *callerConn) beginServing() bool {
	return (c.change(phaseReceiving, phaseServing) || c.change(phaseIdle, phaseServing)) && c.BeginRequest()
}

// becomeIdle records that a response has been written.
func (c *callerConn) becomeIdle() {
	c.EndRequest()
	c.unread.Store(0)
	c.change(phaseServing, phaseIdle)
}

// closeIfIdle closes a kept connection of whose next request nothing has arrived. It reports whether
// it did.
func (c *callerConn) closeIfIdle() bool {
	if !c.in(phaseIdle) || c.hasArrived() || !c.change(phaseIdle, phaseClosed) {
		return false
	}
	_ = c.Close() // fails only if already closed
	return true
}

// closeUnlessServing closes a connection on which no request is being served.
func (c *callerConn) closeUnlessServing() {
	if c.change(phaseIdle, phaseClosed) || c.change(phaseReceiving, phaseClosed) {
		_ = c.Close() // fails only if already closed
	}
}

// hasArrived reports whether the system has received bytes that haven't been read yet.
func (c *callerConn) hasArrived() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // closed
	}
	arrived := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		arrived = recvErr == nil && n > 0
	})
	return err == nil && arrived
}

// connections are the callers' open connections.
type connections struct {
	mu   sync.Mutex // leaf lock: guards open
	open map[*callerConn]struct{}
}

func newConnections() *connections { return &connections{open: map[*callerConn]struct{}{}} }

// stateChanged records the state of a connection.
func (c *connections) stateChanged(caller *callerConn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.mu.Lock()
		c.open[caller] = struct{}{}
		c.mu.Unlock()
	case http.StateIdle:
		caller.becomeIdle()
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.open, caller)
		c.mu.Unlock()
	case http.StateActive:
	}
}

func (c *connections) list() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*callerConn, 0, len(c.open))
	for conn := range c.open {
		list = append(list, conn)
	}
	return list
}

// closeIdle closes the idle connections and returns the number of others. A new connection isn't idle:
// its caller is about to use it.
func (c *connections) closeIdle() int {
	others := 0
	for _, conn := range c.list() {
		if !conn.closeIfIdle() {
			others++
		}
	}
	return others
}

// unreadConns returns the connections of which a part of a request's header has been received.
func (c *connections) unreadConns() []*callerConn {
	var unread []*callerConn
	for _, conn := range c.list() {
		if conn.in(phaseReceiving) && conn.unread.Load() > 0 {
			unread = append(unread, conn)
		}
	}
	return unread
}
