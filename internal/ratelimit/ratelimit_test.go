package ratelimit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A fleet of daemons on one clock, with a network that delays, loses and cuts messages, before
// one server that names a limit.

const (
	simStep   = 5 * time.Millisecond
	simServer = "server"
	simWindow = 4 * time.Second
	// simSettles is how long a server's word takes to hold everywhere.
	simSettles = 3 * time.Second
)

// simDaemon is one of the fleet.
type simDaemon struct {
	table *Table
	told  time.Time
	// side tells which daemons hear each other: those of the same.
	side int
	// frozenUntil is when it runs on; inbox keeps what comes before.
	frozenUntil time.Time
	inbox       []simMessage
	gone        bool
	// demand is how many requests a second it gets.
	demand float64
}

type simMessage struct {
	from string
	at   time.Time
	news *peerrpc.LimitNews
}

// sim is the fleet and its server.
type sim struct {
	random  *rand.Rand
	now     time.Time
	daemons []*simDaemon
	loss    float64
	delay   time.Duration
	limit   Word
	// changedAt is when the server named another limit last.
	changedAt time.Time
	// cutAt is when daemons were cut off from each other.
	cutAt []time.Time
	sent  []time.Time
	// byCustomer counts what customers got.
	byCustomer map[string]int
	customer   func(r *rand.Rand) string
	id         uint64
}

func newSim(seed uint64, daemons int, limit float64) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(9000, 0), delay: 4 * time.Millisecond,
		limit: Word{Named: true, PerSecond: limit}, byCustomer: map[string]int{},
		customer: func(*rand.Rand) string { return "" },
	}
	for range daemons {
		s.join()
	}
	return s
}

// join adds a daemon, where another one is: one that comes cut off from all others can't know of
// them, and sends by the whole limit.
func (s *sim) join() *simDaemon {
	s.id++
	d := &simDaemon{table: New(s.id, s.random.Float64), demand: 10}
	for _, other := range s.daemons {
		if !other.gone {
			d.side = other.side
		}
	}
	s.daemons = append(s.daemons, d)
	return d
}

// send delivers messages later, but for those lost or cut off.
func (s *sim) send(from int, messages []*peerrpc.LimitNews) {
	for _, m := range messages {
		for i, to := range s.daemons {
			if i == from || to.gone || to.side != s.daemons[from].side || s.random.Float64() < s.loss {
				continue
			}
			late := time.Duration(s.random.Float64() * float64(s.delay))
			to.inbox = append(to.inbox, simMessage{from: fmt.Sprint("d", from), at: s.now.Add(late), news: m})
		}
	}
}

// run lets a time pass.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		for i, d := range s.daemons {
			if d.gone || s.now.Before(d.frozenUntil) {
				continue
			}
			if !d.frozenUntil.IsZero() {
				d.frozenUntil = time.Time{}
				d.table.Woke(s.now)
			}
			s.step(i, d)
		}
	}
}

func (s *sim) step(i int, d *simDaemon) {
	var later []simMessage
	for _, m := range d.inbox {
		if m.at.After(s.now) {
			later = append(later, m)
			continue
		}
		d.table.Hear(m.from, m.news, s.now)
	}
	d.inbox = later
	if s.random.Float64() < d.demand*simStep.Seconds() {
		s.request(d)
	}
	messages := d.table.News(s.now)
	if s.now.Sub(d.told) >= d.table.Refresh() {
		d.told = s.now
		messages = d.table.State(s.now)
	}
	s.send(i, messages)
}

// request sends one to the server if it may be, and hears its word.
func (s *sim) request(d *simDaemon) {
	want := Want{Customer: s.customer(s.random)}
	if d.table.Left(simServer, want, s.now) > 0 || d.table.Take(simServer, want, s.now) > 0 {
		d.table.Refuse([]string{simServer}, want, s.now)
		return
	}
	s.sent = append(s.sent, s.now)
	s.byCustomer[want.Customer]++
	word := s.limit
	word.Asked, word.Heard = s.now.Add(-simStep/2), s.now
	d.table.Heard(simServer, word)
}

// disturb does something to the fleet at random.
func (s *sim) disturb() {
	d := s.daemons[s.random.IntN(len(s.daemons))]
	switch s.random.IntN(8) {
	case 0:
		s.join()
	case 1: // planned
		s.send(s.indexOf(d), []*peerrpc.LimitNews{d.table.Farewell()})
		d.gone = true
	case 2: // killed
		d.gone = true
	case 3:
		d.frozenUntil = s.now.Add(time.Duration(s.random.IntN(6000)) * time.Millisecond)
	case 4: // some are cut off
		s.cutAt = append(s.cutAt, s.now)
		for _, other := range s.daemons {
			other.side = s.random.IntN(2)
		}
	case 5:
		for _, other := range s.daemons {
			other.side = 0
		}
	case 6:
		s.loss = []float64{0, 0.03, 0.2}[s.random.IntN(3)]
		s.delay = []time.Duration{4, 20, 100}[s.random.IntN(3)] * time.Millisecond
	case 7:
		s.changedAt = s.now
		s.limit.PerSecond = []float64{0.2, 1, 1.1, 5, 20}[s.random.IntN(5)]
	}
}

func (s *sim) indexOf(d *simDaemon) int { return slices.Index(s.daemons, d) }

// alive counts the daemons that run.
func (s *sim) alive() (n int) {
	for _, d := range s.daemons {
		if !d.gone {
			n++
		}
	}
	return n
}

// since counts what was sent from a time on, worst the most in one window that began then.
func (s *sim) since(from time.Time) (count, worst int) {
	for i, at := range s.sent {
		if at.Before(from) {
			continue
		}
		count++
		n := 0
		for _, later := range s.sent[i:] {
			if later.Sub(at) < simWindow {
				n++
			}
		}
		worst = max(worst, n)
	}
	return count, worst
}

// allowedIn is what a server may get in a window; aim is what is aimed at: a limit and what one
// bucket holds.
func allowedIn(limit float64) int { return int(1.5*limit*simWindow.Seconds()) + 5 }

func TestLimitHoldsAndIsUsed(t *testing.T) {
	for _, c := range []struct {
		daemons int
		limit   float64
		toOne   bool
	}{
		{1, 1, true}, {8, 0.2, false}, {8, 0.2, true}, {8, 1, false}, {8, 1, true}, {8, 5, false}, {8, 40, false}, {34, 1, false},
	} {
		t.Run(fmt.Sprintf("%d daemons, %g a second, requests come to one: %t", c.daemons, c.limit, c.toOne), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(1, c.daemons, c.limit)
			for i, d := range s.daemons {
				d.demand = max(4*c.limit/float64(c.daemons), 1)
				if c.toOne {
					d.demand = 0
				}
				if c.toOne && i == 0 {
					d.demand = 4 * c.limit
				}
			}
			s.run(simSettles)
			from, counted := s.now, time.Duration(30/min(c.limit, 1)*float64(time.Second))
			s.run(counted)
			count, worst := s.since(from)
			t.Logf("used %.2f, worst %d of %d", float64(count)/c.limit/counted.Seconds(), worst, allowedIn(c.limit))
			g.Expect(worst).To(BeNumerically("<=", allowedIn(c.limit)))
			g.Expect(float64(count)).To(BeNumerically("<=", c.limit*counted.Seconds()+leastBurst+1))
			g.Expect(float64(count)).To(BeNumerically(">=", 0.8*c.limit*counted.Seconds()-1))
		})
	}
}

// addedByCuts is what cuts may have added to a window that began after a time: until it's
// noticed that the others are silent, and what the bucket of one side more held.
func (s *sim) addedByCuts(from time.Time) int {
	silence := silentRefreshes*refreshLeast + silentSlack
	added := 0.0
	for _, at := range s.cutAt {
		if at.After(from.Add(-silence)) {
			added += s.limit.PerSecond*(silence+burstTime).Seconds() + leastBurst + mostSpread/2
		}
	}
	return int(added)
}

// troubles is how many seeds TestLimitHoldsInTrouble plays.
var troubles = flag.Uint64("troubles", 10, "seeds of daemons, messages and limits in trouble")

func troubleSeeds() uint64 { return *troubles }

// TestLimitHoldsInTrouble: whatever happens to daemons, messages and the limit, the sum of all
// stays below what the server may get, also of those that are cut off from each other.
func TestLimitHoldsInTrouble(t *testing.T) {
	for seed := range troubleSeeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(seed, 8, 1)
			s.run(4 * time.Second)
			for range 12 {
				s.disturb()
				if s.alive() < 3 {
					s.join()
				}
				from := s.now.Add(-simWindow / 2)
				if settled := s.changedAt.Add(simSettles); settled.After(from) {
					from = settled
				}
				s.run(time.Duration(s.random.IntN(8000)) * time.Millisecond)
				_, worst := s.since(from)
				g.Expect(worst).To(BeNumerically("<=", allowedIn(s.limit.PerSecond)+s.addedByCuts(from)), "at %g a second, %d daemons, loss %g, delay %s", s.limit.PerSecond, len(s.daemons), s.loss, s.delay)
			}
		})
	}
}

func TestWhatIsLeftGoesToCustomersInTurn(t *testing.T) {
	g := NewWithT(t)
	s := newSim(3, 8, 2)
	s.customer = func(r *rand.Rand) string { // one asks for nine in ten
		if r.IntN(10) > 0 {
			return "busy"
		}
		return fmt.Sprint("c", r.IntN(4))
	}
	s.run(60 * time.Second)
	all := len(s.sent)
	for c := range 4 {
		g.Expect(s.byCustomer[fmt.Sprint("c", c)]).To(BeNumerically(">=", all/5/2), "of %d requests: %v", all, s.byCustomer)
	}
	g.Expect(s.byCustomer["busy"]).To(BeNumerically(">=", all/5/2), "%v", s.byCustomer)
}

func TestALimitThatEndsRisesOrFallsHoldsSoon(t *testing.T) {
	for _, c := range []struct {
		name   string
		before float64
		after  Word
		within func(n int) bool
	}{
		{"ends", 1, Word{}, func(n int) bool { return n >= 8*10*2 }},
		{"rises", 0.2, Word{Named: true, PerSecond: 10}, func(n int) bool { return n >= 16 && n <= 35 }},
		{"rises from none at all", 0, Word{Named: true, PerSecond: 10}, func(n int) bool { return n <= 35 }},
		{"falls", 40, Word{Named: true, PerSecond: 1}, func(n int) bool { return n >= 1 && n <= 4 }},
		{"falls to none at all", 40, Word{Named: true}, func(n int) bool { return n <= 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSim(4, 8, c.before)
			s.run(20 * time.Second)
			s.limit = c.after
			for last := len(s.sent); len(s.sent) == last && c.before > 0; {
				s.run(10 * time.Millisecond) // it can only say so in an answer
			}
			s.run(500 * time.Millisecond)
			from := s.now
			s.run(2500 * time.Millisecond)
			n, _ := s.since(from)
			g.Expect(c.within(n)).To(BeTrue(), "%d requests in 2.5 s", n)
		})
	}
}

func TestAServerThatTakesNothingIsStillAsked(t *testing.T) {
	g := NewWithT(t)
	s := newSim(5, 3, 0)
	s.run(5 * time.Minute)
	g.Expect(len(s.sent)).To(BeNumerically("~", 10, 3), "one in 30 s: it could never say that it takes more")
	s.limit = Word{}
	s.run(40 * time.Second)
	g.Expect(len(s.sent)).To(BeNumerically(">", 100), "it has said so")
}

// TestLaterWordsHold: in whatever order answers come, a word holds until a later one, and never
// gives way to one that allows more and may be older.
func TestLaterWordsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type said struct {
			spoke time.Time
			word  Word
		}
		start := time.Unix(7000, 0)
		var all []said
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			asked := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "asked")) * time.Millisecond)
			spoke := asked.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "way there")) * time.Millisecond)
			heard := spoke.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "way back")) * time.Millisecond)
			all = append(all, said{spoke: spoke, word: Word{Asked: asked, Heard: heard}})
		}
		// The server names its limit at one time, and ends it at another.
		named, ended := rapid.IntRange(0, 1100).Draw(t, "named"), rapid.IntRange(0, 1100).Draw(t, "ended")
		for i := range all {
			at := int(all[i].spoke.Sub(start).Milliseconds())
			all[i].word.Named = at >= named && at < ended
		}
		var holds Word
		last := all[0]
		for _, s := range all {
			holds = s.word.after(holds)
			if s.spoke.After(last.spoke) {
				last = s
			}
		}
		newest := true // nothing else overlaps what was said last
		for _, s := range all {
			newest = newest && (s == last || s.word.Heard.Before(last.word.Asked))
		}
		if newest && holds.Named != last.word.Named {
			t.Fatalf("said last: %+v, holds: %+v", last.word, holds)
		}
		if last.word.Named && !holds.Named {
			t.Fatalf("named last, by %+v, and held for ended: %+v", last.word, holds)
		}
	})
}
