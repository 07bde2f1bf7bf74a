package upstream

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// checkedConn runs a send check before the first bytes of each request, checks the head of each
// response, and distinguishes a reset from an orderly end.
type checkedConn struct {
	net.Conn

	mu sync.Mutex
	// check belongs to the next request on the connection; nil once it has run.
	check func() error
	// head is that of the response to the request.
	head responseHead
}

// beginRequest sets the check of the next request, or none if check is nil.
func (c *checkedConn) beginRequest(check func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.check, c.head = check, responseHead{}
}

// Read implements net.Conn. If a head is refused, the transport closes the connection.
func (c *checkedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		return n, errors.Wrap(syscall.ECONNRESET, "read")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.head.add(data[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Write implements net.Conn. If the check fails, nothing is sent and the transport closes the
// connection.
func (c *checkedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	check := c.check
	c.check = nil
	c.mu.Unlock()
	if check != nil {
		if err := check(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// tcpClosed is the state of a connection that was reset (enum tcp_state of Linux); one that the peer
// has closed in order is in another.
const tcpClosed = 7

// wasReset reports whether a connection whose end was read had been reset, or closed by the transport
// because of that. The system reports a reset once: if a concurrent write receives that error, a read
// finds an orderly end. After an orderly end, a reset stays to be reported.
func wasReset(conn net.Conn) bool {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // closed
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr != nil || info.State != tcpClosed {
			return
		}
		pending, pendingErr := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		reset = pendingErr == nil && pending == 0
	})
	return reset || err != nil
}
