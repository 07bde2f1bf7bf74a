package intake

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstBuffer is the first size of the buffer of a body without a length, growthFactor by how much a
	// buffer grows when it is full.
	firstBuffer  = 4 << 10
	growthFactor = 4
)

// UnknownLength is the length of a body that doesn't announce one.
const UnknownLength = -1

// ReadBody reads a body of at most limit bytes; length is the announced one or UnknownLength. Buffers are charged before
// they are allocated, by what has arrived and not by what is announced. beforeLarge is called once before the request
// holds more than SmallBytes; its error ends the reading. What the body holds stays charged until EndRequest. A nil
// Conn isn't charged.
func (c *Conn) ReadBody(body io.Reader, length, limit int64, beforeLarge func() error) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if err := c.beginBody(); err != nil {
		return nil, err
	}
	r := bodyReader{conn: c, source: body, length: length, limit: limit, beforeLarge: beforeLarge}
	err := r.read()
	if endErr := c.endBody(err == nil, int64(cap(r.buffer))); err == nil {
		err = endErr
	}
	if err != nil {
		return nil, err
	}
	return r.buffer, nil
}

// bodyReader reads one body.
type bodyReader struct {
	conn          *Conn
	source        io.Reader
	length, limit int64
	beforeLarge   func() error
	buffer        []byte
}

func (r *bodyReader) read() error {
	for {
		if len(r.buffer) == cap(r.buffer) {
			end, err := r.grow()
			if end || err != nil {
				return err
			}
			continue
		}
		n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow enlarges the full buffer unless the body has ended, which it reports.
func (r *bodyReader) grow() (end bool, err error) {
	var next [1]byte
	n, err := r.source.Read(next[:])
	for n == 0 && err == nil {
		n, err = r.source.Read(next[:])
	}
	if n == 0 {
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		return false, err
	}
	if int64(len(r.buffer)) >= r.limit {
		return false, ErrTooLarge
	}
	if err := r.enlarge(r.nextSize()); err != nil {
		return false, err
	}
	r.buffer = append(r.buffer, next[0])
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	return false, err
}

// nextSize returns the next size of the buffer.
func (r *bodyReader) nextSize() int64 {
	size := int64(firstBuffer)
	switch {
	case cap(r.buffer) > 0:
		size = growthFactor * int64(cap(r.buffer))
	case r.length >= 0:
		size = min(max(r.length, 1), SmallBytes)
	}
	if r.length > int64(len(r.buffer)) {
		size = min(size, r.length)
	}
	return min(size, r.limit)
}

// enlarge copies the body to a larger buffer.
func (r *bodyReader) enlarge(size int64) error {
	if size > SmallBytes && r.beforeLarge != nil {
		if err := r.beforeLarge(); err != nil {
			return err
		}
		r.beforeLarge = nil
	}
	larger, err := r.conn.enlarge(r.buffer, size)
	if err == nil {
		r.buffer = larger
	}
	return err
}

// enlarge copies a buffer to a larger one. Both are charged until the former one is dropped.
func (c *Conn) enlarge(buffer []byte, size int64) ([]byte, error) {
	if err := c.hold(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	c.drop(int64(cap(buffer)))
	return larger, nil
}

// Append appends data to a buffer that the request holds until it ends. An error means that there is no memory.
func (c *Conn) Append(buffer, data []byte) ([]byte, error) {
	if need := len(buffer) + len(data); need > cap(buffer) {
		var err error
		if buffer, err = c.enlarge(buffer, int64(max(need, growthFactor*cap(buffer)))); err != nil {
			return nil, err
		}
	}
	return append(buffer, data...), nil
}

// beginBody records that a body is being read.
func (c *Conn) beginBody() error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state != stateServing {
		return ErrGivenUp
	}
	c.state, c.readingBody = stateBody, true
	return nil
}

// endBody records that a body is no longer being read. If it isn't whole, its buffer of size bytes is released.
func (c *Conn) endBody(whole bool, size int64) error {
	if c == nil {
		return nil
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.readingBody = false
	if !b.isOpen(c) {
		b.release(c, c.held)
		return ErrGivenUp
	}
	givenUp := c.state == stateGivenUp
	if givenUp || !whole {
		b.release(c, size)
	}
	if givenUp {
		b.releasing -= c.held // the head stays until the refusal has been written
		b.changed.Broadcast()
	}
	c.state = stateServing
	if givenUp {
		return ErrGivenUp
	}
	return nil
}

func (c *Conn) hold(n int64) error {
	if c == nil {
		return nil
	}
	return c.budget.hold(c, n)
}

// drop releases a buffer.
func (c *Conn) drop(n int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.release(c, n)
}

// arriving reports whether a request is arriving. The caller holds the budget's mu.
func (c *Conn) arriving() bool { return c.state == stateHead || c.state == stateBody }

// waitingSince returns since when the process has been waiting for the caller, in Unix nanoseconds: for the next bytes that
// it sends, or for it to read a response. It returns 0 if the process isn't. The caller holds the budget's mu.
func (c *Conn) waitingSince() int64 {
	switch c.state {
	case stateServing:
		return c.writingSince.Load()
	case stateGivenUp:
		return 0
	default:
		return c.progressAt.Load()
	}
}

// StallTimeout returns how long a caller may stand still while others need what it holds, or 0 for a nil Conn.
func (c *Conn) StallTimeout() time.Duration {
	if c == nil {
		return 0
	}
	return c.budget.options.StallTimeout
}

// Hold charges n bytes more until the request has ended. A nil Conn isn't charged.
func (c *Conn) Hold(n int64) error { return c.hold(n) }

// HoldCopy charges a transient copy of n bytes until release is called. A nil Conn isn't charged.
func (c *Conn) HoldCopy(n int) (release func(), err error) {
	if err := c.hold(int64(n)); err != nil {
		return nil, err
	}
	return func() { c.drop(int64(n)) }, nil
}
