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

// world is a fleet that a spec changes as it goes.
type world struct {
	mu      sync.Mutex
	config  *fleet.Config
	servers *fleet.Servers
	// allow replaces what is allowed; nil allows all.
	allow func(service, customer string) ([]*fleet.Server, string)
}

func (w *world) Config() *fleet.Config {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

func (w *world) Servers() *fleet.Servers {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers
}

func (w *world) Allowed(service, customer string) ([]*fleet.Server, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.allow == nil {
		return w.servers.OfService(service), ""
	}
	return w.allow(service, customer)
}

func (w *world) setServers(servers ...*fleet.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = fleet.NewServers(servers)
}

// reply is what a scripted server does with one attempt.
type reply func(r *Request, a Attempt) (*Response, *SendError)

// script is a Backend that replies in order and remembers the attempts.
type script struct {
	mu       sync.Mutex
	replies  []reply
	attempts []Attempt
}

func (s *script) Send(ctx context.Context, r *Request, a Attempt) (*Response, *SendError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
	if len(s.attempts) > len(s.replies) {
		Fail("attempt " + strconv.Itoa(len(s.attempts)) + " was not expected")
	}
	answer, err := s.replies[len(s.attempts)-1](r, a)
	if err != nil && errors.Is(err.Err, errHangs) {
		<-ctx.Done()
		return nil, &SendError{Sent: true, Err: ctx.Err()}
	}
	if answer != nil {
		if body, isSilent := answer.Body.(*silentBody); isSilent {
			body.attempt = ctx
		}
	}
	return answer, err
}

// silentBody brings nothing after its events until the attempt has ended.
type silentBody struct {
	events  io.Reader
	attempt context.Context
}

func (s *silentBody) Read(p []byte) (int, error) {
	if n, err := s.events.Read(p); err == nil {
		return n, nil
	}
	<-s.attempt.Done()
	return 0, s.attempt.Err()
}

func (s *silentBody) Close() error { return nil }

// fallsSilent answers with events, after which nothing more comes.
func fallsSilent(events string) reply {
	return func(r *Request, _ Attempt) (*Response, *SendError) {
		return &Response{
			Status: http.StatusOK, Header: http.Header{}, Info: ResponseInfo{Signed: true, RequestID: r.ID}, Length: -1,
			Body: &silentBody{events: strings.NewReader(events)},
		}, nil
	}
}

var errHangs = errors.New("hangs")

// hangs gives no answer until the attempt is ended.
func hangs(*Request, Attempt) (*Response, *SendError) {
	return nil, &SendError{Sent: true, Err: errHangs}
}

// breaking is a body that ends with an error.
type breaking struct{ io.Reader }

var errReset = errors.New("connection reset by peer")

func (b breaking) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		return n, errReset
	}
	return n, err
}

func answers(status int, info ResponseInfo, body string, broken bool) reply {
	return func(r *Request, _ Attempt) (*Response, *SendError) {
		if info.RequestID == "" {
			info.RequestID = r.ID
		}
		var reader io.Reader = bytes.NewBufferString(body)
		if broken {
			reader = breaking{reader}
		}
		return &Response{Status: status, Header: http.Header{}, Info: info, Length: -1, Body: io.NopCloser(reader)}, nil
	}
}

func signed(status int, body string) reply {
	return answers(status, ResponseInfo{Signed: true}, body, false)
}

func breaksOff(body string) reply {
	return answers(http.StatusOK, ResponseInfo{Signed: true}, body, true)
}

func refuses(info ResponseInfo) reply {
	info.NotRun = true
	return answers(http.StatusServiceUnavailable, info, "", false)
}

func lost(sent bool) reply {
	return func(*Request, Attempt) (*Response, *SendError) {
		return nil, &SendError{Sent: sent, Err: errReset}
	}
}

// recorder is a Caller that keeps what it gets.
type recorder struct {
	status int
	begun  int
	body   bytes.Buffer
}

func (c *recorder) Start(status int, _ http.Header, _ int64) {
	c.status = status
	c.begun++
}

func (c *recorder) Write(data []byte) error {
	c.body.Write(data)
	return nil
}

// bench is what a spec works with.
type bench struct {
	world    *world
	script   *script
	board    *Balancer
	pipeline *Pipeline
	caller   *recorder
	logs     *logrustest.Hook
	now      time.Time
}

var testPolicy = RetryBudgetPolicy{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

func newBench(replies ...reply) *bench {
	logger, logs := logrustest.NewNullLogger()
	b := &bench{
		world: &world{config: testConfig()}, script: &script{replies: replies},
		caller: &recorder{}, logs: logs, now: time.Unix(1000, 0),
	}
	b.world.setServers(
		&fleet.Server{ID: "a", Service: "plain", Capacity: 6, Zone: "z1"},
		&fleet.Server{ID: "b", Service: "plain", Capacity: 6, Zone: "z1"},
		&fleet.Server{ID: "r0", Service: "model", Capacity: 12, Zone: "z1", Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: 0, Size: 2, Open: true}},
		&fleet.Server{ID: "r1", Service: "model", Capacity: 12, Zone: "z2", Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true}},
	)
	b.board = NewBalancer(testPolicy, "z1", func(int) int { return 0 })
	b.pipeline = NewPipeline(b.world, b.board, b.script, func() time.Time { return b.now }, logrus.NewEntry(logger))
	return b
}

func testConfig() *fleet.Config {
	route := func(name string, kind fleet.Kind, service string, attempts int, resumable bool) *fleet.Route {
		return &fleet.Route{
			Name: name, Host: "h.example", PathPrefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
			Targets: []fleet.Target{{Service: service, Weight: 1}}, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond,
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

// request returns a request on a route with patience left.
func (b *bench) request(route string, patience time.Duration) *Request {
	return &Request{
		ID: "id-" + route, Method: http.MethodPost, Host: "h.example", Path: "/" + route + "/x", URI: "/" + route + "/x",
		Header: http.Header{}, APIKey: "secret", ReceivedAt: b.now, Timeout: patience, HasDeadline: true, LastEventID: -1,
	}
}

func (b *bench) serve(route string) Result {
	return b.pipeline.Serve(context.Background(), b.request(route, 8*time.Second), b.caller)
}
