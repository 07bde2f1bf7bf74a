package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// checkedConn runs a send check before the first bytes of each request.
type checkedConn struct {
	net.Conn

	mu sync.Mutex
	// check belongs to the next request on the connection; nil once it has run.
	check func() error
}

// Write implements net.Conn. If the check fails, nothing is sent and the transport closes the
// connection.
func (c *checkedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	check := c.check
	c.check = nil
	c.mu.Unlock()
	if check != nil {
		if err := check(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// EnableSendChecks makes a transport run the checks set by WithSendCheck. A check before
// RoundTrip would be too early: the server may become ineligible while a connection is
// established.
func EnableSendChecks(t *http.Transport) {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// SendCheck is the send check of one request.
type SendCheck struct {
	run func() error

	mu  sync.Mutex
	err error
}

// WithSendCheck returns a context for one request through a transport with EnableSendChecks.
// run is called just before the first bytes are sent; if it returns an error, nothing is sent.
// run may be nil.
func WithSendCheck(ctx context.Context, run func() error) (context.Context, *SendCheck) {
	c := &SendCheck{run: run}
	if run == nil {
		return ctx, c
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.mu.Lock()
			defer conn.mu.Unlock()
			conn.check = c.check
		}
	}}), c
}

func (c *SendCheck) check() error {
	err := c.run()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	return err
}

// Err returns the error of the check, or nil if the check passed or didn't run.
func (c *SendCheck) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
