// Package endless is a test double of a backend server that sends bytes without end, which are no
// response, until its caller closes the connection.
package endless

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/crowbridge/crowbridge/platform"
)

// Mode is what comes without end.
type Mode string

// Modes.
const (
	Garbage       Mode = "garbage"               // in place of a head
	HeaderLine    Mode = "header line"           // one that doesn't end
	HeaderLines   Mode = "header lines"          // many
	Informational Mode = "informational"         // responses before the final one
	ChunkSize     Mode = "chunk size"            // digits
	ChunkExt      Mode = "chunk extension"       // after a chunk's size
	Trailers      Mode = "trailers"              // after the last chunk
	Chunks        Mode = "chunks"                // of a body under a sound head
	UntilClose    Mode = "until close"           // a body that the connection's end delimits
	BeyondLength  Mode = "beyond its length"     // after a whole body
	Line          Mode = "events without a line" // a stream without a line's end
	Comments      Mode = "comments"              // a stream of comments
	Events        Mode = "events without an ID"  // a stream of events that are all alike
)

// HeadModes are those in which no response begins, BodyModes those with a sound head.
var (
	HeadModes = []Mode{Garbage, HeaderLine, HeaderLines, Informational}
	BodyModes = []Mode{ChunkSize, ChunkExt, Trailers, Chunks, UntilClose, BeyondLength, Line, Comments, Events}
)

// Server is such a server. It stops sending when a connection is closed.
type Server struct {
	mode Mode
	// sound returns the whole response that a path should have, for BeyondLength.
	sound func(path string) string
	// open counts the connections, requests the requests.
	open, requests, bytes atomic.Int64

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Start starts a server at an address. sound returns the body that a path should have.
func Start(address string, mode Mode, sound func(path string) string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{mode: mode, sound: sound, listener: listener, conns: map[net.Conn]struct{}{}}
	go s.accept()
	return s, nil
}

// Address returns the server's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Open returns the number of open connections, Requests the number of requests so far, and Sent the
// bytes sent so far.
func (s *Server) Open() int64 { return s.open.Load() }

// Requests returns the number of requests so far.
func (s *Server) Requests() int64 { return s.requests.Load() }

// Sent returns the number of bytes sent so far.
func (s *Server) Sent() int64 { return s.bytes.Load() }

// Close stops the server.
func (s *Server) Close() {
	_ = s.listener.Close() // fails only if already closed
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close() // fails only if already closed
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return // closed
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.open.Add(1)
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close() // its caller has closed it, most likely
		s.open.Add(-1)
	}()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	s.requests.Add(1)
	begin, rest := s.mode.content(request, s.sound(request.URL.Path))
	n, err := io.WriteString(conn, begin)
	block := []byte(strings.Repeat(rest, max(1, blockBytes/len(rest))))
	for err == nil {
		s.bytes.Add(int64(n))
		n, err = conn.Write(block)
	}
}

const blockBytes = 32 << 10

// content returns how a response begins and what follows again and again.
func (m Mode) content(r *http.Request, sound string) (begin, rest string) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n",
		platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID), platform.HeaderSignature)
	stream := head + "Content-Type: text/event-stream\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	switch m {
	case Garbage:
		return "", "\x00\xff\x17garbage "
	case HeaderLine:
		return "HTTP/1.1 200 OK\r\nX-Long: ", "x"
	case HeaderLines:
		return "HTTP/1.1 200 OK\r\n", "X-More: y\r\n"
	case Informational:
		return "", "HTTP/1.1 103 Early Hints\r\n\r\n"
	case ChunkSize:
		return head + chunked, "0"
	case ChunkExt:
		return head + chunked + "5", ";x=y"
	case Trailers:
		return head + chunked + "5\r\nhello\r\n0\r\n", "X-Trailer: y\r\n"
	case Chunks:
		return head + chunked, "5\r\nwrong\r\n"
	case UntilClose:
		return head + "\r\n", "wrong"
	case BeyondLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(sound), sound), "wrong"
	case Line:
		return stream + "\r\n", "data:wrong"
	case Comments:
		return stream + "\r\n", ": wrong\n\n"
	case Events:
		return stream + "\r\n", "data: wrong\n\n"
	default:
		return head + "\r\n", "wrong"
	}
}
