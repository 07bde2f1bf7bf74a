// Package httpjson calls outside systems that speak JSON over HTTP.
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
	// maxAnswerBytes bounds what is read of one answer.
	maxAnswerBytes = 64 << 20
	// maxErrorBytes bounds what is kept of a refusal's text.
	maxErrorBytes = 256
)

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Text) }

// Client calls one system.
type Client struct {
	peer   string // names the system and its address in errors
	base   string
	client *http.Client
}

// NewClient returns a client for the system at a base URL such as
// http://10.0.0.1:7000. system names it in errors; timeout bounds each call, 0
// leaves that to the call's context.
func NewClient(system, base string, timeout time.Duration) *Client {
	return &Client{peer: system + " at " + base, base: base, client: &http.Client{Timeout: timeout}}
}

// Call sends a request and decodes the answer into a value, unless that is nil.
// An answer other than 200 is a *StatusError.
func (c *Client) Call(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, c.peer)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Wrap(err, c.peer)
	}
	defer func() { _ = response.Body.Close() }() // read, or given up
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // only for the message
		return errors.Wrap(&StatusError{Status: response.StatusCode, Text: string(text)}, c.peer)
	}
	if into == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into)
	return errors.Wrapf(err, "%s: answer", c.peer)
}
