//go:build !race

package group

import "testing"

// TestOneMapInEveryStep explores the protocol. Explorations without a restart
// are exhaustive; those with one are bounded, breadth first.
func TestOneMapInEveryStep(t *testing.T) {
	for _, test := range []struct {
		name     string
		bounds   bounds
		complete bool
	}{
		{"a switch, and a second holder", bounds{from: startFormed, wants: 1, states: 200_000}, true},
		{"a promised switch, a second holder and another switch", bounds{from: startProposed, wants: 2, states: 200_000}, true},
		{"a promised switch, a second holder and a restart", bounds{from: startProposed, wants: 1, restarts: 1, states: 60_000}, false},
		{"a group that has stepped, a lost engine and a second holder", bounds{from: startStepped, losses: 1, states: 60_000}, false},
		{"a half-committed switch, a lost engine and a second holder", bounds{from: startHalf, losses: 1, wants: 1, states: 60_000}, false},
		{"a group that has stepped, a lost engine and a switch", bounds{from: startStepped, losses: 1, wants: 1, states: 60_000}, false},
		{"a new group, two holders and a restart", bounds{from: startNew, restarts: 1, states: 60_000}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := &checker{bounds: test.bounds}
			states, complete := c.run()
			t.Logf("%d states, all of them: %t", states, complete)
			if c.violate != "" {
				t.Fatal(c.violate)
			}
			if complete != test.complete {
				t.Fatalf("explored all: %t, want %t", complete, test.complete)
			}
		})
	}
}

// TestMutantsAreFound shows that the exploration notices when a safeguard is
// missing.
func TestMutantsAreFound(t *testing.T) {
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			c := &checker{bounds: m.bounds, mutant: m}
			states, _ := c.run()
			if c.violate == "" {
				t.Fatalf("not found in %d states", states)
			}
			t.Logf("found after %d states: %s", states, c.violate)
		})
	}
}

// TestGroupStepsAgain: from every state that an exploration meets, once faults
// are over and the newest holder's orders arrive, the group steps again and the
// holder can switch maps.
func TestGroupStepsAgain(t *testing.T) {
	for _, b := range []bounds{
		{from: startNew, wants: 2, restarts: 1, states: 8_000},
		{from: startFormed, wants: 2, restarts: 1, states: 8_000},
		{from: startProposed, wants: 2, restarts: 1, states: 8_000},
		{from: startStepped, wants: 1, losses: 2, states: 8_000},
		{from: startHalf, wants: 1, losses: 1, restarts: 1, states: 8_000},
	} {
		c := &checker{bounds: b}
		c.visit = func(s *state) {
			if !s.clone().recovers() {
				t.Fatal("the group stays stuck")
			}
		}
		c.run()
	}
}

// recovers runs the group without faults: a third holder takes over, orders all
// arrive, and engines step.
func (s *state) recovers() bool {
	const rounds = 200
	holder := NewHolder(int64(len(s.holders))+1, modelRanks, 1)
	first := int64(0)
	for i := range s.ranks {
		first = max(first, s.ranks[i].Plan.Step)
	}
	var wanted Version
	for range rounds {
		for _, a := range holder.Orders() {
			holder.Handle(a.Rank, a.Order, s.ranks[a.Rank].Handle(a.Order))
		}
		if v, ok := holder.Want(); ok && wanted == 0 {
			wanted = v
		}
		s.stepAll()
		if wanted != 0 && s.allUse(wanted) && s.ranks[0].Plan.Step > first {
			return true
		}
	}
	return false
}

func (s *state) stepAll() {
	next := s.ranks[0].Plan.Step + 1
	for i := range s.ranks {
		next = min(next, s.ranks[i].Plan.Step+1)
	}
	for i := range s.ranks {
		r := &s.ranks[i]
		if r.Plan.Step < next && r.Grant(next) >= next {
			r.Began(next)
		}
	}
}

func (s *state) allUse(v Version) bool {
	for i := range s.ranks {
		if s.ranks[i].Plan.InUse.Version < v {
			return false
		}
	}
	return true
}
