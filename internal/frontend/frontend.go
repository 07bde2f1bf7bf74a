// Package frontend serves callers over HTTP/1.1: it reads whole requests, passes them to the
// dispatch pipeline and writes the responses.
package frontend

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
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
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/sirupsen/logrus"
)

// Dialect converts between requests and responses and their headers at the callers' side.
type Dialect interface {
	// ReadRequest sets the fields of a request that its headers carry.
	ReadRequest(r *dispatch.Request)
	// CallerHeader returns the header that a caller gets for a server's response.
	CallerHeader(server http.Header) http.Header
	// FailureHeader returns the header of a failure response.
	FailureHeader(requestID string, retryAfter time.Duration) http.Header
}

// Pipeline processes requests.
type Pipeline interface {
	// Check returns why a request can't be served, whatever its body is, or nil.
	Check(r *dispatch.Request) *failure.Error
	Serve(ctx context.Context, r *dispatch.Request, caller dispatch.ResponseWriter) dispatch.Result
}

// Server is the HTTP server for callers.
type Server struct {
	pipeline Pipeline
	dialect  Dialect
	limits   func() fleet.Limits
	budget   *intake.Budget
	now      func() time.Time
	http     *http.Server
	timers   *connTimers
	tracker  *tracker
	leaving  atomic.Bool
	// connections are those of listener; accepting counts the calls of Serve.
	connections *connections
	listener    atomic.Pointer[callerListener]
	accepting   atomic.Int64
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelCauseFunc
	// bodyTimeout is the constant bodyTimeout except in tests.
	bodyTimeout time.Duration
}

const (
	// defaultMaxBody limits the body size, in bytes, if the configuration doesn't.
	defaultMaxBody = 4 << 20
	// maxHeader is the header size, in bytes, that http.Server accepts. Above the configured limit
	// and below this one a caller gets a failure response of the frontend.
	maxHeader = 64 << 10
	// bodyTimeout limits the time to receive a body. It is several times the longest timeout of
	// routes.
	bodyTimeout = 30 * time.Second
)

// New returns a server. limits returns the limits of one request in force, and budget bounds what all of them hold.
func New(pipeline Pipeline, dialect Dialect, limits func() fleet.Limits, budget *intake.Budget, now func() time.Time, log *logrus.Entry) *Server {
	s := &Server{
		pipeline: pipeline, dialect: dialect, limits: limits, budget: budget, now: now, timers: newConnTimers(limits),
		tracker: newTracker(now, log), connections: newConnections(), bodyTimeout: bodyTimeout,
	}
	base, cancel := context.WithCancelCause(context.Background())
	s.cancelRequests = cancel
	s.http = &http.Server{
		Handler: s, MaxHeaderBytes: maxHeader, ConnState: s.connStateChanged, ConnContext: contextWithConn,
		BaseContext: func(net.Listener) context.Context { return base },
	}
	return s
}

// SetBudget replaces the budget. It must be called before Serve.
func (s *Server) SetBudget(budget *intake.Budget) { s.budget = budget }

// Serve accepts connections at a TCP listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	bounded, err := s.budget.Listen(listener)
	if err != nil {
		return err
	}
	s.accepting.Add(1)
	defer s.accepting.Add(-1)
	callers := &callerListener{Listener: bounded, now: s.now}
	s.listener.Store(callers)
	err = s.http.Serve(callers)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) && callers.closing.Load() {
		return nil
	}
	return err
}

// connStateChanged is the http.Server's ConnState hook.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return // every listener is a callerListener
	}
	s.connections.stateChanged(caller, state)
	s.timers.stateChanged(caller, state)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.timers.headerRead(r.Context()) {
		panic(http.ErrAbortHandler) // the connection has just been closed
	}
	request := &dispatch.Request{
		Method: r.Method, Host: r.Host, Path: r.URL.Path, URI: requestURI(r), Header: r.Header,
	}
	s.dialect.ReadRequest(request)
	tracked := s.tracker.begin(request.ID, w)
	request.BeganAt = tracked.beganAt
	if f := s.readRequest(r, request, tracked); f != nil {
		s.tracker.logUnread(tracked, f)
		s.refuseUnread(w, r, request.ID, f)
		s.tracker.end(tracked, f)
		return
	}
	response := &responseWriter{w: w, server: s, request: r}
	result := s.pipeline.Serve(r.Context(), request, response)
	defer s.tracker.end(tracked, result.Failure)
	if result.Failure == nil {
		response.complete()
		return
	}
	if result.Started {
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees a truncated response
	}
	s.writeFailure(w, request.ID, result.Failure)
}

// readRequest reads the rest of a request whose header has been read.
func (s *Server) readRequest(r *http.Request, request *dispatch.Request, tracked *inFlight) *failure.Error {
	if f := s.checkHeader(r); f != nil {
		return f
	}
	if _, err := httpapi.TargetURL("", request.URI); err != nil {
		return failure.NotRun(failure.StepParse, "", failure.CodeInvalid, err.Error())
	}
	body, f := s.readBody(r, request, tracked)
	if f != nil {
		return f
	}
	s.tracker.read(tracked)
	request.Body, request.ReceivedAt, request.Hold = body, s.now(), intakeConn(r).Hold
	return nil
}

// requestURI returns the path and query as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// checkHeader returns a failure if the request's header exceeds the configured size.
func (s *Server) checkHeader(r *http.Request) *failure.Error {
	limit := s.limits().MaxHeaderBytes
	if limit <= 0 {
		return nil
	}
	const lineOverhead = 4 // ": " and "\r\n"
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	if size > limit {
		return failure.NotRun(failure.StepParse, "", failure.CodeHeaderTooLarge, "header size exceeds "+strconv.Itoa(limit)+" bytes: send less")
	}
	return nil
}

// maxBody returns the largest size of a body, in bytes.
func (s *Server) maxBody() int64 {
	if limit := s.limits().MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBody
}

// bodyTime returns the time to receive a request's body: a body that comes later than its caller waits is of no use.
func (s *Server) bodyTime(request *dispatch.Request) time.Duration {
	if request.HasDeadline {
		return min(s.bodyTimeout, request.Timeout)
	}
	return s.bodyTimeout
}

func (s *Server) readBody(r *http.Request, request *dispatch.Request, tracked *inFlight) ([]byte, *failure.Error) {
	timeout := s.bodyTime(request)
	if err := s.tracker.beginBody(tracked, time.Now().Add(timeout)); err != nil {
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "set the read deadline for the body: "+err.Error())
	}
	limit := s.maxBody()
	body, err := intakeConn(r).ReadBody(countingBody{Reader: r.Body, tracker: s.tracker, request: tracked}, r.ContentLength, limit, func() error {
		if f := s.pipeline.Check(request); f != nil {
			return f
		}
		return nil
	})
	if endErr := s.tracker.endBody(tracked, err == nil); err == nil {
		err = endErr
	}
	if err == nil {
		return body, nil
	}
	if f, found := failure.As(err); found {
		return nil, f
	}
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeTooLarge, "body size exceeds "+strconv.FormatInt(limit, 10)+" bytes: send less")
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrGivenUp):
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeOverloaded, err.Error()+": retry on a new connection").WithRetryAfter(retryAfterElsewhere())
	case errors.Is(err, os.ErrDeadlineExceeded) && s.tracker.readsEnded():
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeLeaving, "this process is stopping, and the body isn't complete: retry on a new connection").
			WithRetryAfter(dispatch.LeavingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeSlowBody, "body not received within "+timeout.String()+": send it faster")
	default:
		return nil, failure.NotRun(failure.StepParse, "", failure.CodeInvalid, "read body: "+err.Error())
	}
}

// retryAfterElsewhere returns the retry hint of a request for which this process has no memory: another one may serve
// it at once.
func retryAfterElsewhere() time.Duration {
	return dispatch.LeavingRetryAfter + rand.N(dispatch.LeavingRetryAfter).Truncate(time.Millisecond)
}

// intakeConn returns the connection of a request.
func intakeConn(r *http.Request) *intake.Conn {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		return conn.Conn
	}
	return nil
}

// refuseUnread writes a failure response to a request whose body may not have been read. It doesn't wait for the rest of
// the body: the connection closes once its caller has read the response, within bounds.
func (s *Server) refuseUnread(w http.ResponseWriter, r *http.Request, id string, f *failure.Error) {
	if r.Body != http.NoBody {
		conn := http.NewResponseController(w)
		// Otherwise the server reads on before it writes. Fails only for other protocols.
		_ = conn.EnableFullDuplex()
		_ = conn.SetReadDeadline(time.Now()) // fails only if the connection is closed
		if c := intakeConn(r); c != nil {
			c.Linger(s.maxBody())
		}
		w.Header().Set("Connection", "close")
	}
	s.writeFailure(w, id, f)
}

// writeFailure writes a failure response.
func (s *Server) writeFailure(w http.ResponseWriter, id string, f *failure.Error) {
	header := w.Header()
	for name, values := range s.dialect.FailureHeader(id, f.RetryAfter) {
		header[name] = values
	}
	header.Set("Content-Type", "application/json")
	s.setConnectionClose(header)
	body, err := json.Marshal(map[string]string{"error": string(f.Code), "detail": f.Detail, "outcome": string(f.Outcome)})
	if err != nil {
		body = nil // strings always encode
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status(f))
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// status returns the HTTP status of a failure. Callers take some statuses as a guarantee that the
// request hasn't run, so these are used only with OutcomeNotRun.
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

// setConnectionClose adds "Connection: close" to a response if the process is leaving.
func (s *Server) setConnectionClose(header http.Header) {
	if s.leaving.Load() {
		header.Set("Connection", "close")
	}
}

// responseWriter writes a server's response to a caller.
type responseWriter struct {
	w       http.ResponseWriter
	server  *Server
	request *http.Request
	// unframed is the connection whose end alone delimits the response, or nil.
	unframed *callerConn
}

// Start implements dispatch.ResponseWriter.
func (rw *responseWriter) Start(status int, serverHeader http.Header, length int64) {
	header := rw.w.Header()
	for name, values := range rw.server.dialect.CallerHeader(serverHeader) {
		header[name] = values
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if _, present := header["Content-Type"]; !present {
		header["Content-Type"] = nil // disables content sniffing by net/http
	}
	rw.server.setConnectionClose(header)
	if length < 0 {
		rw.resetUnlessComplete()
	}
	rw.w.WriteHeader(status)
}

// resetUnlessComplete makes the connection of an HTTP/1.0 caller end by a reset unless complete is
// called. Without chunks, an orderly close would complete the response, also one by the system when
// the process ends.
func (rw *responseWriter) resetUnlessComplete() {
	conn, ok := rw.request.Context().Value(connKey{}).(*callerConn)
	if !ok || rw.request.ProtoAtLeast(1, 1) {
		return
	}
	rw.unframed = conn
	_ = conn.SetLinger(0) // fails only if already closed
}

// complete ends the response.
func (rw *responseWriter) complete() {
	if rw.unframed != nil {
		const systemDefault = -1
		_ = rw.unframed.SetLinger(systemDefault) // fails only if already closed
	}
}

// Write implements dispatch.ResponseWriter.
func (rw *responseWriter) Write(data []byte) error {
	if len(data) > 0 {
		if _, err := rw.w.Write(data); err != nil {
			return err
		}
	}
	return http.NewResponseController(rw.w).Flush()
}
