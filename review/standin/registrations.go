package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// Registrations lapse after lapseTime. From then on, an outage ends with a read of edge-a-1 at
	// which the last read of edge-b-1 is retryGap old, so that edge-b-1's next one follows soon; from
	// anyReturn with any read of edge-a-1, and after maxOutage in any case.
	lapseTime   = 3 * heartbeat
	anyReturn   = 3950 * time.Millisecond
	maxOutage   = 4400 * time.Millisecond
	retryGap    = 300 * time.Millisecond
	recoverTime = 12 * time.Second // recover_s of the settings
	maxOutages  = 10
	// returnDelay is how long after the first read by an entry the servers' next heartbeats arrive.
	returnDelay = 10 * time.Millisecond
	// settleTime is longer than the grace that entries give to registrations that lapsed.
	settleTime = 2800 * time.Millisecond
)

// traffic sends requests of clients and counts them.
type traffic struct {
	*test
	sent, served atomic.Int64
	next         *atomic.Int64
}

// sample is a count of requests.
type sample struct{ sent, served int64 }

func (t *traffic) sample() sample { return sample{t.sent.Load(), t.served.Load()} }

func (s sample) since(before sample) sample {
	return sample{s.sent - before.sent, s.served - before.served}
}

func (s sample) share() float64 { return float64(s.served) / max(float64(s.sent), 1) }

// run sends requests at an interval until the context ends.
func (t *traffic) run(ctx context.Context, zone string, front func() string, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			go t.request(zone, front())
		case <-ctx.Done():
			return
		}
	}
}

// request sends a request, and once more if it is refused, each time on a new connection.
func (t *traffic) request(zone, front string) {
	t.sent.Add(1)
	const deadline = 1500 * time.Millisecond
	giveUpAt := time.Now().Add(deadline)
	for range 2 {
		id := fmt.Sprintf("%016x", t.next.Add(1))
		status, retryAfter, whole := t.attempt(id, front, time.Until(giveUpAt))
		outcome := fmt.Sprintf("%s client %s at %s: %d", id, zone, front, status)
		if status == http.StatusOK && whole {
			t.served.Add(1)
			t.log("%s, whole answer", outcome)
			return
		}
		t.log("%s", outcome)
		wait := min(retryAfter, time.Until(giveUpAt)/3)
		time.Sleep(wait)
		if time.Now().After(giveUpAt) {
			break
		}
	}
}

func (t *traffic) attempt(id, front string, left time.Duration) (status int, retryAfter time.Duration, whole bool) {
	client := http.Client{Timeout: max(left, time.Millisecond), Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request := must(http.NewRequest(http.MethodGet, "http://"+front+appPath, nil))
	request.Host = host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Api-Key", apiKey)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, 0, false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	signed := response.Header.Get("X-Server-Stamp") != ""
	return response.StatusCode, retryAfter, err == nil && signed && string(body) == "the answer to "+id
}

// registrationsCase: the store is down for some seconds, the registrations lapse, and the servers
// register again within two seconds of its return. They run all the time.
func registrationsCase(t *test) int {
	ips := []string{"127.0.0.21", "127.0.0.22"}
	base := freePorts(ips, 24)
	s := newStore()
	s.put("keyed.op", "config", configuration())
	var servers []*server
	for n := range 3 {
		one := startServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), fmt.Sprintf("127.0.0.%d", 31+n), []string{"zone-a", "zone-b", "zone-b"}[n])
		servers = append(servers, one)
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
	time.Sleep(2 * time.Second)

	ctx, end := context.WithCancel(context.Background())
	defer end()
	clients := &traffic{test: t, next: &atomic.Int64{}}
	// The clients are in zone-a, but for a tenth in zone-b.
	go clients.run(ctx, "zone-a", func() string { return entries[0].front }, 100*time.Millisecond)
	go clients.run(ctx, "zone-b", func() string { return entries[1].front }, time.Second)
	start := clients.sample()
	time.Sleep(4 * time.Second)
	before := clients.sample().since(start)
	t.log("before the outages: %d of %d requests served", before.served, before.sent)
	if before.share() < 0.25 {
		panic("under a quarter of the requests is served before the outages")
	}

	returned := time.Now()
	sequence := 1
	for n := 1; t.trouble && n <= maxOutages; n++ {
		sequence++
		returned = t.playOutage(s, servers, n, sequence)
		time.Sleep(settleTime)
		from := clients.sample()
		time.Sleep(time.Second)
		if recent := clients.sample().since(from); recent.share() < 0.25 {
			t.log("outage %d: %d of the last %d requests served; no further outage", n, recent.served, recent.sent)
			break
		}
	}
	sleepUntil(returned.Add(recoverTime))
	t.log("recover_s has passed since the store's return; edge-a-1 ready: %t, edge-b-1 ready: %t", entries[0].isReady(), entries[1].isReady())
	from := clients.sample()
	time.Sleep(6 * time.Second)
	after := clients.sample().since(from)
	end()
	return t.conclude(after.share() < 0.25, "RECOVER: %d of %d requests sent later than recover_s after the store's return were served, before %d of %d",
		after.served, after.sent, before.served, before.sent)
}

// playOutage plays one outage of the store, and returns the time of its return.
func (t *test) playOutage(s *store, servers []*server, n, sequence int) (returned time.Time) {
	t.log("outage %d: the store answers 503", n)
	s.setBusy("edge-a-1", true)
	s.setBusy("edge-b-1", true)
	began := time.Now()
	sleepUntil(began.Add(lapseTime))
	lapsed := int64(0)
	for _, one := range servers {
		lapsed = s.put(registrations, one.id, nil)
	}
	t.log("outage %d: the registrations lapsed, up to offset %d", n, lapsed)
	var once sync.Once
	registered := make(chan struct{})
	register := func(cause string) {
		once.Do(func() {
			for _, one := range servers {
				lapsed = s.put(registrations, one.id, one.registration(sequence))
			}
			t.log("outage %d: the servers are registered again, up to offset %d (%s)", n, lapsed, cause)
			close(registered)
		})
	}
	s.mu.Lock()
	s.onRead = func(caller string, end int64) {
		t.log("store: %s has read the registrations up to offset %d", caller, end-1)
		go func() {
			time.Sleep(returnDelay)
			register("heartbeats after the first read")
		}()
	}
	s.returns = func(caller string, r *http.Request, rejectedAt map[string]time.Time) bool {
		soon := time.Since(rejectedAt["edge-b-1"]) >= retryGap
		return caller == "edge-a-1" && r.URL.Query().Get("topic") == registrations && (soon || time.Since(began) >= anyReturn)
	}
	s.mu.Unlock()
	select {
	case <-registered:
	case <-time.After(time.Until(began.Add(maxOutage))):
		s.setBusy("edge-a-1", false)
	}
	s.setBusy("edge-b-1", false)
	s.mu.Lock()
	s.returns = func(string, *http.Request, map[string]time.Time) bool { return false }
	s.mu.Unlock()
	returned = time.Now()
	t.log("outage %d: the store serves all, %.2f s after it went down", n, returned.Sub(began).Seconds())
	select {
	case <-registered:
	case <-time.After(900 * time.Millisecond):
		register("heartbeats")
	}
	return returned
}
