// Package upstream sends requests to backend servers over HTTP.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/httpapi"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is shorter than the retransmission timeout of a lost SYN, about one second:
	// trying another server is faster.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is below one second, the shortest keep-alive timeout that a header can
	// announce, so that a request rarely races with the server's close.
	idleTimeout = 900 * time.Millisecond
	// unackedTimeout closes connections on which sent bytes stay unacknowledged. Idle
	// connections close at the keep-alive probe that follows, two seconds after the last bytes.
	// Established connections may be dropped silently while new ones work, and a configuration
	// change must be applied within three seconds.
	unackedTimeout = 1900 * time.Millisecond
	// keepAliveInterval is the idle time before keep-alive probes and between them, the minimum
	// that the system supports.
	keepAliveInterval = time.Second
	// maxIdleConnsPerServer bounds the idle connections to one server.
	maxIdleConnsPerServer = 16
	// ReceiveBuffer is the size of the receive buffer of a connection to a backend server or its agent, in bytes. Its
	// content counts as this process's memory until it is read.
	ReceiveBuffer = 16 << 10
	// maxResponseHeaderBytes bounds the header of a response.
	maxResponseHeaderBytes = 64 << 10
)

// Dialect converts between requests and responses and their headers on the wire.
type Dialect interface {
	RequestHeader(r *dispatch.Request, a dispatch.Attempt) http.Header
	ReadResponse(status int, h http.Header) dispatch.ResponseInfo
}

// Backend sends attempts to servers. Connections are pooled by server incarnation, so that
// none is reused for another server at the same address. Safe for concurrent use.
type Backend struct {
	dialect Dialect

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one incarnation of a server.
type pool struct {
	*http.Transport
	// open counts the connections; limit is their maximum, or 0 if unbounded.
	open, limit atomic.Int64
}

// New returns a backend that uses the given dialect.
func New(dialect Dialect) *Backend {
	return &Backend{dialect: dialect, pools: map[string]*pool{}}
}

// NewTransport returns a transport that closes connections to unresponsive peers, by TCP user
// timeout and keep-alive probes.
func NewTransport() *http.Transport { return newTransport(0) }

// newTransport returns a transport whose connections have a receive buffer of this size, or of the system's if it is 0.
func newTransport(receiveBuffer int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1,
		},
		Control: func(network, address string, raw syscall.RawConn) error {
			if receiveBuffer > 0 {
				if err := BoundReceiveBuffer(network, address, raw); err != nil {
					return err
				}
			}
			var optErr error
			if err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			}); err != nil {
				return err
			}
			return optErr
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// BoundReceiveBuffer gives a socket a receive buffer of ReceiveBuffer bytes, which the system doesn't enlarge. It is a
// net.Dialer's Control.
func BoundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer)
	}); err != nil {
		return err
	}
	return optErr
}

// Prune closes the idle connections to servers that are no longer registered.
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
		p = &pool{Transport: newTransport(ReceiveBuffer)}
		p.limitConnections()
		CheckConnections(p.Transport)
		b.pools[key] = p
	}
	return p
}

// limitConnections makes dialing fail with an ExcludedError beyond the connection limit.
// Nothing of the request has been sent then.
func (p *pool) limitConnections() {
	dial := p.DialContext
	p.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if limit := p.limit.Load(); p.open.Add(1) > limit && limit > 0 {
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

// countedConn decrements the pool's counter when closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// NetConn returns the connection that is counted.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// nonReplayableBody prevents the HTTP transport from resending a request by itself when a
// pooled connection turns out to be dead.
type nonReplayableBody struct{ io.Reader }

func (nonReplayableBody) Close() error { return nil }

// Send implements dispatch.Backend.
func (b *Backend) Send(ctx context.Context, r *dispatch.Request, a dispatch.Attempt) (*dispatch.Response, *dispatch.SendError) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, check := WithSendCheck(httptrace.WithClientTrace(ctx, trace), a.SendCheck)
	target, err := httpapi.TargetURL(a.Server.Address, r.URI)
	if err != nil {
		return nil, &dispatch.SendError{Err: err}
	}
	request := (&http.Request{
		Method: r.Method,
		URL:    target,
		Host:   r.Host,
		Header: b.dialect.RequestHeader(r, a),
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(r.Body)),
		Body:          nonReplayableBody{bytes.NewReader(r.Body)},
	}).WithContext(ctx)
	p := b.pool(a.Server.Key())
	p.limit.Store(int64(a.MaxConnections))
	response, err := p.RoundTrip(request)
	if checkErr := check.Err(); err != nil && checkErr != nil {
		return nil, &dispatch.SendError{Err: errors.Wrap(checkErr, a.Server.Address)}
	}
	if err != nil {
		return nil, &dispatch.SendError{Sent: connected.Load(), Err: errors.Wrap(err, a.Server.Address)}
	}
	return &dispatch.Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		Framing: dispatch.FramingOf(response), Body: response.Body,
		Info: b.dialect.ReadResponse(response.StatusCode, response.Header),
	}, nil
}
