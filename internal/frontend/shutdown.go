package frontend

import (
	"context"
	"errors"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/sirupsen/logrus"
)

const (
	// cutTimeout is the time for failure responses to the requests that Shutdown cancels. It covers
	// the one-way delay to a caller, and fits into the time that the entry leaves before it is
	// killed.
	cutTimeout = 300 * time.Millisecond
	// closeInterval is the time between searches for connections that have become idle.
	closeInterval = 10 * time.Millisecond
)

// Leave closes each connection after its next response, and logs the requests in flight.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.tracker.beginStop()
}

// StopCounts returns what became of requests since Leave.
func (s *Server) StopCounts() StopCounts { return s.tracker.stopCounts() }

// Shutdown closes the listener and the idle connections, and waits for the requests in flight, those
// whose header or body is still arriving among them. When the context ends, it cancels the remaining
// requests, which get failure responses; after cutTimeout it closes all connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if l := s.listener.Load(); l != nil {
		if err := l.closeAfterQueue(); err != nil {
			return errors.Join(err, s.http.Close())
		}
	}
	if s.awaitConnections(ctx) {
		return s.http.Close()
	}
	s.cancelRequests(dispatch.ErrLeaving)
	s.tracker.endReads()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutTimeout)
	defer cancel()
	for _, conn := range s.connections.unreadConns() {
		s.tracker.logUnreadHeader(conn)
		conn.closeUnlessServing()
	}
	if s.awaitConnections(bounded) {
		return s.http.Close()
	}
	return errors.Join(context.Cause(ctx), s.http.Close())
}

// awaitConnections closes connections as they become idle. It reports whether the listener and all
// connections are closed before the context ends.
func (s *Server) awaitConnections(ctx context.Context) bool {
	ticker := time.NewTicker(closeInterval)
	defer ticker.Stop()
	for {
		closed := s.accepting.Load() == 0
		if s.connections.closeIdle() == 0 && closed {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// logUnreadHeader logs and counts a connection that is closed inside a request's header.
func (t *tracker) logUnreadHeader(conn *callerConn) {
	t.mu.Lock()
	t.counts.Unread++
	t.mu.Unlock()
	t.log.WithFields(logrus.Fields{
		"caller": conn.RemoteAddr().String(), "header_bytes": conn.unread.Load(),
		"connection_age_ms": t.now().Sub(conn.openedAt).Milliseconds(),
	}).Warn("connection closed inside a request's header")
}
