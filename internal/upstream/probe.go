package upstream

import (
	"context"
	"net"
	"syscall"

	"github.com/crowbridge/crowbridge/internal/crashwatch"
	"github.com/pkg/errors"
)

// Prober looks whether servers listen. It implements crashwatch.Prober.
type Prober struct{}

// Probe implements crashwatch.Prober with one connection that is closed at once.
func (Prober) Probe(ctx context.Context, address string) crashwatch.Liveness {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close() // nothing was sent
		return crashwatch.Listening
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return crashwatch.Ended
	}
	return crashwatch.Unknown
}
