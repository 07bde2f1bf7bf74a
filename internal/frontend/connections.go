package frontend

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// callerConn is a caller's connection. It counts the bytes of the request that is being received.
type callerConn struct {
	*net.TCPConn
	openedAt time.Time
	// unread counts the bytes received since the connection was opened or became idle.
	unread atomic.Int64
}

// Read implements net.Conn.
func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	c.unread.Add(int64(n))
	return n, err
}

// connections are the callers' open connections with their states.
type connections struct {
	mu   sync.Mutex // leaf lock: guards open
	open map[*callerConn]http.ConnState
}

func newConnections() *connections { return &connections{open: map[*callerConn]http.ConnState{}} }

// stateChanged is the http.Server's ConnState hook.
func (c *connections) stateChanged(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		caller.unread.Store(0)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, caller)
		return
	}
	c.open[caller] = state
}

// closeIdle closes the connections that wait for a next request of which nothing has arrived, and
// returns the number of others. A new connection isn't idle: its caller is about to use it.
func (c *connections) closeIdle() int {
	c.mu.Lock()
	var idle []*callerConn
	for conn, state := range c.open {
		if state == http.StateIdle && conn.unread.Load() == 0 {
			idle = append(idle, conn)
		}
	}
	others := len(c.open) - len(idle)
	c.mu.Unlock()
	for _, conn := range idle {
		_ = conn.Close() // fails only if already closed
	}
	return others
}

// unreadConns returns the connections of which a part of a request's header has been received.
func (c *connections) unreadConns() []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var unread []*callerConn
	for conn, state := range c.open {
		if (state == http.StateIdle || state == http.StateNew) && conn.unread.Load() > 0 {
			unread = append(unread, conn)
		}
	}
	return unread
}
