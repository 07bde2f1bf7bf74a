package platformdaemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

const unframedConfig = `{"version":1,"routes":[
 {"name":"once","host":"h.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":5000,"service":"s","max_attempts":2},
 {"name":"again","host":"h.example","path_prefix":"/again/","type":"idempotent","timeout_ms":5000,"service":"s","max_attempts":2},
 {"name":"fixed","host":"h.example","path_prefix":"/fixed/","type":"streaming","timeout_ms":5000,"service":"s","max_attempts":2},
 {"name":"stream","host":"h.example","path_prefix":"/stream/","type":"streaming","resumable":true,"timeout_ms":5000,"service":"s","max_attempts":2}],
 "services":[{"name":"s","max_conns":50}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// unframedResponse is a body that only the end of its connection delimits.
type unframedResponse struct {
	body string
	// reset ends the connection by a reset instead of an orderly close.
	reset bool
}

// unframedServers send the responses in turn, whichever server is asked.
type unframedServers struct {
	mu        sync.Mutex
	responses []unframedResponse
}

func (s *unframedServers) next() unframedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := s.responses[0]
	s.responses = s.responses[min(1, len(s.responses)-1):]
	return response
}

// serve accepts connections until the listener is closed.
func (s *unframedServers) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.respond(conn)
	}
}

func (s *unframedServers) respond(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // a probe
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	response := s.next()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: s\r\n\r\n%s", request.Header.Get("X-Attempt-Id"), response.body)
	if response.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// A response that ends with its connection is complete, unless it was reset or a stream ends inside
// an event.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	RegisterTestingT(t)
	servers := &unframedServers{}
	store := standin.NewStore()
	store.Put(platform.TopicOperators, "config", unframedConfig)
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		go servers.serve(listener)
		t.Cleanup(func() { _ = listener.Close() })
		store.Put("keyed.servers", fmt.Sprint("i-", i), fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, listener.Addr().String()))
	}
	address, stop := serve("127.0.0.1:0", store)
	t.Cleanup(stop)
	entry := entrySettings("127.0.0.1", address)
	t.Cleanup(start(platformdaemon.NewEntryDaemon(entry, nil, discardLog())))
	Eventually(readyStatus(entry), testTimeout).Should(Equal(http.StatusOK))

	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	cut := second[:len(second)-1] // the line that ends the event is missing
	for _, tc := range []struct {
		name, path string
		responses  []unframedResponse
		// complete is the body of a complete response, sent what the caller has of another one.
		complete, sent string
	}{
		{"a body", "/once/", []unframedResponse{{body: "{}"}}, "{}", ""},
		{"a body that is reset", "/once/", []unframedResponse{{"{", true}}, "", ""},
		{"a body that is reset and requested again", "/again/", []unframedResponse{{"{", true}, {body: "{}"}}, "{}", ""},
		{"a stream", "/fixed/", []unframedResponse{{body: first + second}}, first + second, ""},
		{"a stream that is reset", "/fixed/", []unframedResponse{{first, true}}, "", first},
		{"a stream that ends inside an event", "/fixed/", []unframedResponse{{body: first + cut}}, "", first},
		{"a stream that ends inside its first event", "/fixed/", []unframedResponse{{body: cut}}, "", ""},
		{"a stream that ends inside an event and is resumed", "/stream/", []unframedResponse{{body: first + cut}, {body: second}}, first + second, ""},
		{"a stream that is resumed without the event", "/stream/", []unframedResponse{{body: first + cut}, {body: ""}}, "", first},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			servers.responses = tc.responses
			body, complete := fetch(t, entry, tc.path)
			g.Expect(complete).To(Equal(tc.complete != ""), body)
			if complete {
				g.Expect(body).To(Equal(tc.complete))
				return
			}
			g.Expect(strings.HasPrefix(body, tc.sent)).To(BeTrue(), body)
			g.Expect(body).NotTo(ContainSubstring("data: b"), "a part of an event")
		})
	}
}

// fetch requests a path and reports whether the response is a complete success.
func fetch(t *testing.T, entry *platform.Settings, path string) (body string, complete bool) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+entry.Callers+path, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", t.Name())
	request.Header.Set("X-Api-Key", "k1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error(), false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err == nil && response.StatusCode == http.StatusOK
}
