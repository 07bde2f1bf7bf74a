package entry

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// callerGone tells whether the caller closed its connection. It peeks without
// taking bytes out, so that a pipelined request stays readable.
func callerGone(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed := n == 0 && err == nil
		broken := err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		gone = closed || broken
	})
	return err != nil || gone
}
