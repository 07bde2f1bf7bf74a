package main

import (
	"fmt"
	"strings"
	"time"
)

// playSlashes sends requests whose path begins with two slashes on a route with the prefix "/".
func playSlashes(w *world, trouble bool) {
	server := w.startServer("i-1", "svc", 5*time.Millisecond)
	w.configure(1, []route{{Name: "r", Host: host, PathPrefix: "/", Type: "non_idempotent", TimeoutMs: 8000, TargetMs: 300, Service: "svc", MaxAttempts: 1}}, "svc")
	e := w.startEntry("entry-1", "127.0.0.1", newPorts())
	w.awaitReady(e)
	changed := 0
	for i, sent := range []string{"/orders/17/close", "/orders/18/close?now=1"} {
		if trouble {
			sent = "/" + sent
		}
		id := fmt.Sprintf("a%015d", i)
		w.ask(e.front, "POST", sent, id, "", "x=1")
		path, query, _ := strings.Cut(sent, "?")
		for _, r := range server.runsOf(id) {
			if r.path != path || r.query != query {
				w.log("request %s was sent with the path %q and run with the path %q", id, path, r.path)
				changed++
			}
		}
	}
	if changed > 0 {
		w.finish(1, "UNASKED: %d of 2 requests were run with another path than the client's", changed)
	}
	w.finish(0, "the requests were run as sent")
}
