package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	drainTime  = 2 * time.Second // drain_ms of the settings
	minCut     = 3500 * time.Millisecond
	maxLeavers = 8
	// linger is how long a server that leaves serves beyond drain_ms.
	linger = time.Second
)

// drainCase: one entry is cut off from the store. As the cut heals, a server leaves in the way of
// those that never report "draining": its registration is removed, and it serves on for drain_ms and a
// little longer. The other entry is in touch all the time.
func drainCase(t *test) int {
	ips := []string{"127.0.0.21", "127.0.0.22"}
	base := freePorts(ips, 24)
	s := newStore()
	s.put("keyed.op", "config", configuration())
	for n := range 3 {
		one := startServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), fmt.Sprintf("127.0.0.%d", 31+n), "zone-b")
		s.put(registrations, one.id, one.registration(1))
	}
	seeds := []string{net.JoinHostPort(ips[0], strconv.Itoa(base+2)), net.JoinHostPort(ips[1], strconv.Itoa(base+2))}
	entries := []*entry{
		newEntry(t.dir, "edge-a-1", "zone-a", ips[0], base, seeds, s.serve("edge-a-1")),
		newEntry(t.dir, "edge-b-1", "zone-b", ips[1], base, seeds, s.serve("edge-b-1")),
	}
	for _, e := range entries {
		e.start()
		defer e.stop()
	}
	for _, e := range entries {
		if !e.awaitReady() {
			panic(e.name + " does not become ready")
		}
	}
	time.Sleep(4 * time.Second) // longer than contact_ms
	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := &traffic{test: t, next: &atomic.Int64{}}
	go clients.run(ctx, "zone-a", func() string { return entries[0].front }, 30*time.Millisecond)
	for n := 1; n <= maxLeavers; n++ {
		if late := t.playLeaving(s, n); len(late) > 0 {
			return t.conclude(true, "DRAIN: %d requests of clients of edge-a-1, which is in touch, reached a server later than drain_ms after the store had acknowledged that it is gone", len(late))
		}
	}
	return t.conclude(false, "DRAIN: no request reached any of %d servers that left later than drain_ms", maxLeavers)
}

// playLeaving starts a server and lets it leave. It returns the requests that reached it too late.
func (t *test) playLeaving(s *store, n int) map[string]time.Time {
	one := startServer(fmt.Sprintf("i-%08x", 0x51c0aa10+n), fmt.Sprintf("127.0.0.%d", 40+n), "zone-a")
	s.put(registrations, one.id, one.registration(1))
	time.Sleep(3 * time.Second)
	var once sync.Once
	var goneAt time.Time
	gone := make(chan struct{})
	remove := func() {
		once.Do(func() {
			offset := s.put(registrations, one.id, nil)
			goneAt = time.Now()
			t.log("server %d (%s): the store has removed its registration, offset %d", n, one.id, offset)
			close(gone)
		})
	}
	if t.trouble {
		began := time.Now()
		t.log("edge-b-1 is cut off from the store")
		s.setCut("edge-b-1", func(_ string, r *http.Request) bool {
			if time.Since(began) < minCut || r.URL.Query().Get("topic") != registrations {
				return false
			}
			t.log("the cut heals after %.2f s", time.Since(began).Seconds())
			remove()
			return true
		})
	} else {
		time.Sleep(minCut)
		remove()
	}
	<-gone
	sleepUntil(goneAt.Add(drainTime + linger))
	_ = one.listener.Close()
	late := one.beganAfter(goneAt.Add(drainTime))
	for id, at := range late {
		t.log("server %d runs %s %.3f s after its removal", n, id, at.Sub(goneAt).Seconds())
	}
	t.log("server %d: %d requests reached it later than drain_ms", n, len(late))
	return late
}
