package platformdaemon_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Found in docs/incidents/2026-12-03-limit-kept-by-nobody.md, by the same cause.

const (
	// mostConns is what a server takes from all entries, so that each of limitedEntries may have two.
	mostConns = 12
	// pressingEach callers of each entry ask all the time, for requests that take pressingWork.
	pressingEach = 16
	pressingWork = 15 * time.Millisecond
	pressingTime = 4 * time.Second
)

// cappedServer resets connections beyond mostConns.
type cappedServer struct {
	mu          sync.Mutex
	open, worst int
	resets      int
}

// state follows its connections.
func (s *cappedServer) state(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.worst = max(s.worst, s.open)
		if s.open > mostConns {
			s.resets++
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset
			}
			_ = conn.Close() // the entry is told
		}
	case http.StateClosed:
		s.open--
	case http.StateActive, http.StateIdle, http.StateHijacked:
	}
}

// serve starts the server.
func (s *cappedServer) serve(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{ConnState: s.state, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pressingWork)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		fmt.Fprint(w, "an answer")
	})}
	go func() { _ = server.Serve(listener) }() // until it's closed
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func TestConnectionsOfAllEntriesTogether(t *testing.T) {
	RegisterTestingT(t)
	var servers []*cappedServer
	var addresses []string
	for range limitedServers {
		servers = append(servers, &cappedServer{})
		addresses = append(addresses, servers[len(servers)-1].serve(t))
	}
	entries := entriesBefore(t, addresses, strings.Replace(configVersion(1, `"k1"`), `"max_conns":50`, fmt.Sprintf(`"max_conns":%d`, mostConns), 1))
	time.Sleep(2 * time.Second) // until they have heard of each other
	var mu sync.Mutex
	statuses := map[int]int{}
	stop := callUntilEnd(entries, pressingEach, func(status int) {
		mu.Lock()
		defer mu.Unlock()
		statuses[status]++
	})
	time.Sleep(pressingTime)
	stop()
	for i, s := range servers {
		Expect(s.resets).To(BeZero(), "connections that server %d reset; open at worst %d of %d", i, s.worst, mostConns)
	}
	for status, n := range statuses {
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable), "%d answers", n)
	}
	Expect(statuses[http.StatusOK]).To(BeNumerically(">", 1000), "%v", statuses)
}
