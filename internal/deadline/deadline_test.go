package deadline

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The fixed seed makes CI runs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func drawDuration(t *rapid.T, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
}

// A request waits exactly while its wait and its work fit into the caller's time, and what can't is refused
// at once.
func TestRequestWaitsOnlyIfItFitsIntoTheCallersTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{First: drawDuration(t, "first"), Whole: drawDuration(t, "whole")}
		f := Forecast{
			Wait: drawDuration(t, "wait") * time.Duration(rapid.IntRange(0, 1).Draw(t, "waits")), Least: drawDuration(t, "least") / 10,
			First: drawDuration(t, "usual first"), Whole: drawDuration(t, "usual whole"),
		}
		if rapid.IntRange(0, 9).Draw(t, "nothing known") == 0 {
			f.Wait = Unknown
		}
		possible := b.First > 0 && b.Whole > 0 && f.Least <= b.First && f.Least <= b.Whole
		fits := f.Wait != Unknown && f.Wait+f.First <= b.First && f.Wait+f.Whole <= b.Whole
		want := Refuse
		switch {
		case possible && f.Wait == 0:
			want = Begin
		case possible && fits:
			want = Wait
		}
		if got := b.Decide(f); got != want {
			t.Fatalf("%+v, %+v: %v, want %v", b, f, got, want)
		}
	})
}

func TestRequestsThatDifferInTheTimeLeftAreDecidedDifferently(t *testing.T) {
	g := NewWithT(t)
	f := Forecast{Wait: time.Second, First: 300 * time.Millisecond, Whole: 2 * time.Second}
	g.Expect(Budget{First: 2 * time.Second, Whole: 8 * time.Second}.Decide(f)).To(Equal(Wait))
	g.Expect(Budget{First: 1200 * time.Millisecond, Whole: 8 * time.Second}.Decide(f)).To(Equal(Refuse), "too late for the first byte")
	g.Expect(Budget{First: 2 * time.Second, Whole: 2900 * time.Millisecond}.Decide(f)).To(Equal(Refuse), "too late for the end")
}

// Both attempts must fit, the first must have had what nearly all need, and none is handed over in vain.
func TestAttemptIsHandedOverOnlyIfAnotherFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{First: drawDuration(t, "first"), Whole: drawDuration(t, "whole")}
		usual, attempts := drawDuration(t, "usual"), rapid.IntRange(1, 4).Draw(t, "attempts")
		after := b.HandOver(usual, attempts)
		left := min(b.First, b.Whole)
		switch {
		case after == 0 && attempts > 1 && left > 0 && (usual == 0 || usual*9/4 <= left):
			t.Fatal("kept though there is time for another server")
		case after > 0 && (attempts < 2 || after+usual > left):
			t.Fatalf("handed over after %v though there is no time for another server", after)
		case after > 0 && after < usual:
			t.Fatalf("handed over after %v, before nearly all have answered", after)
		case after > 0 && after < left/time.Duration(attempts):
			t.Fatalf("handed over after %v, while there is more time for each attempt", after)
		}
	})
}

func TestOutageIsExpectedToEndAsEarlierOnesDid(t *testing.T) {
	g := NewWithT(t)
	const form = 600 * time.Millisecond
	var o Outages
	expect := func(lasted, recovery, expected, latest time.Duration, why string) {
		gotExpected, gotLatest := o.Remaining(lasted, recovery)
		g.Expect([]time.Duration{gotExpected, gotLatest}).To(Equal([]time.Duration{expected, latest}), why)
	}
	expect(0, 0, Unknown, Unknown, "nothing known")
	expect(time.Second, 0, Unknown, Unknown, "that it has lasted says nothing of a recovery")
	expect(100*time.Millisecond, form, form, Unknown, "no precedent")
	expect(time.Minute, form, time.Minute, Unknown, "one that lacks something for good makes nobody wait")
	for _, s := range []int{5, 3, 9} {
		o.Record(time.Duration(s) * time.Second)
	}
	expect(time.Second, form, 4*time.Second, 8*time.Second, "3, 5 and 9 s")
	expect(4500*time.Millisecond, form, 500*time.Millisecond, 4500*time.Millisecond, "5 and 9 s")
	expect(8*time.Second, form, time.Second, time.Second, "9 s")
	expect(10*time.Second, form, 10*time.Second, Unknown, "no precedent")
	for range 2 * maxOutages {
		o.Record(time.Second)
	}
	g.Expect(o.lengths).To(HaveLen(maxOutages))
	expect(2*time.Second, 0, Unknown, Unknown, "old outages are forgotten")
}
