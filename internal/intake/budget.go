package intake

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Reasons why a request's head or body isn't read.
var (
	// ErrFull means that the budget has no room for the request.
	ErrFull = errors.New("the memory for requests is used up")
	// ErrGivenUp means that the request was given up for others, since it stood still or held most.
	ErrGivenUp = errors.New("the request was given up, as others needed its memory")
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("the body is too large")
)

// maxLogLines bounds the log lines a second, and those that wait for the log's output; others are counted.
const maxLogLines = 20

// Budget bounds what the callers of a process make it hold. Safe for concurrent use.
type Budget struct {
	options Options
	limits  limits
	now     func() time.Time
	log     *logrus.Entry
	// logging has an element for each line that is being written.
	logging chan struct{}

	// mu is a leaf lock. It guards the fields below and those of connections.
	mu sync.Mutex
	// changed is signaled when bytes are released or a connection is given up.
	changed *sync.Cond
	conns   map[*Conn]struct{}
	// used is what all connections hold, in bytes; releasing is the part of those that have been given up and
	// will release it soon.
	used, releasing int64
	// logSecond is the Unix second of which logLines lines have been written.
	logSecond int64
	logLines  int
}

// New returns a budget.
func New(options Options, log *logrus.Entry) *Budget {
	if options.ReceiveBuffer <= 0 {
		options.ReceiveBuffer = DefaultReceiveBuffer
	}
	if options.StallTimeout <= 0 {
		options.StallTimeout = DefaultStallTimeout
	}
	if options.LingerTimeout <= 0 {
		options.LingerTimeout = DefaultLingerTimeout
	}
	b := &Budget{options: options, limits: options.resolve(), now: time.Now, log: log, logging: make(chan struct{}, maxLogLines), conns: map[*Conn]struct{}{}}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Export exports the metrics of what is held, and logs the limits in force. A process exports one budget.
func (b *Budget) Export() {
	for name, value := range map[string]func() float64{
		"crowbridge_caller_bytes": func() float64 {
			used, _ := b.held()
			return float64(used)
		},
		"crowbridge_caller_connections": func() float64 {
			_, connections := b.held()
			return float64(connections)
		},
		"crowbridge_caller_bytes_limit":       func() float64 { return float64(b.limits.bytes) },
		"crowbridge_caller_connections_limit": func() float64 { return float64(b.limits.connections) },
	} {
		metrics.GetOrCreateGauge(name, value)
	}
	b.log.WithFields(logrus.Fields{
		"request_memory": b.limits.bytes, "connections": b.limits.connections, "receive_buffer": b.options.ReceiveBuffer,
		"stall_ms": b.options.StallTimeout.Milliseconds(), "linger_ms": b.options.LingerTimeout.Milliseconds(),
	}).Info("limits of callers")
}

// held returns the bytes and the connections that are held.
func (b *Budget) held() (bytes int64, connections int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, len(b.conns)
}

// Fits reports whether a body of this size can be held, with the copy that its growth needs, when nothing else is.
func (b *Budget) Fits(size int64) bool {
	return size+size/growthFactor+connectionBytes <= b.limit(size)
}

// CheckBodyLimit returns an error that names the fix if a body of maxBody bytes doesn't fit into the memory for requests.
func (o Options) CheckBodyLimit(maxBody int64) error {
	b := Budget{limits: o.resolve()}
	if b.Fits(maxBody) {
		return nil
	}
	return errors.Errorf("bodies of this size don't fit into the %d bytes of memory for requests: lower it, or raise memory-mb or request-memory", b.limits.bytes)
}

// limit returns the part of the budget that a request which holds so much may use.
func (b *Budget) limit(held int64) int64 {
	if held > SmallBytes {
		return int64(largeShare * float64(b.limits.bytes))
	}
	return b.limits.bytes
}

// fits reports whether c may hold n bytes more, with released bytes of others. The caller holds b.mu.
func (b *Budget) fits(c *Conn, n, released int64) bool {
	return b.used-released+n <= b.limit(c.held+n)
}

// hold charges c with n more bytes. If there is no room, others are given up for it, or it returns the reason why
// it gets none.
func (b *Budget) hold(c *Conn, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case c.state == stateGivenUp || c.state == stateClosed:
			return ErrGivenUp
		case b.fits(c, n, 0):
			b.used += n
			c.held += n
			return nil
		case b.releasing > 0 && b.fits(c, n, b.releasing):
			b.changed.Wait()
		default:
			victim := b.victim(c, n)
			if victim == nil {
				refusals("memory").Inc()
				return ErrFull
			}
			b.giveUp(victim)
		}
	}
}

// release returns bytes that c no longer holds. The caller holds b.mu.
func (b *Budget) release(c *Conn, n int64) {
	if n == 0 {
		return
	}
	c.held -= n
	b.used -= n
	if c.state == stateGivenUp {
		b.releasing -= n
	}
	b.changed.Broadcast()
}

// victim returns the request to give up so that c may hold n bytes more: the one whose caller has sent, or read, nothing
// for longest, or, if c is small, the one that holds most of those that are still arriving. It returns nil if there is none. The
// caller holds b.mu.
func (b *Budget) victim(c *Conn, n int64) *Conn {
	stalledSince := b.now().Add(-b.options.StallTimeout).UnixNano()
	var stalled, largest *Conn
	for other := range b.conns {
		if other == c || other.held == 0 {
			continue
		}
		if at := other.waitingSince(); at > 0 && at <= stalledSince && (stalled == nil || at < stalled.waitingSince()) {
			stalled = other
		}
		if !other.arriving() {
			continue
		}
		if largest == nil || other.held > largest.held {
			largest = other
		}
	}
	if stalled != nil {
		return stalled
	}
	if c.held+n <= SmallBytes && largest != nil && largest.held > c.held+n {
		return largest
	}
	return nil
}

// giveUp gives up a request for others. Whoever reads it, or writes its response, releases what it holds. The caller
// holds b.mu.
func (b *Budget) giveUp(c *Conn) {
	refusals("given up").Inc()
	b.logConn(c, "request given up: others need its memory", nil)
	if c.state == stateHead {
		b.closeConn(c)
		return
	}
	writing := c.state == stateServing
	c.state = stateGivenUp
	b.releasing += c.held
	b.changed.Broadcast()
	if writing {
		go func() { _ = c.TCPConn.Close() }() // waits for its writer; fails only if already closed
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
}

// closeConn forgets a connection and closes it. The caller holds b.mu.
func (b *Budget) closeConn(c *Conn) {
	b.forget(c)
	go func() { _ = c.TCPConn.Close() }() // waits for its reader; fails only if already closed
}

// forget releases all that a connection holds. Of a body that is being read, the reader releases the rest. The caller
// holds b.mu.
func (b *Budget) forget(c *Conn) {
	if !b.isOpen(c) {
		return
	}
	delete(b.conns, c)
	b.used -= connectionBytes
	if !c.readingBody {
		b.release(c, c.held)
	}
	if c.state != stateGivenUp {
		c.state = stateClosed
	}
	b.changed.Broadcast()
}

// isOpen reports whether c hasn't been forgotten. The caller holds b.mu.
func (b *Budget) isOpen(c *Conn) bool {
	_, open := b.conns[c]
	return open
}

// admit adds a connection. If there are too many, the one that has stood still for longest is closed for it. It
// reports whether there is room.
func (b *Budget) admit(c *Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.conns) >= b.limits.connections || b.used+connectionBytes > b.limits.bytes {
		victim := b.stillest()
		if victim == nil {
			refusals("connections").Inc()
			b.logConn(c, "connection refused: the limit of connections or memory is reached", nil)
			return false
		}
		refusals("connection closed").Inc()
		b.logConn(victim, "connection closed: another needs its place", nil)
		b.closeConn(victim)
	}
	b.conns[c] = struct{}{}
	b.used += connectionBytes
	return true
}

// stillest returns the connection without progress for longest. Requests in progress have none to make, unless their
// caller doesn't read the response. The caller holds b.mu.
func (b *Budget) stillest() *Conn {
	stalledSince := b.now().Add(-b.options.StallTimeout).UnixNano()
	var found *Conn
	var foundAt int64
	for c := range b.conns {
		at := c.waitingSince()
		if at == 0 || c.state == stateServing && at > stalledSince {
			continue
		}
		if found == nil || at < foundAt {
			found, foundAt = c, at
		}
	}
	return found
}

// LogRefusal logs that a request isn't read for lack of memory, within the bound of lines. c may be nil.
func (c *Conn) LogRefusal(requestID string, cause error) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.logConn(c, "request not read", logrus.Fields{"request": requestID, "cause": cause.Error()})
}

// logConn logs a decision about a connection, within the bound of lines, and doesn't wait for the log's output. The caller
// holds b.mu.
func (b *Budget) logConn(c *Conn, text string, more logrus.Fields) {
	now := b.now()
	if second := now.Unix(); second != b.logSecond {
		b.logSecond, b.logLines = second, 0
	}
	if b.logLines++; b.logLines > maxLogLines {
		droppedLines.Inc()
		return
	}
	select {
	case b.logging <- struct{}{}:
	default:
		droppedLines.Inc()
		return
	}
	line := b.log.WithFields(more).WithFields(logrus.Fields{
		"caller": c.RemoteAddr().String(), "state": c.state.String(), "held_bytes": c.held,
		"age_ms": now.Sub(c.openedAt).Milliseconds(), "still_ms": now.Sub(time.Unix(0, c.progressAt.Load())).Milliseconds(),
		"used_bytes": b.used, "connections": len(b.conns),
	})
	go func() {
		line.Warn(text)
		<-b.logging
	}()
}

var droppedLines = metrics.NewCounter("crowbridge_caller_log_lines_dropped_total")

// refusals counts what was refused or closed, by cause.
func refusals(cause string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`crowbridge_caller_refusals_total{cause=%q}`, cause))
}
