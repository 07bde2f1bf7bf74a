package frontend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// connTimers closes callers' connections that are idle, or receive a request header, for longer
// than the configured limits. It replaces the timeouts of http.Server, which can't change while the
// server runs.
type connTimers struct {
	limits func() fleet.Limits

	mu     sync.Mutex // leaf lock: guards timers
	timers map[*callerConn]*time.Timer
}

// connKey is the context key of a request's connection.
type connKey struct{}

func newConnTimers(limits func() fleet.Limits) *connTimers {
	return &connTimers{limits: limits, timers: map[*callerConn]*time.Timer{}}
}

// contextWithConn adds a connection to the context of its requests.
func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// stateChanged is the http.Server's ConnState hook.
func (t *connTimers) stateChanged(conn *callerConn, state http.ConnState) {
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

// headerRead stops the timer of the connection of a request whose header has been read. It reports
// whether the request may be served.
func (t *connTimers) headerRead(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*callerConn)
	if !ok {
		return true
	}
	t.set(conn, 0)
	return conn.beginServing()
}

// set replaces a connection's timer. With 0 the connection has none.
func (t *connTimers) set(conn *callerConn, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer := t.timers[conn]; timer != nil {
		timer.Stop()
		delete(t.timers, conn)
	}
	if after > 0 {
		t.timers[conn] = time.AfterFunc(after, conn.closeUnlessServing)
	}
}
