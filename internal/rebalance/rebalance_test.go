package rebalance

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The fixed seed keeps CI deterministic.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func drawShape(t *rapid.T) Shape {
	shape := Shape{
		Ranks:   rapid.IntRange(1, 12).Draw(t, "ranks"),
		Experts: rapid.IntRange(1, 24).Draw(t, "experts"),
		Layers:  rapid.IntRange(1, 3).Draw(t, "layers"),
	}
	minSlots := (shape.Experts + shape.Ranks - 1) / shape.Ranks
	shape.Slots = rapid.IntRange(minSlots, max(minSlots, min(shape.Experts, minSlots+3))).Draw(t, "slots")
	return shape
}

func drawPopularity(t *rapid.T, shape Shape) Popularity {
	p := NewPopularity(shape)
	for layer := range p {
		for expert := range p[layer] {
			p[layer][expert] = rapid.Float64Range(0, 100).Draw(t, "popularity")
		}
	}
	return p
}

func drawSpeeds(t *rapid.T, ranks int) []float64 {
	speeds := make([]float64, ranks)
	for rank := range speeds {
		speeds[rank] = rapid.Float64Range(0.2, 1).Draw(t, "speed")
	}
	return speeds
}

// TestPlansKeepAllExpertsAndNeverAddSkew checks that after any plan every expert has a
// replica, no rank holds an expert twice, and the skew hasn't grown.
func TestPlansKeepAllExpertsAndNeverAddSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		p, err := NewPlacement(shape)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Validate(); err != nil {
			t.Fatal(err)
		}
		planner := NewPlanner(shape)
		for range 3 {
			popularity, speeds := drawPopularity(t, shape), drawSpeeds(t, shape.Ranks)
			before := p.Skew(popularity, speeds)
			options := Options{SkewWeight: 1, CostWeight: rapid.Float64Range(0, 5).Draw(t, "cost"), MaxMoves: 1000}
			moves := planner.Plan(p, popularity, speeds, options)
			p.Apply(moves)
			if err := p.Validate(); err != nil {
				t.Fatal(err)
			}
			if after := p.Skew(popularity, speeds); after > before*(1+1e-9) {
				t.Fatalf("skew is %[2]g after %[1]d moves, was %[3]g", len(moves), after, before)
			}
		}
	})
}

// TestLayerTimesMatchRecount checks that the times that are updated step by step equal
// those recomputed from the placement.
func TestLayerTimesMatchRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		shape.Layers = 1
		p, err := NewPlacement(shape)
		if err != nil {
			t.Fatal(err)
		}
		popularity, speeds := drawPopularity(t, shape), drawSpeeds(t, shape.Ranks)
		l := newLayer(shape)
		l.load(p, 0, popularity[0], speeds)
		for range 20 {
			best, found := l.bestStep(0)
			if !found {
				break
			}
			hot, slowest := l.slowestRank(), l.slowestTime()
			l.applyStep(best)
			p.Apply(best.moves[:best.length])
			fresh := newLayer(shape)
			fresh.load(p, 0, popularity[0], speeds)
			for rank := range l.times {
				if math.Abs(l.times[rank]-fresh.times[rank]) > 1e-6 {
					t.Fatalf("rank %d: time is %g, recomputed %g", rank, l.times[rank], fresh.times[rank])
				}
			}
			for _, rank := range []int{hot, best.moves[0].Rank} {
				if fresh.times[rank] >= slowest+1e-9 {
					t.Fatalf("after a step, rank %d has time %g, the slowest had %g", rank, fresh.times[rank], slowest)
				}
			}
		}
	})
}

func TestRepackPlacesNoExpertTwiceOnARank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := drawShape(t)
		p := Repack(shape, drawPopularity(t, shape), drawSpeeds(t, shape.Ranks))
		for rank := range shape.Ranks {
			held := p.rank(0, rank)
			for slot, expert := range held {
				if contains(held[:slot], expert) {
					t.Fatalf("rank %d holds expert %d twice", rank, expert)
				}
			}
		}
	})
}

func TestMoveCostSuppressesMoves(t *testing.T) {
	shape := Shape{Ranks: 4, Experts: 8, Layers: 1, Slots: 4}
	p, err := NewPlacement(shape)
	if err != nil {
		t.Fatal(err)
	}
	popularity := NewPopularity(shape)
	for expert := range popularity[0] {
		popularity[0][expert] = float64(1 + expert*expert)
	}
	speeds := []float64{1, 1, 1, 1}
	planner := NewPlanner(shape)
	cheap := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, CostWeight: 0.01, MaxMoves: 100})
	expensive := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, CostWeight: 1000, MaxMoves: 100})
	if len(cheap) == 0 || len(expensive) != 0 {
		t.Fatalf("got %d moves at low cost, %d at high cost, want some and none", len(cheap), len(expensive))
	}
	p.Apply(cheap)
	if more := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, CostWeight: 0.01, MaxMoves: 100}); len(more) != 0 {
		t.Fatalf("%d more moves after the plan was applied", len(more))
	}
	if none := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: 0}); len(none) != 0 {
		t.Fatalf("%d moves with a limit of 0", len(none))
	}
}

// TestPlansRespectMaxNewPerRank checks that a plan doesn't exceed the number of experts
// of a layer that an engine accepts per command, including those for empty slots.
func TestPlansRespectMaxNewPerRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Shape{
			Ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), Experts: rapid.IntRange(4, 24).Draw(t, "experts"), Layers: 2,
		}
		minSlots := (shape.Experts + shape.Ranks - 1) / shape.Ranks
		shape.Slots = minSlots + rapid.IntRange(0, 2).Draw(t, "spare slots")
		bound := rapid.IntRange(1, 3).Draw(t, "bound")
		lists := make([][][]int, shape.Layers)
		for layer := range lists {
			lists[layer] = make([][]int, shape.Ranks)
			for expert := range shape.Experts {
				rank := expert % shape.Ranks
				lists[layer][rank] = append(lists[layer][rank], expert)
			}
		}
		p, err := NewPlacementFromLists(shape, lists)
		if err != nil {
			t.Fatal(err)
		}
		planner := NewPlanner(shape)
		for range 4 {
			popularity := drawPopularity(t, shape)
			next := p.Clone()
			next.Apply(planner.Plan(p, popularity, drawSpeeds(t, shape.Ranks), Options{
				SkewWeight: 1, MaxMoves: 1000, MaxNewPerRank: bound,
			}))
			if err := next.Validate(); err != nil {
				t.Fatal(err)
			}
			for layer := range shape.Layers {
				for rank := range shape.Ranks {
					added := 0
					for _, expert := range next.rank(layer, rank) {
						if expert != Empty && !contains(p.rank(layer, rank), expert) {
							added++
						}
					}
					if added > bound {
						t.Fatalf("layer %d, rank %d: %d new experts, want at most %d", layer, rank, added, bound)
					}
				}
			}
			p = next
		}
	})
}

// TestLargeLayersArePlannedInParts checks that a layer that needs more than MaxMoves
// still makes progress and is completed by later plans.
func TestLargeLayersArePlannedInParts(t *testing.T) {
	shape := Shape{Ranks: 8, Experts: 32, Layers: 2, Slots: 6}
	p, err := NewPlacement(shape)
	if err != nil {
		t.Fatal(err)
	}
	popularity := NewPopularity(shape)
	for layer := range popularity {
		for expert := range popularity[layer] {
			popularity[layer][expert] = 1 / float64(expert+1)
		}
	}
	planner, speeds := NewPlanner(shape), []float64{1, 1, 1, 1, 1, 1, 1, 1}
	full := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: 1000})
	bound := len(full)/2 - 1
	partial := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: bound})
	if len(partial) == 0 || len(partial) > bound {
		t.Fatalf("%d moves of a plan of %d, want 1 to %d", len(partial), len(full), bound)
	}
	for range 100 {
		p.Apply(planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: bound}))
		if err := p.Validate(); err != nil {
			t.Fatal(err)
		}
	}
	if left := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: 1000}); len(left) != 0 {
		t.Fatalf("%d moves remain", len(left))
	}
}

// jumpedDemand returns a round-robin placement, and a demand that strongly favors other
// experts in each layer, for ranks of equal speed.
func jumpedDemand(t testing.TB) (*Placement, Popularity, []float64) {
	t.Helper()
	shape := Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11}
	p, err := NewPlacement(shape)
	if err != nil {
		t.Fatal(err)
	}
	popularity, speeds := NewPopularity(shape), make([]float64, shape.Ranks)
	for rank := range speeds {
		speeds[rank] = 1
	}
	for layer := range popularity {
		for place := range popularity[layer] {
			popularity[layer][(place*7+layer*31)%shape.Experts] = math.Pow(float64(place+1), -1.3)
		}
	}
	return p, popularity, speeds
}

// meanSkew returns the mean skew over a period of consecutive plans, each of which
// takes effect once its copies are made.
func meanSkew(t testing.TB, period time.Duration, timing Timing, plan func(*Placement, Popularity, []float64) []Move) float64 {
	t.Helper()
	p, popularity, speeds := jumpedDemand(t)
	total, elapsed := 0.0, time.Duration(0)
	for elapsed < period {
		next := p.Clone()
		next.Apply(plan(p, popularity, speeds))
		duration := min(timing.Switch+time.Duration(p.MaxLoads(next))*timing.Copy, period-elapsed)
		total += duration.Seconds() * p.Skew(popularity, speeds)
		elapsed, p = elapsed+duration, next
	}
	return total / period.Seconds()
}

// TestPlansAccountForCopyTime checks that if copies are slow, plans by gain rate leave
// less skew over time than plans that ignore copy time, and if they are fast, no more.
func TestPlansAccountForCopyTime(t *testing.T) {
	for _, example := range []struct {
		copy     time.Duration
		maxRatio float64
	}{
		{copy: 400 * time.Millisecond, maxRatio: 0.85},
		{copy: 40 * time.Millisecond, maxRatio: 1.02},
	} {
		timing := Timing{Copy: example.copy, Switch: 300 * time.Millisecond}
		planner := NewPlanner(Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11})
		with := func(timing Timing) func(*Placement, Popularity, []float64) []Move {
			return func(p *Placement, popularity Popularity, speeds []float64) []Move {
				return planner.Plan(p, popularity, speeds, Options{
					SkewWeight: 1, CostWeight: 1, MaxMoves: 170, MaxNewPerRank: 4, TargetRatio: 1.12, Timing: timing,
				})
			}
		}
		const period = 4 * time.Second
		timed, atOnce := meanSkew(t, period, timing, with(timing)), meanSkew(t, period, timing, with(Timing{}))
		t.Logf("copies of %s: mean skew %.3f, ignoring copy time %.3f", example.copy, timed, atOnce)
		if timed > example.maxRatio*atOnce {
			t.Errorf("copies of %s: mean skew %.3f, want at most %.2f of %.3f", example.copy, timed, example.maxRatio, atOnce)
		}
	}
}

// TestFasterCopiesNeverIncreaseSkew checks that more bandwidth never makes plans worse.
func TestFasterCopiesNeverIncreaseSkew(t *testing.T) {
	const tolerance = 1.02 // batches of whole copies rarely end exactly with the period
	planner := NewPlanner(Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11})
	last := math.Inf(1)
	for _, copyTime := range []time.Duration{800, 400, 200, 100, 50, 25} {
		timing := Timing{Copy: copyTime * time.Millisecond, Switch: 300 * time.Millisecond}
		skew := meanSkew(t, 4*time.Second, timing, func(p *Placement, popularity Popularity, speeds []float64) []Move {
			return planner.Plan(p, popularity, speeds, Options{
				SkewWeight: 1, CostWeight: 1, MaxMoves: 170, MaxNewPerRank: 4, TargetRatio: 1.12, Timing: timing,
			})
		})
		t.Logf("copies of %s: mean skew %.3f", timing.Copy, skew)
		if skew > tolerance*last {
			t.Errorf("copies of %s: mean skew %.3f, with slower copies %.3f", timing.Copy, skew, last)
		}
		last = skew
	}
}

// TestSlowRankDropsItsReplicas checks that a very slow rank drops the experts that
// others host. Replicas elsewhere alone would leave it a part of their work.
func TestSlowRankDropsItsReplicas(t *testing.T) {
	p, popularity, speeds := jumpedDemand(t)
	speeds[5] = 1.0 / 12
	timing := Timing{Copy: 400 * time.Millisecond, Switch: 300 * time.Millisecond}
	planner := NewPlanner(p.Shape)
	for elapsed := time.Duration(0); elapsed < 1400*time.Millisecond; {
		next := p.Clone()
		next.Apply(planner.Plan(p, popularity, speeds, Options{
			SkewWeight: 1, CostWeight: 1, MaxMoves: 170, MaxNewPerRank: 4, TargetRatio: 1.12, Timing: timing,
		}))
		if err := next.Validate(); err != nil {
			t.Fatal(err)
		}
		elapsed += timing.Switch + time.Duration(p.MaxLoads(next))*timing.Copy
		p = next
		t.Logf("after %s: skew %.2f", elapsed, p.Skew(popularity, speeds))
	}
	const maxSkew = 1.5
	if skew := p.Skew(popularity, speeds); skew > maxSkew {
		t.Errorf("skew is %.2f, want at most %.1f", skew, maxSkew)
	}
}
