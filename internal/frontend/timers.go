package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// connTimers closes callers' connections that stay idle, or in the middle of a
// header, for longer than is configured. The HTTP library's own timeouts can't
// be changed while it serves. Its lock is a leaf.
type connTimers struct {
	limits func() fleet.Limits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// connKey finds a request's connection in its context.
type connKey struct{}

func newConnTimers(limits func() fleet.Limits) *connTimers {
	return &connTimers{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// remember puts a connection into the context of its requests.
func remember(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// changed follows a connection's state.
func (t *connTimers) changed(conn net.Conn, state http.ConnState) {
	limits := t.limits()
	switch state {
	case http.StateNew, http.StateActive:
		t.set(conn, limits.HeaderTimeout)
	case http.StateIdle:
		t.set(conn, limits.IdleTimeout)
	case http.StateClosed, http.StateHijacked:
		t.set(conn, 0)
	}
}

// reading stops the timer of a connection whose header has been read.
func (t *connTimers) reading(ctx context.Context) {
	if conn, ok := ctx.Value(connKey{}).(net.Conn); ok {
		t.set(conn, 0)
	}
}

// set replaces a connection's timer; 0 means none.
func (t *connTimers) set(conn net.Conn, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer := t.timers[conn]; timer != nil {
		timer.Stop()
		delete(t.timers, conn)
	}
	if after > 0 {
		t.timers[conn] = time.AfterFunc(after, func() { _ = conn.Close() }) // closed already: nothing to do
	}
}
