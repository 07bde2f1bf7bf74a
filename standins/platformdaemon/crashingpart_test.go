package platformdaemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

const (
	// crashPart is the ID of the prompt part that crashes its server.
	crashPart = "dead57a7"
	// contactTime is the platform's contact_ms.
	contactTime = 3 * time.Second
	// maxPartCrashes is the number of crashes after which a part is to be kept from all servers,
	// maxLateArrivals that of the requests that may reach a server later than contactTime after them.
	maxPartCrashes  = 5
	maxLateArrivals = 3
	// soundRequests is how many requests each sound caller sends in each phase.
	soundRequests = 30
	// denseInterval is the time between crashing requests where they are frequent, denseRequests
	// and rareRequests how many come before the sound requests are counted.
	denseInterval = 120 * time.Millisecond
	denseRequests = 40
	rareRequests  = 9
	// timeToCrash is how long a server begins to work on a request before it crashes.
	timeToCrash = 40 * time.Millisecond
)

// crashingPart records the requests with crashPart that reach servers.
type crashingPart struct {
	timeToCrash time.Duration

	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
}

// reached records a request that reached a server, and reports whether it has the part.
func (p *crashingPart) reached(h http.Header) bool {
	entries := strings.Split(h.Get("X-Prompt-Prefix"), ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == crashPart {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.arrivals = append(p.arrivals, time.Now())
			return true
		}
	}
	return false
}

func (p *crashingPart) recordCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// counts returns the number of crashes, and of the arrivals later than contactTime after the last of
// those that are tolerated.
func (p *crashingPart) counts() (crashes, late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < maxPartCrashes {
		return len(p.crashes), 0
	}
	bound := p.crashes[maxPartCrashes-1].Add(contactTime)
	for _, at := range p.arrivals {
		if at.After(bound) {
			late++
		}
	}
	return len(p.crashes), late
}

// partScenario are requests of which no two are alike, with one part that crashes servers.
type partScenario struct {
	name, path string
	// prefix is the crashing requests' prompt prefix, whose last part is the request's own.
	prefix string
	// rare requests come when the servers have recovered from the last one, others at an interval.
	rare     bool
	servers  int
	reuseIDs bool
	group    bool
}

// soundPrefixes share all but the crashing part with crashing requests.
var soundPrefixes = []string{"f00d:800,%x:50", "f00d:800,beef:30,%x:50"}

// crashingPartRun is a scenario in progress.
type crashingPartRun struct {
	partScenario
	d *deployment
	// requests numbers all requests, so that no two are alike.
	requests atomic.Int64
}

// sendCrashing sends crashing requests to the entries in turn until done is closed.
func (r *crashingPartRun) sendCrashing(sent *atomic.Int64, done chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		default:
		}
		n := r.requests.Add(1)
		send := func() {
			r.d.postPrompt(i%len(r.d.entries), r.path, fmt.Sprintf(r.prefix, n), fmt.Sprint("crashing ", n))
		}
		if r.rare {
			send()
			for entry := range r.d.entries {
				Eventually(func() bool { return r.sendSound(entry) }, testTimeout).Should(BeTrue())
			}
		} else {
			go send()
			time.Sleep(denseInterval)
		}
		sent.Add(1)
	}
}

// sendSound sends a sound request once and reports whether it was served.
func (r *crashingPartRun) sendSound(entry int) bool {
	n := r.requests.Add(1)
	prefix := fmt.Sprintf(soundPrefixes[n%int64(len(soundPrefixes))], n)
	status, _ := r.d.postPrompt(entry, r.path, prefix, fmt.Sprint("sound ", n))
	return status == http.StatusOK
}

// serveSound sends the requests of all sound callers, and returns how many were served at once.
func (r *crashingPartRun) serveSound() int64 {
	var callers sync.WaitGroup
	var served atomic.Int64
	for c := range healthyCallers {
		callers.Go(func() {
			for n := range soundRequests {
				if r.sendSound((c + n) % len(r.d.entries)) {
					served.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return served.Load()
}

// sendUntilQuarantined sends crashing requests one at a time until one is refused as quarantined.
func (r *crashingPartRun) sendUntilQuarantined() {
	Eventually(func() string {
		n := r.requests.Add(1)
		_, content := r.d.postPrompt(int(n)%len(r.d.entries), r.path, fmt.Sprintf(r.prefix, n), fmt.Sprint("crashing ", n))
		return content
	}, time.Minute, repeatPause).Should(ContainSubstring("quarantined"))
}

func TestQuarantineOfPromptPartSurvives(t *testing.T) {
	newRun := func(t *testing.T) *crashingPartRun {
		r := &crashingPartRun{partScenario: partScenario{path: "/once/x", prefix: "f00d:800," + crashPart + ":20,%x:50"}}
		r.d = newDeploymentOf(t, 2, serverCount, false)
		r.serveSound()
		return r
	}
	t.Run("a restart of all entries", func(t *testing.T) {
		r := newRun(t)
		r.sendUntilQuarantined()
		Eventually(r.d.quarantines, testTimeout).Should(BeNumerically(">", 0))
		before, _ := r.d.servers.parts.counts()
		r.d.stopEntries()
		for _, settings := range r.d.entries {
			r.d.stops = append(r.d.stops, start(platformdaemon.NewEntryDaemon(settings, nil, discardLog())))
		}
		r.expectNoCrash(before)
	})

	t.Run("an outage of the store, at an entry that starts during it", func(t *testing.T) {
		r := newRun(t)
		r.d.store.SetFaults(standin.Faults{Down: true})
		r.sendUntilQuarantined()
		before, _ := r.d.servers.parts.counts()
		Expect(before).To(BeNumerically("<=", maxPartCrashes))
		r.d.addEntry(true)
		r.expectNoCrash(before)
	})
}

// expectNoCrash sends crashing requests to all entries and expects none to crash a server after the
// given number of crashes.
func (r *crashingPartRun) expectNoCrash(before int) {
	r.d.awaitReady()
	for range fewAttempts {
		r.sendUntilQuarantined()
	}
	after, _ := r.d.servers.parts.counts()
	Expect(after).To(Equal(before))
}

// A part of a prompt that crashes servers must be kept from them, or requests of which no two are
// alike take down one server after the other.
func TestPromptPartThatCrashesServersIsQuarantined(t *testing.T) {
	for _, scenario := range []partScenario{
		{name: "in the middle, idempotent", path: "/again/x", prefix: "f00d:800," + crashPart + ":20,beef:30,%x:50", servers: 4},
		{name: "first, not idempotent, servers restart under their previous ID", path: "/once/x", prefix: crashPart + ":20,f00d:800,%x:50", servers: 4, reuseIDs: true},
		{name: "last but one, rare", path: "/again/x", prefix: "f00d:800,beef:30," + crashPart + ":20,%x:50", servers: 4, rare: true},
		{name: "with two servers", path: "/again/x", prefix: "f00d:800," + crashPart + ":20,%x:50", servers: 2},
		{name: "in a group", path: "/write/x", prefix: "f00d:800," + crashPart + ":20,%x:50", group: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			r := &crashingPartRun{partScenario: scenario}
			if scenario.group {
				r.d = newGroupDeployment(t)
			} else {
				r.d = newDeploymentOf(t, 3, scenario.servers, scenario.reuseIDs)
			}
			r.d.servers.parts.timeToCrash = timeToCrash
			before := r.serveSound()
			var sent atomic.Int64
			var sender sync.WaitGroup
			done := make(chan struct{})
			sender.Go(func() { r.sendCrashing(&sent, done) })
			enough := int64(denseRequests)
			if scenario.rare {
				enough = rareRequests
			}
			Eventually(sent.Load, time.Minute).Should(BeNumerically(">=", enough))
			after := r.serveSound()
			close(done)
			sender.Wait()
			crashes, late := r.d.servers.parts.counts()
			t.Logf("%d crashes, %d late arrivals, sound requests served at once: %d before, %d after", crashes, late, before, after)
			Expect(late).To(BeNumerically("<=", maxLateArrivals), "requests with the part that reached servers")
			Expect(crashes).To(BeNumerically("<=", maxPartCrashes), "servers crashed by one part")
			Expect(2*after).To(BeNumerically(">=", before), "sound requests served at the first attempt")
		})
	}
}
