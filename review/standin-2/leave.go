package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	leaveEvents  = 40
	leaveServers = 3 // of which one leaves
)

func leaveEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// serveStream is a server in a process of its own, at the address in LISTEN. Its streams have neither a
// length nor chunks and end with their connection: an event each 100 ms, from the one after
// Last-Event-Id. On SIGTERM it exits, as a server does at the end of its drain.
func serveStream() {
	listener, err := net.Listen("tcp", os.Getenv("LISTEN"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	name := os.Getenv("NAME")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		os.Exit(0)
	}()
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Attempt-Id")
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != name {
			w.Header().Set("X-Attempt-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		first := 1
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Printf("run of %s from event %d\n", id, first)
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: 3e1b.%s.%s\r\nConnection: close\r\n\r\n", id, name, id)
		_ = buffered.Flush()
		for n := first; n <= leaveEvents; n++ {
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(buffered, leaveEvent(n))
			if buffered.Flush() != nil {
				return
			}
		}
	}))
}

// playLeave lets a server drain and exit, as planned, while it writes a stream that may be resumed.
func playLeave(w *world, trouble bool) {
	servers, addresses := w.serverProcesses(leaveServers, "stream-server", "svc")
	w.configure(1, []route{{Name: "r", Host: host, PathPrefix: "/notes/", Type: "streaming", TimeoutMs: 8000, TargetMs: 400, Service: "svc", MaxAttempts: 2, Resumable: true, ITLTargetMs: 120}}, "svc")
	e := w.startEntry("entry-1", "127.0.0.1", newPorts())
	w.awaitReady(e)
	whole := ""
	for n := 1; n <= leaveEvents; n++ {
		whole += leaveEvent(n)
	}
	done := make(chan answer)
	go func() { done <- w.ask(e.front, "POST", "/notes/1", "d000000000000001", "", "x=1") }()
	at := w.running(servers)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		leaving := servers[at]
		w.register(leaving.name, "svc", addresses[at], "draining", 6, 2, w.started.UnixMilli())
		w.log("%s has reported draining, and the store has accepted it", leaving.name)
		time.Sleep(2400 * time.Millisecond) // drain_ms and a little longer
		leaving.signal(syscall.SIGTERM)
		<-leaving.done
		w.store.put("keyed.servers", leaving.name, nil)
	}
	a := <-done
	for _, server := range servers {
		w.copyLog(server.name, "run of")
	}
	w.log("the client has %d of %d events", strings.Count(a.body, "data:"), leaveEvents)
	switch {
	case a.err == nil && a.status == 200 && a.body != whole:
		w.finish(1, "ORDER: a stream ended as complete after %d of %d events", strings.Count(a.body, "data:"), leaveEvents)
	case !trouble && a.body != whole:
		w.finish(2, "no whole stream without the disruption")
	}
	w.finish(0, "no stream ended as complete before its last event")
}
