// Package frontend serves callers over HTTP/1.1: it reads their requests
// whole, hands them to the dispatch pipeline and writes the answers.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// Dialect names the headers that callers use.
type Dialect interface {
	ReadRequest(r *dispatch.Request)
	CallerHeader(server http.Header) http.Header
	FailureHeader(requestID string, retryAfter time.Duration) http.Header
}

// Pipeline takes requests to their end.
type Pipeline interface {
	Serve(ctx context.Context, r *dispatch.Request, caller dispatch.ResponseWriter) dispatch.Result
}

// Server serves callers.
type Server struct {
	pipeline Pipeline
	dialect  Dialect
	limits   func() fleet.Limits
	now      func() time.Time
	http     *http.Server
	conns    *connTimers
	leaving  atomic.Bool
	// giveUp ends the contexts of all requests.
	giveUp context.CancelCauseFunc
	// bodyTimeout is the constant of that name, or what a spec sets.
	bodyTimeout time.Duration
}

const (
	// defaultMaxBody bounds a body while no configuration is known, in bytes.
	defaultMaxBody = 4 << 20
	// headerRoom is how much larger than configured a header may be before the
	// connection is cut instead of answered, in bytes.
	headerRoom = 64 << 10
	// bodyTimeout bounds how long a body may take to come: several times the longest
	// deadline of the users' requests.
	bodyTimeout = 30 * time.Second
	// lastAnswers bounds the answers to requests that a stop gives up: one way to a
	// caller, within the entry's margin before it is killed.
	lastAnswers = 300 * time.Millisecond
)

// New returns a server. limits returns what is configured at present.
func New(pipeline Pipeline, dialect Dialect, limits func() fleet.Limits, now func() time.Time) *Server {
	s := &Server{pipeline: pipeline, dialect: dialect, limits: limits, now: now, conns: newConnTimers(limits), bodyTimeout: bodyTimeout}
	base, giveUp := context.WithCancelCause(context.Background())
	s.giveUp = giveUp
	s.http = &http.Server{
		Handler: s, MaxHeaderBytes: headerRoom, ConnState: s.conns.changed, ConnContext: remember,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	return s
}

// Serve accepts callers until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Leave makes every answer the last one of its connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Shutdown takes no more connections and waits for the requests in flight.
// When the context ends first, the rest is given up and answered; what then doesn't
// end within lastAnswers is cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	bounded, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		s.giveUp(dispatch.ErrLeaving)
		time.AfterFunc(lastAnswers, cancel)
	})()
	if err := s.http.Shutdown(bounded); err != nil {
		return errors.Join(err, s.http.Close())
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.conns.reading(r.Context())
	request := &dispatch.Request{
		Method: r.Method, Host: r.Host, Path: r.URL.Path, URI: requestURI(r), Header: r.Header,
	}
	s.dialect.ReadRequest(request)
	if f := s.checkHeader(r); f != nil {
		s.writeFailure(w, request.ID, f)
		return
	}
	body, f := s.readBody(w, r)
	if f != nil {
		s.writeFailure(w, request.ID, f)
		return
	}
	request.Body, request.ReceivedAt = body, s.now()
	result := s.pipeline.Serve(r.Context(), request, &caller{w: w, server: s})
	if result.Failure == nil {
		return
	}
	if result.Started {
		panic(http.ErrAbortHandler) // breaks the connection, so that the part doesn't look whole
	}
	s.writeFailure(w, request.ID, result.Failure)
}

// requestURI returns the path and query as the caller wrote them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// checkHeader bounds the size of a request's header.
func (s *Server) checkHeader(r *http.Request) *failure.Error {
	limit := s.limits().MaxHeaderBytes
	if limit <= 0 {
		return nil
	}
	const lineOverhead = 4 // ": " and the line's end
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	if size > limit {
		return failure.NotRun(failure.StepParse, "", failure.CodeHeaderTooLarge, "header over "+strconv.Itoa(limit)+" bytes: send less")
	}
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *failure.Error) {
	limit := s.limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(time.Now().Add(s.bodyTimeout)); err != nil {
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "body not read: "+err.Error())
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = conn.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeTooLarge, "body over "+strconv.FormatInt(limit, 10)+" bytes: send less")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeSlowBody, "the body took over "+s.bodyTimeout.String()+" to come: send it faster")
	}
	if err != nil {
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "body cut off: "+err.Error())
	}
	return body, nil
}

// writeFailure writes an answer of our own.
func (s *Server) writeFailure(w http.ResponseWriter, id string, f *failure.Error) {
	header := w.Header()
	for name, values := range s.dialect.FailureHeader(id, f.RetryAfter) {
		header[name] = values
	}
	header.Set("Content-Type", "application/json")
	s.lastAnswer(header)
	body, err := json.Marshal(map[string]string{"error": string(f.Code), "detail": f.Detail, "outcome": string(f.Outcome)})
	if err != nil {
		body = nil // strings always encode
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status(f))
	_, _ = w.Write(body) // a caller that left needs no answer
}

// status returns the HTTP status of a failure. Callers read some of them as a
// promise that the request has not run, so these need that outcome.
func status(f *failure.Error) int {
	if f.Outcome != failure.OutcomeNotRun {
		if f.Code == failure.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch f.Code {
	case failure.CodeInvalid, failure.CodeUnauthorized, failure.CodeNotFound, failure.CodeTooLarge, failure.CodeHeaderTooLarge, failure.CodeSlowBody:
		return f.Status()
	default:
		return http.StatusServiceUnavailable
	}
}

// lastAnswer tells a caller that its connection ends when the process is leaving.
func (s *Server) lastAnswer(header http.Header) {
	if s.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// caller writes a server's answer to a caller.
type caller struct {
	w      http.ResponseWriter
	server *Server
}

// Start implements dispatch.ResponseWriter.
func (c *caller) Start(status int, serverHeader http.Header, length int64) {
	header := c.w.Header()
	for name, values := range c.server.dialect.CallerHeader(serverHeader) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, told := header["Content-Type"]; !told {
		header["Content-Type"] = nil // keeps the HTTP library from guessing
	}
	c.server.lastAnswer(header)
	c.w.WriteHeader(status)
}

// Write implements dispatch.ResponseWriter.
func (c *caller) Write(data []byte) error {
	if len(data) > 0 {
		if _, err := c.w.Write(data); err != nil {
			return err
		}
	}
	return http.NewResponseController(c.w).Flush()
}
