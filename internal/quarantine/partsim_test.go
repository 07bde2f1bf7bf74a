package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crowbridge/crowbridge/internal/quarantine"
	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"
)

// deploymentSim simulates daemons and servers in virtual time. Requests with the part "bad", of which
// no two are alike, crash servers; sound ones share their other parts.
type deploymentSim struct {
	random  *rand.Rand
	now     time.Time
	tables  []*quarantine.Table
	servers []simServer
	running []simRequest
	due     []simMessage
	// group is set if the crash of one server stops all of them.
	group bool
	// interval is the time between two crashing requests, soundInterval that between sound ones.
	interval, soundInterval time.Duration
	// crashTime and soundTime are how long requests run; a crash is known after detection to the
	// daemons with requests there, after delivery to the others.
	crashTime, soundTime, detection, delivery, restart time.Duration
	// retries is how often a daemon sends a request to another server by itself.
	retries int

	crashes, starts, sent, early         int
	firstCrash                           time.Time
	soundSent, soundServed, soundRefused int
	openAt                               time.Time
}

type simServer struct {
	name   string
	openAt time.Time
}

type simRequest struct {
	f       quarantine.Fingerprint
	parts   []string
	daemon  int
	server  int
	name    string
	endsAt  time.Time
	retries int
}

func (r simRequest) crashes() bool { return slices.Contains(r.parts, "bad") }

// simMessage is called at a time.
type simMessage struct {
	at   time.Time
	call func()
}

func (s *deploymentSim) after(d time.Duration, call func()) {
	s.due = append(s.due, simMessage{at: s.now.Add(d), call: call})
}

// publish delivers evidence of one daemon to the others, which add what they know.
func (s *deploymentSim) publish(from int, evidence []quarantine.Evidence) {
	if len(evidence) == 0 {
		return
	}
	for to, table := range s.tables {
		if to != from {
			s.after(s.delivery, func() {
				added := table.Merge(evidence, s.now)
				s.after(time.Duration(s.random.Int64N(int64(maxContextDelay))), func() { s.publish(to, table.AddContext(added, s.now)) })
			})
		}
	}
}

// send sends a request to the server that its daemon chooses, if the daemon's table permits it.
func (s *deploymentSim) send(r simRequest) {
	table := s.tables[r.daemon]
	decision := table.Admit(r.f, s.now)
	if decision.State != quarantine.Healthy && decision.State != quarantine.Suspect {
		s.refuse(r)
		return
	}
	var open []string
	for _, server := range s.servers {
		if !s.now.Before(server.openAt) {
			open = append(open, server.name)
		}
	}
	if len(open) == 0 || s.now.Before(s.openAt) {
		table.Done(r.f.Digest)
		return
	}
	name := open[s.random.IntN(len(open))]
	if decision.State == quarantine.Suspect {
		name = decision.Isolation.Order(open)[0]
	}
	r.server = slices.IndexFunc(s.servers, func(server simServer) bool { return server.name == name })
	r.name, r.endsAt = name, s.now.Add(s.soundTime)
	if r.crashes() {
		r.endsAt = s.now.Add(s.crashTime)
	}
	s.running = append(s.running, r)
}

func (s *deploymentSim) refuse(r simRequest) {
	if !r.crashes() {
		s.soundRefused++
	}
}

// end ends a request: it is served, or crashes its server.
func (s *deploymentSim) end(r simRequest) {
	table := s.tables[r.daemon]
	if r.crashes() {
		s.crash(r.server)
		return
	}
	table.Done(r.f.Digest)
	s.soundServed++
	table.RecordServed("m", promptParts(r.parts), s.now)
	s.publish(r.daemon, table.RecordSuccess(r.f))
}

// crash ends a server, and all requests there or in its group.
func (s *deploymentSim) crash(index int) {
	if s.crashes == 0 {
		s.firstCrash = s.now
	}
	s.crashes++
	s.starts++
	name := s.servers[index].name
	s.servers[index] = simServer{name: fmt.Sprint("r", index, "-", s.starts), openAt: s.now.Add(s.restart)}
	if s.group {
		s.openAt = s.now.Add(s.restart)
	}
	crashedAt := s.now
	var lost []simRequest
	s.running = slices.DeleteFunc(s.running, func(r simRequest) bool {
		ends := s.group || r.server == index
		if ends {
			lost = append(lost, r)
		}
		return ends
	})
	for _, r := range lost {
		table := s.tables[r.daemon]
		table.RecordConnectionLoss(r.f, r.name, s.now)
		table.Done(r.f.Digest)
		s.after(s.detection, func() {
			if r.name == name {
				s.publish(r.daemon, table.MarkExited(name, s.now))
				return
			}
			table.MarkAlive(r.name, crashedAt)
		})
	}
	for _, r := range lost {
		if r.retries > 0 && !s.group {
			r.retries--
			s.send(r)
		}
	}
}

// maxContextDelay is the longest delay before a daemon adds what it knows to evidence.
const maxContextDelay = 100 * time.Millisecond

// simStep is the resolution of the simulation.
const simStep = 5 * time.Millisecond

// step advances the time.
func (s *deploymentSim) step() {
	s.now = s.now.Add(simStep)
	for i := 0; i < len(s.due); {
		if message := s.due[i]; !s.now.Before(message.at) {
			s.due = slices.Delete(s.due, i, i+1)
			message.call()
			continue
		}
		i++
	}
	for {
		i := slices.IndexFunc(s.running, func(r simRequest) bool { return !s.now.Before(r.endsAt) })
		if i < 0 {
			return
		}
		r := s.running[i]
		s.running = slices.Delete(s.running, i, i+1)
		if r.crashes() {
			s.running = append(s.running, r) // among those that the crash ends
		}
		s.end(r)
	}
}

// newRequest returns a request that comes to a random daemon.
func (s *deploymentSim) newRequest(parts ...string) simRequest {
	return simRequest{f: request(parts...), parts: parts, daemon: s.random.IntN(len(s.tables)), retries: s.retries}
}

// run sends sound requests for a time, and crashing ones if there are any.
func (s *deploymentSim) run(d time.Duration, crashing bool) {
	places := [][]string{{"bad", "popular"}, {"popular", "bad"}, {"popular", "bad", "other"}}
	nextSound, nextCrashing := s.now, s.now
	for end := s.now.Add(d); s.now.Before(end); s.step() {
		for ; !s.now.Before(nextSound); nextSound = nextSound.Add(s.soundInterval) {
			s.soundSent++
			s.send(s.newRequest([][]string{{"popular"}, {"popular", "other"}}[s.soundSent%2]...))
		}
		if !crashing || s.now.Before(nextCrashing) {
			continue
		}
		nextCrashing = nextCrashing.Add(s.interval)
		s.sent++
		if s.crashes == 0 || s.now.Before(s.firstCrash.Add(s.detection+s.delivery)) {
			s.early++
		}
		s.send(s.newRequest(places[s.sent%len(places)]...))
	}
}

// However many daemons and servers there are, a part may crash five servers, besides those that its
// requests reached before the first crash was known, and sound requests are served as before.
var _ = It("a part that crashes servers is quarantined after few crashes in all", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		s := &deploymentSim{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: start,
			tables: make([]*quarantine.Table, rapid.SampledFrom([]int{1, 3, 8, 30}).Draw(t, "daemons")),
			group:  rapid.Bool().Draw(t, "group"),
		}
		draw := func(name string, from, to int) time.Duration {
			return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
		}
		s.crashTime, s.detection, s.delivery = draw("crash", 1, 250), draw("detection", 5, 120), draw("delivery", 1, 20)
		known := s.crashTime + s.detection + s.delivery
		s.interval = draw("interval", 20, 3000)
		s.soundInterval, s.soundTime, s.restart = draw("sound", 5, 30), draw("soundTime", 20, 800), draw("restart", 400, 5000)
		s.retries = rapid.IntRange(0, 1).Draw(t, "retries")
		for i := range s.tables {
			s.tables[i] = quarantine.NewTable()
		}
		for i := range rapid.SampledFrom([]int{2, 4, 16, 256}).Draw(t, "servers") {
			s.servers = append(s.servers, simServer{name: fmt.Sprint("r", i, "-0")})
		}
		const warmUp, attack, measured = 2 * time.Second, 7, 3 * time.Second
		s.run(warmUp, false)
		s.run(attack*(s.restart+s.interval+known), true)
		s.soundSent, s.soundServed, s.soundRefused = 0, 0, 0
		s.run(measured, true)
		bound := 5
		if s.interval < known {
			bound += s.early * (1 + s.retries)
		}
		if s.crashes > bound {
			t.Fatalf("%d crashes by %d requests, %d of them before the first crash was known", s.crashes, s.sent, s.early)
		}
		if s.soundRefused > 0 || 2*s.soundServed < s.soundSent {
			t.Fatalf("%d of %d sound requests served, %d refused", s.soundServed, s.soundSent, s.soundRefused)
		}
	})
})
