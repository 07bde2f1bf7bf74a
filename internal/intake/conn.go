package intake

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// state is what a connection is used for.
type state int

const (
	// stateHead is that of a new connection, and of one on which a request's head is arriving.
	stateHead state = iota
	stateIdle
	// stateServing is that from the end of a head to the end of the response, but for stateBody.
	stateServing
	stateBody
	// stateGivenUp is that of a request whose body is no longer read, as others need its memory.
	stateGivenUp
	// stateLingering is that after a refusal, while what its caller still sends is dropped.
	stateLingering
	stateClosed
)

// String implements fmt.Stringer.
func (s state) String() string {
	return [...]string{"head", "idle", "serving", "body", "given up", "lingering", "closed"}[s]
}

// lingerBuffer is the size of the buffer for dropped bytes.
const lingerBuffer = 4 << 10

// Conn is a caller's connection.
type Conn struct {
	*net.TCPConn
	budget   *Budget
	openedAt time.Time
	// progressAt is when the last bytes were received, writingSince since when a write has been waiting, or 0;
	// in Unix nanoseconds.
	progressAt, writingSince atomic.Int64

	// Guarded by the budget's mu: held is what the request holds, in bytes; lingerBytes is how much is dropped
	// behind a refusal.
	state       state
	held        int64
	readingBody bool
	lingerBytes int64
}

// Listener accepts callers' connections.
type Listener struct {
	*net.TCPListener
	budget *Budget
}

// Listen bounds the connections of a TCP listener.
func (b *Budget) Listen(listener net.Listener) (*Listener, error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, errors.Errorf("callers' listener %v: use TCP", listener.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "callers' listener")
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		// Inherited by connections; the system doesn't enlarge a buffer that has been set.
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, b.options.ReceiveBuffer)
	}); err != nil {
		return nil, errors.Wrap(err, "callers' listener")
	}
	if optErr != nil {
		b.log.WithError(optErr).Warn("receive buffers keep the system's size")
	}
	return &Listener{TCPListener: tcp, budget: b}, nil
}

// AcceptConn returns the next connection for which there is room. Others are closed.
func (l *Listener) AcceptConn() (*Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &Conn{TCPConn: tcp, budget: l.budget, openedAt: l.budget.now()}
		c.progressAt.Store(c.openedAt.UnixNano())
		if l.budget.admit(c) {
			return c, nil
		}
		_ = tcp.Close() // its caller sees a closed connection either way
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) { return l.AcceptConn() }

// Read implements net.Conn. It charges the bytes of heads.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 {
		c.progressAt.Store(c.budget.now().UnixNano())
	}
	if refusal := c.received(data[:n]); refusal != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: refusal}
	}
	return n, err
}

// received charges received bytes if they belong to a head. It returns an error if they may not be used.
func (c *Conn) received(data []byte) error {
	b := c.budget
	b.mu.Lock()
	if len(data) > 0 && c.state == stateIdle {
		c.state = stateHead
	}
	s := c.state
	b.mu.Unlock()
	switch {
	case s == stateGivenUp || s == stateClosed:
		return ErrGivenUp
	case s == stateHead && len(data) > 0:
		return b.hold(c, int64(len(data)+bytes.Count(data, []byte{'\n'})*headerLineBytes))
	default:
		return nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writingSince.Store(c.budget.now().UnixNano())
	defer c.writingSince.Store(0)
	return c.TCPConn.Write(data)
}

// BeginRequest records that a request's head has been read. It reports whether the request may be served; otherwise
// the connection has been given up.
func (c *Conn) BeginRequest() bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state != stateHead && c.state != stateIdle {
		return false
	}
	c.state = stateServing
	return true
}

// EndRequest records that a response has been written, and releases what its request held.
func (c *Conn) EndRequest() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state != stateServing {
		return
	}
	c.state = stateIdle
	c.progressAt.Store(b.now().UnixNano())
	b.release(c, c.held)
}

// Linger makes Close send what has been written, and drop up to limit bytes that the caller still sends, so that it
// isn't reset before it has read the response.
func (c *Conn) Linger(limit int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.lingerBytes = limit
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	b := c.budget
	b.mu.Lock()
	if linger := b.isOpen(c) && c.lingerBytes > 0; linger && c.state != stateLingering && c.CloseWrite() == nil {
		b.release(c, c.held)
		c.state = stateLingering
		b.mu.Unlock()
		go c.linger()
		return nil
	}
	b.forget(c)
	b.mu.Unlock()
	return c.TCPConn.Close()
}

// linger drops what the caller still sends, within bounds, and closes the connection.
func (c *Conn) linger() {
	end := time.Now().Add(c.budget.options.LingerTimeout)
	buffer := make([]byte, lingerBuffer)
	for dropped := int64(0); ; {
		if dropped >= c.lingerBytes {
			refusals("still sending").Inc()
			break
		}
		deadline := time.Now().Add(c.budget.options.StallTimeout)
		if end.Before(deadline) {
			deadline = end
		}
		if c.SetReadDeadline(deadline) != nil {
			break // closed for another connection
		}
		n, err := c.TCPConn.Read(buffer)
		if err != nil && !time.Now().Before(end) {
			refusals("still sending").Inc()
		}
		if err != nil {
			break // the caller has closed it, stands still, or has had its time
		}
		dropped += int64(n)
	}
	c.budget.mu.Lock()
	c.budget.forget(c)
	c.budget.mu.Unlock()
	_ = c.TCPConn.Close() // nothing is left to send
}

// connKey is the context key of a request's connection.
type connKey struct{}

// WithConn adds a connection to the context of its requests; it is the ConnContext of an http.Server.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnOf returns the connection of a request, or nil.
func ConnOf(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// StateChanged is the ConnState of an http.Server or its like.
func StateChanged(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Conn); ok && s == http.StateIdle {
		c.EndRequest()
	}
}
