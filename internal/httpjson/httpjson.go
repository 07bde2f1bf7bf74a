// Package httpjson is a client for external systems with a JSON API over HTTP.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 64 << 20
	// maxErrorBytes limits the body text in a StatusError.
	maxErrorBytes = 256
)

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Client calls one external system.
type Client struct {
	peer   string // the system and its address, for errors
	base   string
	client *http.Client
}

// NewClient returns a client for the system at a base URL such as http://10.0.0.1:7000. Errors
// contain the system's name. timeout limits each call; with 0 only the call's context does.
func NewClient(system, base string, timeout time.Duration) *Client {
	return &Client{peer: system + " at " + base, base: base, client: &http.Client{Timeout: timeout}}
}

// Call sends a request and decodes the response into a value unless that is nil. It returns a
// *StatusError for a status other than 200.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, c.peer)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, c.peer)
	}
	defer func() { _ = response.Body.Close() }() // nothing more is read
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // best effort: only for the message
		return errors.Wrap(&StatusError{Status: response.StatusCode, Text: string(text)}, c.peer)
	}
	if into == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into)
	return errors.Wrapf(err, "%s: decode response", c.peer)
}
