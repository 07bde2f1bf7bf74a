package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/drain"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/pkg/errors"
)

// call is a request in progress at the backend server.
type call struct {
	response *http.Response
	cancel   context.CancelFunc
	// requestedAt is in times of Agent.suspendAwareNow.
	requestedAt time.Time
}

// transport connects to backend servers. It must not retry on its own: http.Transport
// resends a request when a reused connection is dead, unless the request has a body without
// GetBody, which start ensures.
var transport = newTransport()

func newTransport() *http.Transport {
	t := &http.Transport{
		MaxIdleConnsPerHost:    256,
		MaxResponseHeaderBytes: headers.MaxServerBytes,
		DisableCompression:     true,
		DialContext:            (&net.Dialer{Timeout: 2 * time.Second, Control: upstream.BoundReceiveBuffer}).DialContext,
	}
	upstream.CheckConnections(t)
	return t
}

// start sends the request to the server. From then on, the outcome of a failure is unknown
// unless no connection was established.
func (a *Agent) start(j *job) (*call, *failure.Error) {
	if !a.stop.Admits(a.now(), j.deadline, drain.Recent{}) {
		a.done(j.envelope.RequestID, 0, true)
		return nil, failure.NotRun(failure.StepQueue, a.options.Server, failure.CodeLeaving, "the server is leaving, and the request might not end in time").WithRetryAfter(retryHint)
	}
	ctx, cancel := a.callContext(j)
	if ctx.Err() != nil {
		cancel()
		a.done(j.envelope.RequestID, 0, true)
		return nil, failure.NotRun(failure.StepRun, a.options.Server, failure.CodeCanceled, "the caller disconnected or the deadline passed before the start")
	}
	ctx, check := upstream.WithSendCheck(ctx, func() error { return a.checkSend(j) })
	request, err := http.NewRequestWithContext(ctx, j.request.Method, a.options.Backend+j.request.URL.RequestURI(), a.nonRewindableBody(j.body))
	if err != nil {
		cancel()
		a.done(j.envelope.RequestID, 0, false)
		return nil, failure.NotRun(failure.StepRun, a.options.Server, failure.CodeInvalid, err.Error())
	}
	request.ContentLength = int64(len(j.body))
	copyHeaders(request.Header, j.request.Header)
	request.Header.Set(headers.Priority, strconv.Itoa(enginePriority(j.envelope.Class)))
	request.Header.Set(headers.RequestID, j.envelope.RequestID)
	requestedAt := a.suspendAwareNow()
	response, err := transport.RoundTrip(request)
	var excluded *eligibility.ExcludedError
	if errors.As(check.Err(), &excluded) {
		cancel()
		a.done(j.envelope.RequestID, 0, true)
		return nil, a.excludedFailure(excluded.Exclusion)
	}
	if err != nil {
		f := a.sendFailure(ctx, err)
		cancel()
		a.done(j.envelope.RequestID, 0, false)
		return nil, f
	}
	// Servers needn't repeat the ID. One that does may send a second response late, in place of the
	// next one.
	if id := response.Header.Get(headers.RequestID); id != "" && id != j.envelope.RequestID {
		closeBody(response.Body)
		cancel()
		a.done(j.envelope.RequestID, 0, false)
		return nil, failure.Unknown(failure.StepRun, a.options.Server, failure.CodeServerLost, "the response belongs to another request")
	}
	a.recordReport(response)
	a.recordLimit(response, requestedAt)
	return &call{response: response, cancel: cancel, requestedAt: requestedAt}, nil
}

// nonRewindableBody returns a body that the transport can't rewind, so that it never resends
// the request. An empty body is wrapped too: requests without a body count as replayable.
func (a *Agent) nonRewindableBody(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

func (a *Agent) sendFailure(ctx context.Context, err error) *failure.Error {
	server := a.options.Server
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return failure.NotRun(failure.StepRun, server, failure.CodeServerLost, "connection to the backend server failed").WithRetryAfter(retryHint)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.Unknown(failure.StepRun, server, failure.CodeDeadline, "the deadline passed while running")
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return failure.Unknown(failure.StepRun, server, failure.CodeCanceled, "canceled while running")
	}
	return failure.Unknown(failure.StepRun, server, failure.CodeServerLost, err.Error())
}

const (
	priorityUrgent = iota
	priorityNormal
	priorityPatient
)

func enginePriority(class config.Class) int {
	switch class {
	case config.ClassUrgent:
		return priorityUrgent
	case config.ClassPatient:
		return priorityPatient
	case config.ClassNormal:
		return priorityNormal
	default:
		return priorityNormal
	}
}

// hopByHopHeaders are not forwarded by proxies (RFC 9110, section 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// headerPrefix marks crowbridge's own headers, which are not forwarded to servers.
const headerPrefix = "X-Crowbridge-"

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if hopByHopHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
}

// deliver relays the response to a request without key deduplication, streamed if the
// server streams or the response is large.
func (a *Agent) deliver(j *job, c *call, f *failure.Error) *failure.Error {
	if f != nil {
		return f
	}
	contentType := c.response.Header.Get("Content-Type")
	if httpapi.IsEventStream(contentType) || c.response.ContentLength > a.options.MaxResponse {
		return a.relay(j, c, nil, 0)
	}
	head, whole, err := a.readAhead(j, c)
	if err == nil && !whole && dispatch.FramingOf(c.response) != dispatch.FramingClose {
		// Its end shows whether it is complete. A caller that doesn't read must not keep the server's slot.
		return a.relay(j, c, head, intake.ConnOf(j.request.Context()).StallTimeout())
	}
	response, f := a.endResponse(j, c, head, whole, err)
	if f != nil {
		return f
	}
	a.write(j, response)
	return nil
}

// readAhead reads the response, as far as its limit and the memory allow.
func (a *Agent) readAhead(j *job, c *call) (head []byte, whole bool, err error) {
	return dispatch.ReadAhead(c.response.Body, int(a.options.MaxResponse)+1, intake.ConnOf(j.request.Context()).Hold)
}

// readResponse reads the complete response and ends the call.
func (a *Agent) readResponse(j *job, c *call) (outcome.Response, *failure.Error) {
	body, whole, err := a.readAhead(j, c)
	return a.endResponse(j, c, body, whole, err)
}

// endResponse ends the call after its response has been read, with an error err or whole if it could be.
func (a *Agent) endResponse(j *job, c *call, body []byte, whole bool, err error) (outcome.Response, *failure.Error) {
	defer c.cancel()
	_ = c.response.Body.Close() // a read error is handled below
	if err == nil && !whole {
		err = errors.Errorf("response exceeds the agent's limit of %d bytes or its memory", a.options.MaxResponse)
	}
	if err != nil {
		a.done(j.envelope.RequestID, 0, false)
		return outcome.Response{}, failure.Unknown(failure.StepRelay, a.options.Server, failure.CodeServerLost, "response incomplete: "+err.Error())
	}
	a.done(j.envelope.RequestID, a.responseCost(body), c.response.StatusCode < http.StatusInternalServerError)
	if err := a.confirmEnd(j, c); err != nil {
		return outcome.Response{}, failure.Unknown(failure.StepRelay, a.options.Server, failure.CodeEndUnconfirmed, err.Error())
	}
	header := http.Header{}
	copyHeaders(header, c.response.Header)
	return outcome.Response{Status: c.response.StatusCode, Header: header, Body: body}, nil
}

// confirmEnd returns an error if the response, which was read to its end, may be incomplete. Streams
// needn't be confirmed: entries look for their end event.
func (a *Agent) confirmEnd(j *job, c *call) error {
	hasExited := func(ctx context.Context) bool { return a.hasServerExited(ctx, c.requestedAt) }
	return dispatch.ConfirmEnd(c.response.Request.Context(), dispatch.FramingOf(c.response), j.envelope.Idempotent, hasExited)
}

// usage is the part of an engine's response that reports its cost.
type usage struct {
	Usage struct {
		TotalTokens float64 `json:"total_tokens"`
	} `json:"usage"`
}

// responseCost returns the tokens that an engine reports, or 0 to use the estimate.
func (a *Agent) responseCost(body []byte) float64 {
	if a.options.Protocol != config.ProtocolEngine {
		return 0
	}
	var u usage
	if err := json.Unmarshal(body, &u); err != nil {
		return 0
	}
	return u.Usage.TotalTokens
}

const relayBuffer = 16 << 10

// relay streams the response, of which head has been read. writeTimeout bounds each write, unless it is 0. TCP flow control passes the caller's back pressure on to the
// server, and memory stays at one buffer.
func (a *Agent) relay(j *job, c *call, head []byte, writeTimeout time.Duration) *failure.Error {
	defer c.cancel()
	defer closeBody(c.response.Body)
	copyHeaders(j.writer.Header(), c.response.Header)
	a.setHeaders(j.writer.Header())
	j.headers = true
	j.writer.WriteHeader(c.response.StatusCode)
	written, events, err := copyStream(j.writer, io.MultiReader(bytes.NewReader(head), c.response.Body), writeTimeout)
	a.done(j.envelope.RequestID, float64(events), err == nil || errors.Is(err, errEntryGone))
	if err == nil {
		return nil
	}
	a.log.WithError(err).WithField("bytes", written).Debug("response stream broke off")
	return failure.Unknown(failure.StepRelay, a.options.Server, failure.CodeServerLost, "stream broke off: "+err.Error())
}

// errEntryGone means that the entry doesn't read the response, or has closed its connection.
var errEntryGone = errors.New("write to entry")

// copyStream copies and flushes data as it arrives, and counts the events.
func copyStream(w http.ResponseWriter, body io.Reader, writeTimeout time.Duration) (written int64, events int, err error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			events += bytes.Count(buffer[:n], []byte("\n\n"))
			if writeTimeout > 0 {
				if err := controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
					return written, events, errors.Wrap(errEntryGone, err.Error())
				}
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return written, events, errors.Wrap(errEntryGone, err.Error())
			}
			if err := controller.Flush(); err != nil {
				return written, events, errors.Wrap(errEntryGone, err.Error())
			}
			written += int64(n)
		}
		if errors.Is(readErr, io.EOF) {
			return written, events, nil
		}
		if readErr != nil {
			return written, events, errors.Wrap(readErr, "read from server")
		}
	}
}

func closeBody(body io.Closer) {
	_ = body.Close() // the body was read completely or is abandoned
}
