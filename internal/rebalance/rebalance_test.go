package rebalance

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time.
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
	least := (shape.Experts + shape.Ranks - 1) / shape.Ranks
	shape.Slots = rapid.IntRange(least, max(least, min(shape.Experts, least+3))).Draw(t, "slots")
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

// TestPlansKeepEveryExpertAndPay: whatever the input, a plan leaves every expert
// with a replica, no rank with two of one, and never makes the group slower.
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
				t.Fatalf("%d moves made the skew %g from %g", len(moves), after, before)
			}
		}
	})
}

// TestLayerTimesStayExact: the times that the planner updates move by move are
// those of the placement counted afresh.
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
					t.Fatalf("rank %d: %g, counted afresh %g", rank, l.times[rank], fresh.times[rank])
				}
			}
			for _, rank := range []int{hot, best.moves[0].Rank} {
				if fresh.times[rank] >= slowest+1e-9 {
					t.Fatalf("a step left rank %d at %g, the slowest was at %g", rank, fresh.times[rank], slowest)
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
					t.Fatalf("rank %d holds %d twice", rank, expert)
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
		t.Fatalf("cheap %d moves, dear %d", len(cheap), len(expensive))
	}
	p.Apply(cheap)
	if again := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, CostWeight: 0.01, MaxMoves: 100}); len(again) != 0 {
		t.Fatalf("a plan that was carried out asks for %d more moves", len(again))
	}
	if none := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: 0}); len(none) != 0 {
		t.Fatalf("%d moves over a budget of none", len(none))
	}
}

// TestPlansKeepTheBoundOnNewExperts: a plan loads no more experts of a layer at
// a rank than the engine takes in one order, also into empty slots.
func TestPlansRespectMaxNewPerRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := Shape{
			Ranks: rapid.IntRange(2, 8).Draw(t, "ranks"), Experts: rapid.IntRange(4, 24).Draw(t, "experts"), Layers: 2,
		}
		least := (shape.Experts + shape.Ranks - 1) / shape.Ranks
		shape.Slots = least + rapid.IntRange(0, 2).Draw(t, "spare slots")
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
						t.Fatalf("layer %d, rank %d: %d new experts, at most %d", layer, rank, added, bound)
					}
				}
			}
			p = next
		}
	})
}

// TestLargeLayersGoInParts: a layer whose plan is over the bound by itself is
// planned in part, so that a large group gets on at all.
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
	whole := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: 1000})
	bound := len(whole)/2 - 1
	part := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: bound})
	if len(part) == 0 || len(part) > bound {
		t.Fatalf("%d moves of a plan of %d, want 1 to %d", len(part), len(whole), bound)
	}
	for range 100 {
		p.Apply(planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: bound}))
		if err := p.Validate(); err != nil {
			t.Fatal(err)
		}
	}
	if left := planner.Plan(p, popularity, speeds, Options{SkewWeight: 1, MaxMoves: 1000}); len(left) != 0 {
		t.Fatalf("%d moves are left over", len(left))
	}
}

// shiftedDemand is a group with a fitting map whose demand has just jumped: in each
// layer, one expert is liked by far the most.
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

// inForce is the mean skew over a time in which plans follow each other, each in force
// once its copies are made: what the callers of a group get.
func meanSkew(t testing.TB, over time.Duration, times Timing, plan func(*Placement, Popularity, []float64) []Move) float64 {
	t.Helper()
	p, popularity, speeds := jumpedDemand(t)
	total, at := 0.0, time.Duration(0)
	for at < over {
		next := p.Clone()
		next.Apply(plan(p, popularity, speeds))
		took := min(times.Switch+time.Duration(p.MaxLoads(next))*times.Copy, over-at)
		total += took.Seconds() * p.Skew(popularity, speeds)
		at, p = at+took, next
	}
	return total / over.Seconds()
}

// TestPlansCountTheTimeOfCopies: where a copy takes 0.4 s, the plan that gains most a
// second leaves less skew over the four seconds after a jump than one that brings
// everything at once; where copies are quick it
// doesn't leave more.
func TestPlansAccountForCopyTime(t *testing.T) {
	for _, example := range []struct {
		copy     time.Duration
		mostPart float64
	}{
		{copy: 400 * time.Millisecond, mostPart: 0.85},
		{copy: 40 * time.Millisecond, mostPart: 1.02},
	} {
		times := Timing{Copy: example.copy, Switch: 300 * time.Millisecond}
		planner := NewPlanner(Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11})
		with := func(times Timing) func(*Placement, Popularity, []float64) []Move {
			return func(p *Placement, popularity Popularity, speeds []float64) []Move {
				return planner.Plan(p, popularity, speeds, Options{
					SkewWeight: 1, CostWeight: 1, MaxMoves: 170, MaxNewPerRank: 4, TargetRatio: 1.12, Timing: times,
				})
			}
		}
		const over = 4 * time.Second
		timed, atOnce := meanSkew(t, over, times, with(times)), meanSkew(t, over, times, with(Timing{}))
		t.Logf("copies of %s: mean skew %.3f, all at once %.3f", example.copy, timed, atOnce)
		if timed > example.mostPart*atOnce {
			t.Errorf("copies of %s: mean skew %.3f, want at most %.2f of %.3f", example.copy, timed, example.mostPart, atOnce)
		}
	}
}

// TestQuickerCopiesNeverLeaveMoreSkew: more link never makes it worse.
func TestFasterCopiesNeverIncreaseSkew(t *testing.T) {
	const slack = 1.02 // batches of whole copies don't always end on time
	planner := NewPlanner(Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11})
	last := math.Inf(1)
	for _, copyTime := range []time.Duration{800, 400, 200, 100, 50, 25} {
		times := Timing{Copy: copyTime * time.Millisecond, Switch: 300 * time.Millisecond}
		skew := meanSkew(t, 4*time.Second, times, func(p *Placement, popularity Popularity, speeds []float64) []Move {
			return planner.Plan(p, popularity, speeds, Options{
				SkewWeight: 1, CostWeight: 1, MaxMoves: 170, MaxNewPerRank: 4, TargetRatio: 1.12, Timing: times,
			})
		})
		t.Logf("copies of %s: mean skew %.3f", times.Copy, skew)
		if skew > slack*last {
			t.Errorf("copies of %s leave a mean skew of %.3f, slower ones %.3f", times.Copy, skew, last)
		}
		last = skew
	}
}

// TestASlowRankGetsRidOfItsWork: a rank at a twelfth of the others' speed holds every
// pass up until it has no experts left that others could run. After two switches of
// 0.7 s, plans that only add replicas left a skew of 2.08, since a part of each expert's
// work stays; plans that drop replicas, too, leave 1.24.
func TestSlowRankDropsItsReplicas(t *testing.T) {
	p, popularity, speeds := jumpedDemand(t)
	speeds[5] = 1.0 / 12
	times := Timing{Copy: 400 * time.Millisecond, Switch: 300 * time.Millisecond}
	planner := NewPlanner(p.Shape)
	for at := time.Duration(0); at < 1400*time.Millisecond; {
		next := p.Clone()
		next.Apply(planner.Plan(p, popularity, speeds, Options{
			SkewWeight: 1, CostWeight: 1, MaxMoves: 170, MaxNewPerRank: 4, TargetRatio: 1.12, Timing: times,
		}))
		if err := next.Validate(); err != nil {
			t.Fatal(err)
		}
		at += times.Switch + time.Duration(p.MaxLoads(next))*times.Copy
		p = next
		t.Logf("at %s: skew %.2f", at, p.Skew(popularity, speeds))
	}
	const most = 1.5
	if skew := p.Skew(popularity, speeds); skew > most {
		t.Errorf("a skew of %.2f is left, want at most %.1f", skew, most)
	}
}
