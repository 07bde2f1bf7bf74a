package upstream

import (
	"context"
	"net"
	"syscall"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
)

// Prober checks whether servers listen at their addresses. It implements crash.Prober.
type Prober struct{}

// Probe implements crash.Prober.
func (Prober) Probe(ctx context.Context, server *fleet.Server) crash.Liveness {
	return ProbeAddress(ctx, server.Address)
}

// ProbeAddress checks whether a process listens at an address by opening and closing a
// connection.
func ProbeAddress(ctx context.Context, address string) crash.Liveness {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close()
		return crash.Listening
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return crash.Exited
	}
	return crash.Unknown
}
