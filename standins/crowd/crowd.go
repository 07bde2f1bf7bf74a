// Package crowd is a test double of many clients that don't behave: they send requests in ways that make a server
// hold as much as possible for them, and stay connected.
package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Behavior is what each client sends.
type Behavior string

// Behaviors. A client that stops stays connected until the crowd is closed.
const (
	Whole        Behavior = "whole bodies"              // of full size, in one go
	Pieces       Behavior = "bodies in pieces"          // of full size, with a pause after each piece
	ShortOfEnd   Behavior = "bodies short of their end" // all but the last byte
	LargeChunks  Behavior = "large chunks"              // a body of full size short of its end, in chunks of 64 KiB
	TinyChunks   Behavior = "tiny chunks"               // a body short of its end in chunks of one byte
	OverLimit    Behavior = "announced over the limit"  // a length of 1 GiB, of which some is sent
	EndlessBody  Behavior = "chunks without end"        // up to maxSent
	Multipart    Behavior = "multipart over the limit"  // a form of 1 GiB, of which some is sent
	HalfHeads    Behavior = "half heads"                // one long header line that doesn't end
	HalfLines    Behavior = "half heads of many lines"  // short header lines, without the empty one
	Silent       Behavior = "silent connections"        // nothing
	BehindIt     Behavior = "bytes behind a request"    // a small request and a large body of no request
	BehindLeaver Behavior = "bodies of leavers"         // all but the last byte; closes and comes back
	NoReader     Behavior = "unread responses"          // small requests for large responses that aren't read
)

// Request describes the requests of a crowd.
type Request struct {
	// Head returns the request line and the header lines of a client's request, each with its line end, without
	// a length.
	Head func(client int) string
	// Body is the size of a whole body in bytes.
	Body int
	// Prefix begins the body; the rest is filled.
	Prefix string
}

const (
	pieceBytes     = 256 << 10
	piecePause     = 20 * time.Millisecond
	largeChunk     = 64 << 10
	tinyChunkBody  = 1 << 20
	announced      = 1 << 30
	maxSent        = 16 << 20
	headBytes      = 60 << 10
	leaverReturns  = 5
	dialTimeout    = 10 * time.Second
	settledAfter   = time.Second
	settleInterval = 20 * time.Millisecond
)

// Crowd is a number of clients. Each sends at most a few times maxSent and then waits to be closed.
type Crowd struct {
	address  string
	behavior Behavior
	request  Request
	filler   string

	sent, ended atomic.Int64
	wg          sync.WaitGroup
	mu          sync.Mutex // guards the fields below
	conns       []net.Conn
	closed      bool
}

// Start starts clients, all at once.
func Start(address string, behavior Behavior, clients int, request Request) *Crowd {
	c := &Crowd{address: address, behavior: behavior, request: request, filler: strings.Repeat("x", request.Body)}
	for i := range clients {
		c.wg.Go(func() {
			defer c.ended.Add(1)
			c.run(i)
		})
	}
	return c
}

// Settle waits until each client has sent what it wants, or nothing more has been accepted for a while.
// It returns the number of bytes sent so far.
func (c *Crowd) Settle(clients int, limit time.Duration) int64 {
	end, last, changed := time.Now().Add(limit), int64(-1), time.Now()
	for time.Now().Before(end) && c.ended.Load() < int64(clients) && time.Since(changed) < settledAfter {
		if sent := c.sent.Load(); sent != last {
			last, changed = sent, time.Now()
		}
		time.Sleep(settleInterval)
	}
	return c.sent.Load()
}

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.conns {
		_ = conn.Close() // fails only if already closed
	}
	c.mu.Unlock()
	c.wg.Wait()
}

// dial returns a connection that Close closes, or nil if the server doesn't accept it.
func (c *Crowd) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return nil // refused
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close() // never used
		return nil
	}
	c.conns = append(c.conns, conn)
	return conn
}

// writer counts the bytes that were sent. Errors mean that the server has closed the connection.
type writer struct {
	conn  net.Conn
	crowd *Crowd
	err   error
}

func (w *writer) send(text string) {
	if w.err != nil {
		return
	}
	n, err := io.WriteString(w.conn, text)
	w.crowd.sent.Add(int64(n))
	w.err = err
}

// run is the life of one client, up to where it stops.
func (c *Crowd) run(client int) {
	rounds := 1
	if c.behavior == BehindLeaver {
		rounds = leaverReturns
	}
	for range rounds {
		conn := c.dial()
		if conn == nil {
			return
		}
		c.play(&writer{conn: conn, crowd: c}, client)
		if c.behavior == BehindLeaver {
			_ = conn.Close() // fails only if already closed
		}
	}
}

func (c *Crowd) play(w *writer, client int) {
	head := c.request.Head(client)
	length := fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, c.request.Body)
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	body := c.request.Prefix + c.filler[:c.request.Body-len(c.request.Prefix)]
	switch c.behavior {
	case Whole:
		w.send(length + body)
	case Pieces:
		w.send(length)
		for rest := body; len(rest) > 0 && w.err == nil; {
			n := min(pieceBytes, len(rest))
			w.send(rest[:n])
			rest = rest[n:]
			time.Sleep(piecePause)
		}
	case ShortOfEnd, BehindLeaver:
		w.send(length + body[:len(body)-1])
	case LargeChunks:
		w.send(chunked)
		chunks(w, body[:len(body)-1], largeChunk)
	case TinyChunks:
		w.send(chunked)
		chunks(w, body[:min(len(body), tinyChunkBody)], 1)
	case OverLimit:
		w.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, announced))
		fill(w, body, maxSent)
	case Multipart:
		w.send(fmt.Sprintf("%sContent-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n--b\r\nContent-Disposition: form-data; name=\"f\"\r\n\r\n", head, announced))
		fill(w, body, maxSent)
	case EndlessBody:
		w.send(chunked)
		for sent := 0; sent < maxSent && w.err == nil; sent += len(body) {
			chunks(w, body, largeChunk)
		}
	case HalfHeads:
		w.send(head + "X-Long: " + strings.Repeat("y", headBytes))
	case HalfLines:
		var lines strings.Builder
		for i := 0; lines.Len() < headBytes; i++ {
			fmt.Fprintf(&lines, "%x:\r\n", i)
		}
		w.send(head + lines.String())
	case NoReader:
		w.send(head + "Content-Length: 0\r\n\r\n")
	case BehindIt:
		w.send(head + "Content-Length: 0\r\n\r\n")
		fill(w, body, maxSent)
	case Silent:
	}
}

// fill sends a text again and again, up to a number of bytes.
func fill(w *writer, text string, limit int) {
	for sent := 0; sent < limit && w.err == nil; sent += len(text) {
		w.send(text)
	}
}

// chunks sends a text in chunks, many small ones in one write.
func chunks(w *writer, text string, size int) {
	var out strings.Builder
	for len(text) > 0 && w.err == nil {
		n := min(size, len(text))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
		if out.Len() >= largeChunk || len(text) == 0 {
			w.send(out.String())
			out.Reset()
		}
	}
}
