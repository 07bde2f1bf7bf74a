package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// permittedConn asks for a permit before the first bytes of each request on it.
type permittedConn struct {
	net.Conn

	mu sync.Mutex // a leaf
	// permit is that of the request that gets the connection next; nil once it was asked.
	permit func() error
}

// Write implements net.Conn. A refused write sends nothing, and the connection ends.
func (c *permittedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	permit := c.permit
	c.permit = nil
	c.mu.Unlock()
	if permit != nil {
		if err := permit(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// EnableSendChecks makes requests through a transport ask for the permits that WithPermit gives
// them. A check before the transport gets a request would be too early: making a connection
// takes up to its timeout, and what the server says meanwhile binds too.
func EnableSendChecks(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &permittedConn{Conn: conn}, nil
	}
}

// SendCheck is the permit of one request.
type SendCheck struct {
	ask func() error

	mu      sync.Mutex // a leaf
	refused error
}

// WithSendCheck makes a request with the context, through a transport with AskPermits, ask just
// before its first bytes whether it may be sent. ask may be nil.
func WithSendCheck(ctx context.Context, ask func() error) (context.Context, *SendCheck) {
	p := &SendCheck{ask: ask}
	if ask == nil {
		return ctx, p
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*permittedConn); ok {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			conn.permit = p.check
		}
	}}), p
}

func (p *SendCheck) check() error {
	err := p.ask()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = err
	return err
}

// Err returns why the request wasn't sent, or nil when it had its permit.
func (p *SendCheck) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}
