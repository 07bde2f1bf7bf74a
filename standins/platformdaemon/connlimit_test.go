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

const (
	// maxConns is a server's connection limit for all entries together.
	maxConns = 12
	// saturatingCallers callers of each entry send requests without a pause.
	saturatingCallers  = 16
	saturatingWorkTime = 15 * time.Millisecond
	saturationTime     = 4 * time.Second
)

// connLimitedServer resets connections beyond maxConns.
type connLimitedServer struct {
	mu            sync.Mutex
	open, maxOpen int
	resets        int
}

// state counts open connections and resets those beyond the limit. It is the server's ConnState.
func (s *connLimitedServer) state(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		s.maxOpen = max(s.maxOpen, s.open)
		if s.open > maxConns {
			s.resets++
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // closes by a reset
			}
			_ = conn.Close()
		}
	case http.StateClosed:
		s.open--
	case http.StateActive, http.StateIdle, http.StateHijacked:
	}
}

// serve starts the server and returns its address.
func (s *connLimitedServer) serve(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{ConnState: s.state, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(saturatingWorkTime)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		fmt.Fprint(w, "response")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// A server's connection limit holds for all entries together, not for each of them.
func TestEntriesTogetherKeepToServersConnectionLimit(t *testing.T) {
	RegisterTestingT(t)
	var servers []*connLimitedServer
	var addresses []string
	for range limitedServers {
		servers = append(servers, &connLimitedServer{})
		addresses = append(addresses, servers[len(servers)-1].serve(t))
	}
	entries := startEntries(t, addresses, strings.Replace(configVersion(1, `"k1"`), `"max_conns":50`, fmt.Sprintf(`"max_conns":%d`, maxConns), 1))
	time.Sleep(2 * time.Second) // until the entries have discovered each other
	var mu sync.Mutex
	statuses := map[int]int{}
	stop := startCallers(entries, saturatingCallers, func(status int) {
		mu.Lock()
		defer mu.Unlock()
		statuses[status]++
	})
	time.Sleep(saturationTime)
	stop()
	for i, s := range servers {
		Expect(s.resets).To(BeZero(), "connections reset by server %d, which had up to %d open with a limit of %d", i, s.maxOpen, maxConns)
	}
	for status, n := range statuses {
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusTooManyRequests, http.StatusServiceUnavailable), "%d responses", n)
	}
	Expect(statuses[http.StatusOK]).To(BeNumerically(">", 1000), "%v", statuses)
}
