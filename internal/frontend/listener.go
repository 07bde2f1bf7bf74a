package frontend

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/intake"
)

// queueTimeout is how long a listener that closes still accepts the connections that the system has
// established; otherwise it would reset them.
const queueTimeout = 200 * time.Millisecond

// callerListener accepts callers' connections.
type callerListener struct {
	*intake.Listener
	now     func() time.Time
	closing atomic.Bool
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptConn()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.closing.Load() {
		return nil, errors.Join(net.ErrClosed, l.Close())
	}
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, openedAt: l.now()}, nil
}

// closeAfterQueue closes the listener once it has accepted the connections in its queue.
func (l *callerListener) closeAfterQueue() error {
	l.closing.Store(true)
	return l.SetDeadline(time.Now().Add(queueTimeout))
}
