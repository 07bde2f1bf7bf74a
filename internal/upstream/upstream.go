// Package upstream carries requests to backend servers over HTTP.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout ends before a lost opening packet is sent again, about a second
	// later: another server is the better choice then.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is below one second, the shortest keep-alive time that a header can
	// announce, so that a request rarely crosses the server's close.
	idleTimeout = 900 * time.Millisecond
	// unackedTimeout ends connections to a peer that doesn't acknowledge bytes. An idle
	// one ends at the probe that follows it, two seconds after the last bytes: open
	// connections may fall silent for good while new ones work, and a configuration
	// that such a read of the store misses has to be in force within three seconds.
	unackedTimeout = 1900 * time.Millisecond
	// probeTime is after how long without bytes a connection is probed, and the time
	// between probes: the shortest that the system offers.
	probeTime = time.Second
	// idlePerServer bounds the connections kept open to one server.
	idlePerServer = 16
	// maxAnswerHeader bounds a server's header, in bytes.
	maxAnswerHeader = 64 << 10
)

// Dialect names the headers on the way to and from servers.
type Dialect interface {
	RequestHeader(r *dispatch.Request, a dispatch.Attempt) http.Header
	ReadResponse(status int, h http.Header) dispatch.ResponseInfo
}

// Backend sends attempts to servers. It keeps connections by a server's start, so that
// none is used for another server at the same address, or its next start. Safe for concurrent use.
type Backend struct {
	dialect Dialect

	mu    sync.Mutex // a leaf
	pools map[string]*pool
}

// pool has the connections to one start of a server.
type pool struct {
	*http.Transport
	// open counts them, most is how many there may be; 0 for any number.
	open, most atomic.Int64
}

// New returns a backend that speaks a dialect.
func New(dialect Dialect) *Backend {
	return &Backend{dialect: dialect, pools: map[string]*pool{}}
}

// NewTransport returns a transport for calls whose peers may fall silent: it
// ends connections on which bytes stay unacknowledged or keep-alive probes fail.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeTime, Interval: probeTime, Count: 1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var set error
			if err := raw.Control(func(fd uintptr) {
				set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); err != nil {
				return err
			}
			return set
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// Prune drops the connections to servers that are no longer registered.
func (b *Backend) Prune(servers *fleet.Servers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, pool := range b.pools {
		if servers.ByKey(key) == nil {
			pool.CloseIdleConnections()
			delete(b.pools, key)
		}
	}
}

func (b *Backend) pool(key string) *pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[key]
	if p == nil {
		p = &pool{Transport: NewTransport()}
		p.bound()
		EnableSendChecks(p.Transport)
		b.pools[key] = p
	}
	return p
}

// bound makes the pool open no more connections than it may have. The request is another
// server's then, nothing of it was sent.
func (p *pool) bound() {
	dial := p.DialContext
	p.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if most := p.most.Load(); p.open.Add(1) > most && most > 0 {
			p.open.Add(-1)
			return nil, &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Full}}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			p.open.Add(-1)
			return nil, err
		}
		return &countedConn{Conn: conn, open: &p.open}, nil
	}
}

// countedConn is one of a pool's connections.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// unrepeatableBody keeps the HTTP library from sending a request again by
// itself when a kept connection turns out to be dead.
type unrepeatableBody struct{ io.Reader }

func (unrepeatableBody) Close() error { return nil }

// Send implements dispatch.Backend.
func (b *Backend) Send(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, *dispatch.SendError) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, permission := WithSendCheck(httptrace.WithClientTrace(ctx, trace), a.SendCheck)
	request := (&http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: a.Server.Address, Opaque: r.URI},
		Host:   r.Host,
		Header: b.dialect.RequestHeader(r, a),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.Body)),
		Body:          unrepeatableBody{bytes.NewReader(r.Body)},
	}).WithContext(ctx)
	to := b.pool(a.Server.Key())
	to.most.Store(int64(a.MaxConnections))
	response, err := to.RoundTrip(request)
	if refused := permission.Err(); err != nil && refused != nil {
		return nil, &dispatch.SendError{Err: errors.Wrap(refused, a.Server.Address)}
	}
	if err != nil {
		return nil, &dispatch.SendError{Sent: connected.Load(), Err: errors.Wrap(err, a.Server.Address)}
	}
	return &dispatch.Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: response.Body,
		Info: b.dialect.ReadResponse(response.StatusCode, response.Header),
	}, nil
}
