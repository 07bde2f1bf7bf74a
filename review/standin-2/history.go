package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// crashServer is a server that crashes when it begins to run a request with a certain body, and is back
// after some seconds under its id.
type crashServer struct {
	w           *world
	id, address string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	sequence int
}

const deadly = "deadly"

func (w *world) startCrashServer(id string) *crashServer {
	s := &crashServer{w: w, id: id, address: fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))}
	s.up()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			s.beat()
		}
	}()
	return s
}

func (s *crashServer) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.sequence++
		s.w.register(s.id, "svc", s.address, "ready", 6, s.sequence, s.born)
	}
}

func (s *crashServer) up() {
	listener, err := net.Listen("tcp", s.address)
	check(err)
	s.mu.Lock()
	s.listener, s.conns, s.born, s.sequence = listener, map[net.Conn]bool{}, time.Now().UnixMilli(), 0
	s.mu.Unlock()
	s.beat()
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
}

func (s *crashServer) crash() {
	s.mu.Lock()
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.Close()
	}
	s.listener = nil
	s.mu.Unlock()
	s.w.log("%s has crashed", s.id)
	time.AfterFunc(3*time.Second, func() { s.up(); s.w.log("%s is back", s.id) })
}

func (s *crashServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if strings.Contains(string(body), deadly) {
		s.w.log("%s begins to run %s", s.id, id)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Stamp", "3e1b."+id)
	fmt.Fprint(w, "ok "+id)
}

const (
	history       = 20 * time.Second        // the sheet's "20 s of history"
	loseFor       = 4500 * time.Millisecond // platform_lost, for_s
	loseEach      = 3                       // platform_lost, x = 0.35: every third write
	doneLate      = 5 * time.Second         // how late: 1 to 6 s
	recoverAfter  = 12 * time.Second        // recover_s
	observeBefore = 30
	observeAfter  = 12
)

// loseWrites makes the store lose the answers of every third write for a while, and do these writes late.
func (w *world) loseWrites() {
	until, writes := time.Now().Add(loseFor), 0
	w.log("the store begins to lose answers of writes")
	w.store.lost = func(topic string) (time.Duration, bool) {
		if time.Now().After(until) {
			return 0, false
		}
		writes++
		lost := writes%loseEach == 1
		w.log("store: write %d while answers are lost, to %s: lost and done later: %t", writes, topic, lost)
		return doneLate, lost
	}
}

// share sends requests to all entries for some seconds.
func (w *world) share(name string, entries []*entry, seconds int) (served, sent int) {
	for range seconds * 4 {
		for i, e := range entries {
			sent++
			a := askRaw(e.front, "POST", "/page/2", fmt.Sprintf("%s%d%013d", name, i, sent), "", "x=1")
			if a.status == http.StatusOK {
				served++
			} else if sent%16 < len(entries) {
				w.log("%s: status %d, error %v, %s", e.name, a.status, a.err, a.body)
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	w.log("%s: %d of %d requests were served", name, served, sent)
	return served, sent
}

// playHistory lets a write to the system's own topic be done late, and kills all daemons once the
// topic's records have expired.
func playHistory(w *world, trouble bool) {
	w.store.keep = history
	w.store.wrote = func(topic string, offset int) { w.log("store: %s gets a record at offset %d", topic, offset) }
	for i := range 4 {
		w.startCrashServer(fmt.Sprintf("i-%d", i+1))
	}
	w.configure(1, []route{{Name: "r", Host: host, PathPrefix: "/page/", Type: "non_idempotent", TimeoutMs: 3000, TargetMs: 300, Service: "svc", MaxAttempts: 1}}, "svc")
	p := newPorts()
	startAll := func() (entries []*entry) {
		for i, ip := range []string{"127.0.0.1", "127.0.0.2"} {
			entries = append(entries, w.startEntry(fmt.Sprintf("entry-%d", i+1), ip, p))
		}
		return entries
	}
	entries := startAll()
	for _, e := range entries {
		w.awaitReady(e)
	}
	time.Sleep(2 * time.Second)
	w.ask(entries[0].front, "POST", "/page/1", "p000000000000001", "", deadly)
	time.Sleep(2400 * time.Millisecond)
	if trouble {
		w.loseWrites()
	}
	w.ask(entries[1].front, "POST", "/page/1", "p000000000000002", "", deadly)
	time.Sleep(1500 * time.Millisecond)
	w.ask(entries[0].front, "POST", "/page/1", "p000000000000003", "", deadly)
	before, sentBefore := w.share("before", entries, observeBefore)
	for _, e := range entries {
		w.copyLog(e.name, "state persisted")
		w.copyLog(e.name, "failed to append")
	}
	for _, e := range entries {
		e.signal(syscall.SIGKILL)
	}
	for _, e := range entries {
		<-e.done
	}
	time.Sleep(time.Second)
	entries = startAll()
	time.Sleep(recoverAfter)
	after, sentAfter := w.share("after", entries, observeAfter)
	for _, e := range entries {
		if response, err := http.Get("http://" + e.ready + "/ready"); err == nil {
			_ = response.Body.Close()
			w.log("%s: /ready has status %d", e.name, response.StatusCode)
		}
	}
	switch {
	case before*4 < sentBefore:
		w.finish(2, "only %d of %d requests were served before the final fault", before, sentBefore)
	case after*4 < sentAfter:
		w.finish(1, "RECOVER: %d of %d requests sent later than recover_s after the daemons were back were served, before %d of %d", after, sentAfter, before, sentBefore)
	}
	w.finish(0, "%d of %d requests sent later than recover_s after the daemons were back were served", after, sentAfter)
}
