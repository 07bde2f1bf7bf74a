package engine

import (
	"testing"

	"github.com/crowbridge/crowbridge/internal/experts"
)

// TestGroupCountsMixedPasses: the stand-in must notice what a broken holder does.
func TestGroupCountsPassesWithMixedMaps(t *testing.T) {
	for name, c := range map[string]struct {
		orders func(g *Group)
		mixed  int
	}{
		"all ranks armed": {orders: func(g *Group) {
			for rank := range 2 {
				g.execute(rank, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
			}
		}},
		"one rank armed": {mixed: 1, orders: func(g *Group) {
			g.execute(0, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
		}},
		"one rank armed while the other holds the pass": {orders: func(g *Group) {
			g.execute(0, experts.Command{Operation: experts.Arm, Version: 1, Pass: 3, Epoch: 1})
			g.execute(1, experts.Command{Operation: experts.Hold, Pass: 3, Epoch: 1})
		}},
		"armed in an epoch that is over": {orders: func(g *Group) {
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
			c.orders(g)
			for range 3 {
				g.BeginPass()
			}
			if got := g.State().MixedPasses; got != c.mixed {
				t.Fatalf("%d passes with two maps counted, want %d", got, c.mixed)
			}
		})
	}
}
