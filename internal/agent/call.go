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
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/crowbridge/crowbridge/internal/upstream"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/pkg/errors"
)

// call is a request that was started at the backend server.
type call struct {
	response *http.Response
	cancel   context.CancelFunc
}

// transport to the backend server: no retries of its own. Go's transport
// repeats a request on a reused connection that proved dead, unless the request
// has a body without GetBody; start takes care of that.
var transport = newTransport()

func newTransport() *http.Transport {
	t := &http.Transport{
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
	}
	upstream.EnableSendChecks(t)
	return t
}

// start sends the request to the server. From here on a failure is unknown,
// unless the connection was never made.
func (a *Agent) start(j *job) (*call, *failure.Error) {
	ctx, cancel := a.callContext(j)
	if ctx.Err() != nil {
		cancel()
		a.done(j.envelope.RequestID, 0, true)
		return nil, failure.NotRun(failure.StepRun, a.options.Server, failure.CodeCanceled, "the caller left, or the deadline passed, before the start")
	}
	ctx, permission := upstream.WithSendCheck(ctx, func() error { return a.permit(j) })
	request, err := http.NewRequestWithContext(ctx, j.request.Method, a.options.Backend+j.request.URL.RequestURI(), a.once(j.body))
	if err != nil {
		cancel()
		a.done(j.envelope.RequestID, 0, false)
		return nil, failure.NotRun(failure.StepRun, a.options.Server, failure.CodeInvalid, err.Error())
	}
	request.ContentLength = int64(len(j.body))
	copyHeaders(request.Header, j.request.Header)
	request.Header.Set(wire.HeaderPriority, strconv.Itoa(enginePriority(j.envelope.Class)))
	request.Header.Set(wire.HeaderRequestID, j.envelope.RequestID)
	asked := a.elapsed()
	response, err := transport.RoundTrip(request)
	var barred *eligibility.ExcludedError
	if errors.As(permission.Err(), &barred) {
		cancel()
		a.done(j.envelope.RequestID, 0, true)
		return nil, a.barred(barred.Exclusion)
	}
	if err != nil {
		f := a.callFailure(ctx, err)
		cancel()
		a.done(j.envelope.RequestID, 0, false)
		return nil, f
	}
	a.hear(response)
	a.hearLimit(response, asked)
	return &call{response: response, cancel: cancel}, nil
}

// once returns a body that the transport can't rewind, so that it never sends a
// request a second time. An empty body is wrapped too, since the transport takes
// a request without a body for repeatable.
func (a *Agent) once(body []byte) io.ReadCloser {
	return io.NopCloser(struct{ io.Reader }{bytes.NewReader(body)})
}

func (a *Agent) callFailure(ctx context.Context, err error) *failure.Error {
	server := a.options.Server
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return failure.NotRun(failure.StepRun, server, failure.CodeServerLost, "the backend server refused the connection").After(comeBack)
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

// hopHeaders are the headers of one connection, which no proxy forwards (RFC
// 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// headerPrefix marks crowbridge's own headers, which servers don't see.
const headerPrefix = "X-Crowbridge-"

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if hopHeaders[name] || strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
}

// deliver relays an untracked answer: streamed when the server streams, else
// whole.
func (a *Agent) deliver(j *job, c *call, f *failure.Error) *failure.Error {
	if f != nil {
		return f
	}
	contentType := c.response.Header.Get("Content-Type")
	if isEventStream(contentType) || c.response.ContentLength > a.options.MaxResponse {
		return a.relay(j, c)
	}
	answer, f := a.collect(j, c)
	if f != nil {
		return f
	}
	a.write(j, answer)
	return nil
}

// collect reads the whole answer and ends the call.
func (a *Agent) collect(j *job, c *call) (outcome.Response, *failure.Error) {
	defer c.cancel()
	body, err := io.ReadAll(io.LimitReader(c.response.Body, a.options.MaxResponse+1))
	_ = c.response.Body.Close() // the read's error tells what matters
	if err == nil && int64(len(body)) > a.options.MaxResponse {
		err = errors.New("answer over the agent's limit")
	}
	if err != nil {
		a.done(j.envelope.RequestID, 0, false)
		return outcome.Response{}, failure.Unknown(failure.StepRelay, a.options.Server, failure.CodeServerLost, "answer cut: "+err.Error())
	}
	a.done(j.envelope.RequestID, a.answerCost(body), c.response.StatusCode < http.StatusInternalServerError)
	header := http.Header{}
	copyHeaders(header, c.response.Header)
	return outcome.Response{Status: c.response.StatusCode, Header: header, Body: body}, nil
}

// usage is the part of an engine's answer that tells its cost.
type usage struct {
	Usage struct {
		TotalTokens float64 `json:"total_tokens"`
	} `json:"usage"`
}

// answerCost returns the tokens that an engine reports, or 0 for "as estimated".
func (a *Agent) answerCost(body []byte) float64 {
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

// relay streams the answer with the connection's own flow control: a caller
// that reads slowly slows the server down, and memory stays at one buffer.
func (a *Agent) relay(j *job, c *call) *failure.Error {
	defer c.cancel()
	defer closeBody(c.response.Body)
	copyHeaders(j.writer.Header(), c.response.Header)
	a.stamp(j.writer.Header())
	j.headers = true
	j.writer.WriteHeader(c.response.StatusCode)
	written, events, err := pipe(j.writer, c.response.Body)
	ok := err == nil
	a.done(j.envelope.RequestID, float64(events), ok)
	if ok {
		return nil
	}
	a.log.WithError(err).WithField("bytes", written).Debug("stream cut")
	return failure.Unknown(failure.StepRelay, a.options.Server, failure.CodeServerLost, "stream cut: "+err.Error())
}

// pipe copies and flushes as data comes, and counts the events.
func pipe(w http.ResponseWriter, body io.Reader) (written int64, events int, err error) {
	controller := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, readErr := body.Read(buffer)
		if n > 0 {
			events += bytes.Count(buffer[:n], []byte("\n\n"))
			if _, err := w.Write(buffer[:n]); err != nil {
				return written, events, errors.Wrap(err, "write to entry")
			}
			if err := controller.Flush(); err != nil {
				return written, events, errors.Wrap(err, "flush to entry")
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
	_ = body.Close() // the body was read or given up
}
