package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceTime = 8 * time.Second // grace_s of the settings
	// connectAt and sendAt are when a client opens its connection and begins to send its request, and
	// when it has sent the rest of the body, after the SIGTERM.
	connectAt = 2200 * time.Millisecond
	sendAt    = 3200 * time.Millisecond
	// streamEvents and eventGap give a stream of 4.4 s, which ends before the SIGKILL.
	streamEvents = 60
	eventGap     = 73 * time.Millisecond
	stopClients  = 4
)

// streamResult is what a client saw of one stream.
type streamResult struct {
	id             string
	sentAt, endsAt time.Time
	status         string
	events         int
	whole          bool
	err            error
}

// stopCase: an entry is stopped in a planned way while clients that are already connected send
// requests.
func stopCase(t *test) int {
	ips := []string{"127.0.0.21"}
	base := freePorts(ips, 24)
	s := newStore()
	s.put("keyed.op", "config", configuration())
	one := startServer("i-7f3a91c2", "127.0.0.31", "zone-a")
	one.events, one.gap = streamEvents, eventGap
	s.put(registrations, one.id, one.registration(llmService, 1))
	e := newEntry(t.dir, "edge-a-1", "zone-a", ips[0], base, nil, s.serve("edge-a-1"))
	e.start()
	defer e.stop()
	if !e.awaitReady() {
		panic("the entry does not become ready")
	}
	time.Sleep(4 * time.Second) // longer than contact_ms
	stoppedAt := time.Now()
	if t.trouble {
		t.log("SIGTERM")
		e.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() {
			t.log("SIGKILL after grace_s")
			e.signal(syscall.SIGKILL)
		})
	}
	results := make([]streamResult, stopClients)
	var clients sync.WaitGroup
	for n := range results {
		clients.Go(func() {
			step := time.Duration(n) * 50 * time.Millisecond
			results[n] = t.stream(e, fmt.Sprintf("%016x", n+1), stoppedAt.Add(connectAt+step), stoppedAt.Add(sendAt+step))
		})
	}
	clients.Wait()
	lost, complete := 0, 0
	for _, r := range results {
		began, finished := one.ran(r.id)
		late := r.sentAt.Sub(stoppedAt) > 3*time.Second
		inTime := r.endsAt.Before(stoppedAt.Add(graceTime+time.Second)) && r.endsAt.Sub(r.sentAt) < 8*time.Second
		t.log("%s: sent at +%.3f s, ended at +%.3f s: %s, %d events, whole: %t (%v); server began it: %t, sent all of it: %t",
			r.id, r.sentAt.Sub(stoppedAt).Seconds(), r.endsAt.Sub(stoppedAt).Seconds(), r.status, r.events, r.whole, r.err, began, finished)
		switch {
		case r.whole:
			complete++
		case began && !finished && late && inTime:
			lost++
		}
	}
	if t.trouble {
		return t.conclude(lost > 0, "LOST: %d of %d requests were sent later than 3 s after the SIGTERM, reached a server, and ended without a complete answer", lost, len(results))
	}
	return t.conclude(complete < len(results), "%d of %d requests were answered in full", complete, len(results))
}

// stream opens a connection, sends one request on it and reads the answer.
func (t *test) stream(e *entry, id string, connectAt, sendAt time.Time) (r streamResult) {
	r.id = id
	sleepUntil(connectAt)
	conn, err := net.DialTimeout("tcp", e.front, time.Second)
	if err != nil {
		r.err, r.sentAt, r.endsAt = err, time.Now(), time.Now()
		return r
	}
	defer func() { _ = conn.Close() }()
	t.log("%s: connected", id)
	body := strings.Repeat("a prompt ", 100)
	request := strings.Join([]string{
		"POST " + llmPath + " HTTP/1.1", "Host: " + host, "X-Attempt-Id: " + id, "X-Model: m", "X-Token-Usage: 1460,80",
		"X-Prompt-Prefix: 5c1e07a2:40,91bd3f06:410", "X-Deadline-Ms: 8000", "X-Api-Key: " + apiKey, fmt.Sprintf("Content-Length: %d", len(body)), "", body,
	}, "\r\n")
	half := len(request) - len(body)/2
	defer func() { r.endsAt = time.Now() }()
	if _, r.err = conn.Write([]byte(request[:half])); r.err != nil {
		return r
	}
	sleepUntil(sendAt)
	r.sentAt = time.Now()
	if _, r.err = conn.Write([]byte(request[half:])); r.err != nil {
		return r
	}
	t.log("%s: request sent whole", id)
	check(conn.SetReadDeadline(time.Now().Add(8 * time.Second)))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.err = err
		return r
	}
	r.status = response.Status
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			r.events++
		}
	}
	r.err = lines.Err()
	r.whole = r.err == nil && (response.StatusCode != http.StatusOK || r.events == streamEvents)
	return r
}
