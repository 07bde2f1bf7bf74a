package engine

import (
	"testing"

	"github.com/crowbridge/crowbridge/internal/experts"
)

// The tests of map switches rely on this double to detect mixed maps.
func TestGroupCountsPassesWithMixedMaps(t *testing.T) {
	for name, c := range map[string]struct {
		commands func(g *Group)
		mixed    int
	}{
		"all ranks armed": {commands: func(g *Group) {
			for rank := range 2 {
				g.execute(rank, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
			}
		}},
		"one rank armed": {mixed: 1, commands: func(g *Group) {
			g.execute(0, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
		}},
		"one rank armed while the other holds the pass": {commands: func(g *Group) {
			g.execute(0, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
			g.execute(1, experts.Command{Operation: experts.Hold, Pass: 3, Epoch: 1})
		}},
		"armed in a past epoch": {commands: func(g *Group) {
			g.SetDown(1, true)
			g.SetDown(1, false)
			g.execute(0, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGroup(GroupOptions{Name: "g", Ranks: 2, Experts: 4, Layers: 1})
			for rank := range 2 {
				g.execute(rank, experts.Command{Operation: experts.Prepare, Version: 1, Epoch: 1, Map: [][][]int{{{0, 1}, {2, 3}}}})
			}
			c.commands(g)
			for range 3 {
				g.BeginPass()
			}
			if got := g.State().MixedPasses; got != c.mixed {
				t.Fatalf("got %d passes with mixed maps, want %d", got, c.mixed)
			}
		})
	}
}
