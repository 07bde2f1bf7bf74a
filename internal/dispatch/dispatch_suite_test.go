package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

// fakeFleet is a Fleet that specs modify.
type fakeFleet struct {
	mu      sync.Mutex
	config  *fleet.Config
	servers *fleet.Servers
	// allowed overrides which servers are allowed; nil allows all.
	allowed func(service, customer string) ([]*fleet.Server, string)
}

func (f *fakeFleet) Config() *fleet.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

func (f *fakeFleet) Servers() *fleet.Servers {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers
}

func (f *fakeFleet) Allowed(service, customer string) ([]*fleet.Server, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.allowed == nil {
		return f.servers.OfService(service), ""
	}
	return f.allowed(service, customer)
}

func (f *fakeFleet) setServers(servers ...*fleet.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = fleet.NewServers(servers)
}

// reply is a scripted server's reaction to one attempt.
type reply func(r *Request, a Attempt) (*Response, *SendError)

// scriptedBackend is a Backend that replies in order and records the attempts.
type scriptedBackend struct {
	mu       sync.Mutex
	replies  []reply
	attempts []Attempt
}

// count returns the number of attempts.
func (s *scriptedBackend) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

func (s *scriptedBackend) Send(ctx context.Context, r *Request, a Attempt) (*Response, *SendError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	if len(s.attempts) > len(s.replies) {
		Fail("attempt " + strconv.Itoa(len(s.attempts)) + " is unexpected")
	}
	response, err := s.replies[len(s.attempts)-1](r, a)
	if err != nil && errors.Is(err.Err, errHangs) {
		<-ctx.Done()
		return nil, &SendError{Sent: true, Err: ctx.Err()}
	}
	if response != nil {
		switch body := response.Body.(type) {
		case *stalledBody:
			body.attempt = ctx
		case *lateBody:
			body.attempt = ctx
		}
	}
	return response, err
}

// stalledBody blocks after its events until the attempt has ended.
type stalledBody struct {
	events  io.Reader
	attempt context.Context
}

func (s *stalledBody) Read(p []byte) (int, error) {
	if n, err := s.events.Read(p); err == nil {
		return n, nil
	}
	<-s.attempt.Done()
	return 0, s.attempt.Err()
}

func (s *stalledBody) Close() error { return nil }

// lateBody sends its parts with gaps, until the attempt has ended.
type lateBody struct {
	stalledBody
	part  string
	parts int
	gap   time.Duration
	rest  string
}

func (l *lateBody) Read(p []byte) (int, error) {
	if l.rest == "" {
		if l.parts == 0 {
			return 0, io.EOF
		}
		l.parts--
		l.rest = l.part
		select {
		case <-time.After(l.gap):
		case <-l.attempt.Done():
			return 0, l.attempt.Err()
		}
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// stallsAfter responds with events and then stalls.
func stallsAfter(events string) reply {
	return func(r *Request, _ Attempt) (*Response, *SendError) {
		return &Response{
			Status: http.StatusOK, Header: http.Header{}, Info: ResponseInfo{Signed: true, RequestID: r.ID}, Length: -1,
			Body: &stalledBody{events: strings.NewReader(events)},
		}, nil
	}
}

var errHangs = errors.New("hangs")

// hangs sends no response until the attempt has ended.
func hangs(*Request, Attempt) (*Response, *SendError) {
	return nil, &SendError{Sent: true, Err: errHangs}
}

// resettingBody is a body that ends with a connection reset.
type resettingBody struct{ io.Reader }

var errReset = errors.New("connection reset by peer")

func (b resettingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errReset
	}
	return n, err
}

// responds sends a response. If broken is set, the connection is reset after the body.
func responds(status int, info ResponseInfo, body string, broken bool) reply {
	return func(r *Request, _ Attempt) (*Response, *SendError) {
		if info.RequestID == "" {
			info.RequestID = r.ID
		}
		var reader io.Reader = bytes.NewBufferString(body)
		if broken {
			reader = resettingBody{reader}
		}
		return &Response{Status: status, Header: http.Header{}, Info: info, Length: -1, Body: io.NopCloser(reader)}, nil
	}
}

func respondsSigned(status int, body string) reply {
	return responds(status, ResponseInfo{Signed: true}, body, false)
}

func resetsAfter(body string) reply {
	return responds(http.StatusOK, ResponseInfo{Signed: true}, body, true)
}

func refuses(info ResponseInfo) reply {
	info.NotRun = true
	return responds(http.StatusServiceUnavailable, info, "", false)
}

func failsToSend(sent bool) reply {
	return func(*Request, Attempt) (*Response, *SendError) {
		return nil, &SendError{Sent: sent, Err: errReset}
	}
}

// responseRecorder is a ResponseWriter that records the response.
type responseRecorder struct {
	status int
	starts int
	body   bytes.Buffer
}

func (r *responseRecorder) Start(status int, _ http.Header, _ int64) {
	r.status = status
	r.starts++
}

func (r *responseRecorder) Write(data []byte) error {
	r.body.Write(data)
	return nil
}

// fixture is a pipeline with a scripted backend and a fake clock.
type fixture struct {
	fleet    *fakeFleet
	backend  *scriptedBackend
	balancer *Balancer
	pipeline *Pipeline
	recorder *responseRecorder
	logs     *logrustest.Hook
	now      time.Time
	elapsed  atomic.Int64
}

// advance adds to the time that has passed since the fixture's now, and returns it.
func (b *fixture) advance(d time.Duration) time.Duration {
	return time.Duration(b.elapsed.Add(int64(d)))
}

var testPolicy = RetryBudgetPolicy{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

func newFixture(replies ...reply) *fixture {
	logger, logs := logrustest.NewNullLogger()
	b := &fixture{
		fleet: &fakeFleet{config: testConfig()}, backend: &scriptedBackend{replies: replies},
		recorder: &responseRecorder{}, logs: logs, now: time.Unix(1000, 0),
	}
	b.fleet.setServers(
		&fleet.Server{ID: "a", Service: "plain", Capacity: 6, Zone: "z1"},
		&fleet.Server{ID: "b", Service: "plain", Capacity: 6, Zone: "z1"},
		&fleet.Server{ID: "r0", Service: "model", Capacity: 12, Zone: "z1", Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true}},
		&fleet.Server{ID: "r1", Service: "model", Capacity: 12, Zone: "z2", Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true}},
	)
	b.balancer = NewBalancer(testPolicy, "z1", func(int) int { return 0 })
	b.pipeline = NewPipeline(b.fleet, b.balancer, b.backend, func() time.Time { return b.now }, logrus.NewEntry(logger))
	return b
}

func testConfig() *fleet.Config {
	route := func(name string, kind fleet.Kind, service string, attempts int, resumable bool) *fleet.Route {
		return &fleet.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Targets: []fleet.Target{{Service: service, Weight: 1}}, Timeout: 8 * time.Second, AbandonGap: 2 * time.Second,
		}
	}
	public := route("public", fleet.KindIdempotent, "plain", 2, false)
	public.Public = true
	return fleet.NewConfig(7, fleet.Limits{}, []*fleet.Route{
		route("once", fleet.KindNonIdempotent, "plain", 2, false),
		route("again", fleet.KindIdempotent, "plain", 2, false),
		route("stream", fleet.KindStreaming, "model", 2, true),
		route("fixed", fleet.KindStreaming, "model", 2, false),
		public,
	}, []*fleet.Service{{Name: "plain"}, {Name: "model"}},
		map[string]*fleet.Customer{"secret": {Name: "florist"}}, true)
}

// request returns a request on a route with a timeout.
func (b *fixture) request(route string, timeout time.Duration) *Request {
	return &Request{
		ID: "id-" + route, Method: http.MethodPost, Host: "h.example", Path: "/" + route + "/x", URI: "/" + route + "/x",
		Header: http.Header{}, APIKey: "secret", ReceivedAt: b.now, Timeout: timeout, HasDeadline: true, LastEventID: -1,
	}
}

func (b *fixture) serve(route string) Result {
	return b.pipeline.Serve(context.Background(), b.request(route, 8*time.Second), b.recorder)
}
