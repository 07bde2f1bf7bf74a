package dispatch

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/pkg/errors"
)

// Quarantine keeps requests that end the servers that run them from further ones.
type Quarantine interface {
	// Empty tells whether nothing is held of any request.
	Empty() bool
	// Admit asks whether a request may go to a server now. A sound or suspect one counts
	// as in progress until Leave.
	Admit(d quarantine.Digest) quarantine.Decision
	Release(d quarantine.Digest)
	// ConnectionLost notes that an attempt's connection to a server ended under it, Ended that
	// the server has ended, and Served that the request has run to a good end.
	ConnectionLost(d quarantine.Digest, about quarantine.RequestInfo, server *fleet.Server)
	MarkExited(server, cause string)
	MarkServed(d quarantine.Digest)
}

// SetQuarantine makes the pipeline keep requests from servers. Call it before the first
// request.
func (p *Pipeline) SetQuarantine(q Quarantine) { p.quarantine = q }

const (
	// undecidedWait is how long a request waits for what is undecided about it: a little
	// longer than it takes to find out whether a server that cut it off has ended.
	undecidedWait = 250 * time.Millisecond
	// undecidedPoll is how often it looks.
	undecidedPoll = 10 * time.Millisecond
	// undecidedRetry is the hint to come back after that.
	undecidedRetry = time.Second
)

// enter lets a request go to a server, or refuses it because servers end while they run
// it. One that is repeated is the same request under another ID, so that it's told by its
// digest: told by attempts, one request ended a server at each repeat.
func (p *Pipeline) enter(ctx context.Context, x *exchange) *failure.Error {
	p.leave(x)
	x.request.Suspect = false
	if !p.quarantines() {
		return nil
	}
	until := p.now().Add(undecidedWait)
	for {
		v := p.quarantine.Admit(x.request.digest())
		switch v.State {
		case quarantine.Healthy, quarantine.Suspect:
			x.entered, x.request.Suspect = true, v.State == quarantine.Suspect
			return nil
		case quarantine.Quarantined:
			return heldBack(x, failure.StepQueue, x.Service, failure.CodeQuarantined,
				fmt.Sprintf("%d servers ended while they ran this request (%s): it gets no other for %s",
					len(v.Servers), strings.Join(v.Servers, ", "), v.Until.Sub(p.now()).Round(time.Second))).After(v.Until.Sub(p.now()))
		case quarantine.Pending:
		}
		if !p.now().Before(until) || !wait.For(ctx, undecidedPoll) {
			return heldBack(x, failure.StepQueue, x.Service, failure.CodeSuspect,
				"a server may have ended while it ran this request: it's not known yet, or another attempt is in progress").After(undecidedRetry)
		}
	}
}

// quarantines tells whether requests have to be told apart. While nothing is held of any,
// working out a digest would be for nothing: 5 us for a body of 4 KB, 1 ms for 1 MB, against
// 0.02 us (make bench, area quarantine).
func (p *Pipeline) quarantines() bool { return p.quarantine != nil && !p.quarantine.Empty() }

// heldBack refuses a request before it gets a server. One with a key may have run for an
// earlier caller.
func heldBack(x *exchange, step failure.Step, peer string, code failure.Code, detail string) *failure.Error {
	if x.Homes != nil {
		return failure.Unknown(step, peer, code, detail)
	}
	return failure.NotRun(step, peer, code, detail)
}

// leave ends what enter began.
func (p *Pipeline) leave(x *exchange) {
	if x.entered {
		x.entered = false
		p.quarantine.Release(x.request.digest())
	}
}

// noteCutOff notes that an attempt's connection ended with an error while the server may
// have been running the request, unless we or the caller ended it.
func (p *Pipeline) noteCutOff(ctx context.Context, x *exchange, server *fleet.Server, err error) {
	if ctx.Err() != nil || errors.Is(err, errCaller) {
		return
	}
	x.cutOff = true
	countCutOff(x)
	if p.quarantine != nil {
		p.quarantine.ConnectionLost(x.request.digest(), quarantine.NewRequestInfo(x.request.Customer, x.request.URI), server)
	}
}

// noteRefused notes what an error without any sending says of the server.
func (p *Pipeline) noteRefused(server *fleet.Server, err error) {
	if p.quarantine != nil && errors.Is(err, syscall.ECONNREFUSED) {
		p.quarantine.MarkExited(server.Key(), "it refuses connections")
	}
}
