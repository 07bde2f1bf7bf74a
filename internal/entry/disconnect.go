package entry

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// callerDisconnected reports whether the caller closed its connection. It peeks, so that
// a pipelined request stays readable.
func callerDisconnected(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed := n == 0 && err == nil
		broken := err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
		disconnected = closed || broken
	})
	return err != nil || disconnected
}
