// Package relay stands between the processes of two availability zones, so that
// a scenario can cut them from each other: when the relay process dies,
// connections are refused; when it's frozen, they hang.
package relay

import (
	"io"
	"net"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Run forwards each pair, written listen=target, until a listener fails.
func Run(pairs []string) error {
	var group errgroup.Group
	for _, pair := range pairs {
		listen, target, found := strings.Cut(pair, "=")
		if !found {
			return errors.Errorf("pair %q: use listen=target", pair)
		}
		listener, err := net.Listen("tcp", listen)
		if err != nil {
			return errors.Wrap(err, pair)
		}
		group.Go(func() error { return accept(listener, target) })
	}
	return group.Wait()
}

func accept(listener net.Listener, target string) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go forward(conn, target)
	}
}

func forward(near net.Conn, target string) {
	far, err := net.Dial("tcp", target)
	if err != nil {
		_ = near.Close() // the target is gone, and so is the link
		return
	}
	go pipe(far, near)
	pipe(near, far)
}

func pipe(to, from net.Conn) {
	_, _ = io.Copy(to, from) // either side may leave
	_ = to.Close()
	_ = from.Close()
}
