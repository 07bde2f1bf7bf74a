package dispatch

import (
	"context"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/pkg/errors"
)

const (
	// endProbeDelay is the time from the end of a response's connection to the probe of its server: an
	// exiting process may close its connections slightly before its listening socket.
	endProbeDelay = 10 * time.Millisecond
	// endProbeTimeout bounds that probe.
	endProbeTimeout = 200 * time.Millisecond
)

// ErrServerExited is the error of a body that may have been cut by its server's exit. It isn't evidence
// of a crash.
var ErrServerExited = errors.New("the connection ended the response, and its server exited")

// ConfirmEnd returns an error if a body that was read to its end may be incomplete. The end of a
// connection completes a body that has no other mark of its end (RFC 9112, section 8), but a process
// that exits ends its connections in the same way. hasExited probes for that. Only a request that may
// be repeated is failed for it: a process may also exit in order after its last response.
func ConfirmEnd(ctx context.Context, framing Framing, repeatable bool, hasExited func(context.Context) bool) error {
	if framing != FramingClose {
		return nil
	}
	if !repeatable {
		countConnectionEnd("unknown")
		return nil
	}
	wait.For(ctx, endProbeDelay)
	probeCtx, cancel := context.WithTimeout(ctx, endProbeTimeout)
	defer cancel()
	exited := hasExited(probeCtx)
	if err := ctx.Err(); err != nil && !exited { // the probe may have been cut short
		countConnectionEnd("unknown")
		return err
	}
	countConnectionEnd(strconv.FormatBool(exited))
	if exited {
		return ErrServerExited
	}
	return nil
}

// countConnectionEnd counts a response that the end of its connection completed, by whether its server
// had exited.
func countConnectionEnd(exited string) {
	metrics.GetOrCreateCounter(`crowbridge_responses_ended_by_connection_total{exited="` + exited + `"}`).Inc()
}

// confirmEnd returns an error if the accepted response, which was read to its end, may be incomplete.
// Agents confirm the ends of their responses themselves.
func (p *Pipeline) confirmEnd(ctx context.Context, x *exchange, server *fleet.Server) error {
	if p.quarantine == nil || x.caller.source.Info.Trusted {
		return nil
	}
	hasExited := func(ctx context.Context) bool { return p.quarantine.HasExited(ctx, server) }
	return ConfirmEnd(ctx, x.caller.source.Framing, x.route.Idempotent(), hasExited)
}
