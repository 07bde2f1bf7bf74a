package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// CheckConnections makes a transport run the checks set by WithSendCheck, and fail requests whose
// response net/http would misread or whose connection was reset. A send check before RoundTrip would
// be too early: the server may become ineligible while a connection is established.
func CheckConnections(t *http.Transport) {
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

// WithSendCheck returns a context for one request through a transport with CheckConnections.
// run is called just before the first bytes are sent; if it returns an error, nothing is sent.
// run may be nil.
func WithSendCheck(ctx context.Context, run func() error) (context.Context, *SendCheck) {
	c := &SendCheck{run: run}
	check := c.check
	if run == nil {
		check = nil
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.beginRequest(check)
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
