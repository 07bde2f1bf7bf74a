package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// serveCut is a server in a process of its own, at the address in LISTEN. It answers without a length,
// and the end of the connection ends the answer: 20 parts of 40 bytes, one each 100 ms.
func serveCut() {
	listener, err := net.Listen("tcp", os.Getenv("LISTEN"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		id := r.Header.Get("X-Attempt-Id")
		fmt.Printf("run of %s\n", id)
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: 3e1b.%s\r\nConnection: close\r\n\r\n", id, id)
		_ = buffered.Flush()
		for part := range cutParts {
			time.Sleep(100 * time.Millisecond)
			fmt.Fprint(buffered, cutPart(part))
			_ = buffered.Flush()
		}
	}))
}

const (
	cutParts   = 20
	cutServers = 6 // of which one is killed
)

func cutPart(n int) string {
	return fmt.Sprintf("part %02d of the register page %s\n", n, strings.Repeat("x", 12))
}

// playCut kills a server while it writes an answer whose end is that of its connection.
func playCut(w *world, trouble bool) {
	servers, _ := w.serverProcesses(cutServers, "cut-server", "svc")
	w.configure(1, []route{{Name: "r", Host: host, PathPrefix: "/page/", Type: "non_idempotent", TimeoutMs: 8000, TargetMs: 300, Service: "svc", MaxAttempts: 1}}, "svc")
	e := w.startEntry("entry-1", "127.0.0.1", newPorts())
	w.awaitReady(e)
	whole := ""
	for part := range cutParts {
		whole += cutPart(part)
	}
	done := make(chan answer)
	go func() { done <- w.ask(e.front, "POST", "/page/1", "c000000000000001", "", "x=1") }()
	at := w.running(servers)
	time.Sleep(time.Second)
	if trouble {
		servers[at].signal(syscall.SIGKILL)
	}
	a := <-done
	w.log("the client has %d of %d bytes, Content-Length %q", len(a.body), len(whole), a.header.Get("Content-Length"))
	switch {
	case a.err == nil && a.status == 200 && a.body != whole:
		w.finish(1, "MIXED: a success that looks complete has %d of the server's %d bytes", len(a.body), len(whole))
	case !trouble && a.body != whole:
		w.finish(2, "no whole answer without the disruption")
	}
	w.finish(0, "no answer that ended early looked complete")
}
