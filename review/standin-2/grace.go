package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceEvents  = 55
	oldGrace     = 4.0
	newGrace     = 8.0
	graceStreams = 4
)

// serveLong writes a stream of 5.5 s in chunks: an event each 100 ms.
func serveLong(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Server-Stamp", "3e1b."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	theWorld.log("run of %s begins", id)
	for n := 1; n <= graceEvents; n++ {
		select {
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
			theWorld.log("run of %s: its connection was closed after %d of %d events", id, n-1, graceEvents)
			return
		}
		fmt.Fprint(w, leaveEvent(n))
		_ = http.NewResponseController(w).Flush()
	}
	theWorld.log("run of %s ends", id)
}

// playGrace changes grace_s in the settings file, announces it by SIGHUP, and stops the entry as planned.
func playGrace(w *world, trouble bool) {
	w.startHandler("i-1", "svc", http.HandlerFunc(serveLong))
	w.configure(1, []route{{Name: "r", Host: host, PathPrefix: "/notes/", Type: "streaming", TimeoutMs: 8000, TargetMs: 400, Service: "svc", MaxAttempts: 1, ITLTargetMs: 120}}, "svc")
	p := newPorts()
	grace := newGrace
	if trouble {
		grace = oldGrace
	}
	e := w.startEntryWith("entry-1", "127.0.0.1", p, grace)
	w.awaitReady(e)
	check(os.WriteFile(e.settings, []byte(w.settings(e.name, e.ip, p, "127.0.0.1", newGrace)), 0o600))
	w.log("the settings file has grace_s %g, before %g", newGrace, grace)
	e.signal(syscall.SIGHUP)
	time.Sleep(6 * time.Second)
	whole := ""
	for n := 1; n <= graceEvents; n++ {
		whole += leaveEvent(n)
	}
	var all sync.WaitGroup
	answers := make([]answer, graceStreams)
	for i := range answers {
		all.Go(func() { answers[i] = w.ask(e.front, "POST", "/notes/1", fmt.Sprintf("e%015d", i), "", "x=1") })
	}
	time.Sleep(500 * time.Millisecond)
	e.signal(syscall.SIGTERM)
	killed := time.AfterFunc(time.Duration(newGrace*float64(time.Second)), func() { e.signal(syscall.SIGKILL) })
	all.Wait()
	killed.Stop()
	w.copyLog("entry-1", "settings reloaded")
	w.copyLog("entry-1", "grace")
	lost := 0
	for _, a := range answers {
		if a.err != nil || a.body != whole {
			lost++
			w.log("a stream was cut after %d of %d events: %v", strings.Count(a.body, "data:"), graceEvents, a.err)
		}
	}
	if lost > 0 {
		w.finish(1, "LOST: %d of %d streams were cut within grace_s of a SIGTERM, while their server was at work", lost, graceStreams)
	}
	w.finish(0, "all %d streams ended within grace_s", graceStreams)
}
