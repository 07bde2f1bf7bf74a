package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// TestAdmittedRequestsEndInTime guards against requests that are passed on during a stop and cut.
func TestAdmittedRequestsEndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		grace := duration("grace", 20*time.Second)
		stopAt := start.Add(duration("stop", 3*time.Minute))
		var w Window
		d := NewDurations()
		for range rapid.IntRange(0, 10).Draw(t, "earlier requests") {
			began := start.Add(duration("began", stopAt.Sub(start)))
			took := duration("took", 15*time.Second)
			run := d.Begin("k", began)
			if end := began.Add(took); !end.After(stopAt) {
				d.End(run, end, true)
			}
		}
		cutAt := stopAt.Add(grace)
		w.Begin(stopAt, cutAt)
		now := stopAt.Add(duration("arrival", 25*time.Second))
		limit := duration("limit", 15*time.Second)
		certain := rapid.Bool().Draw(t, "no more connections")
		if certain {
			w.AdmitCertain()
		}
		recent := d.Recent("k", now)
		recent.Modeled = duration("modeled", 15*time.Second) * time.Duration(rapid.IntRange(0, 1).Draw(t, "has a model"))
		admitted := w.Admits(now, now.Add(limit), recent)
		switch inTime := !now.Add(limit).After(cutAt); {
		case inTime && !admitted:
			t.Fatal("refused though its own limit ends in time")
		case !inTime && admitted && certain:
			t.Fatal("admitted though it isn't certain to end in time")
		case !inTime && admitted && now.Add(max(recent.Usual, recent.Modeled)).After(cutAt):
			t.Fatal("admitted though one like it wouldn't have ended in time")
		case !inTime && admitted && recent.Modeled == 0 && recent.ObservedFor < recent.Usual:
			t.Fatal("admitted though the longest one has been running since the beginning")
		case !inTime && admitted && recent.Usual == 0 && recent.Modeled == 0:
			t.Fatal("admitted though nothing is known of its kind")
		}
	})
}

func TestWindowAdmitsAllUntilStopBegins(t *testing.T) {
	var w Window
	if !w.Admits(start, start.Add(time.Hour), Recent{}) {
		t.Error("refused without a stop")
	}
}

func TestRepeatedSignalsDoNotProlongStop(t *testing.T) {
	var w Window
	w.Begin(start, start.Add(8*time.Second))
	w.Begin(start.Add(5*time.Second), start.Add(13*time.Second))
	if w.Admits(start.Add(5*time.Second), start.Add(9*time.Second), Recent{}) {
		t.Error("admitted after the grace period of the first signal")
	}
}

func TestRunningRequestsCountAsLongAsTheyLast(t *testing.T) {
	d := NewDurations()
	d.End(d.Begin("k", start), start.Add(time.Second), true)
	d.Begin("k", start.Add(time.Second))
	if got := d.Recent("k", start.Add(6*time.Second)).Usual; got != 5*time.Second {
		t.Errorf("usual: %v", got)
	}
}

func TestRefusedRequestsTellNothingOfDurations(t *testing.T) {
	d := NewDurations()
	d.End(d.Begin("k", start), start.Add(9*time.Second), false)
	if got := d.Recent("k", start.Add(10*time.Second)).Usual; got != 0 {
		t.Errorf("usual: %v", got)
	}
}

func TestOneHeldUpRequestDoesNotCount(t *testing.T) {
	d := NewDurations()
	d.End(d.Begin("k", start), start.Add(30*time.Second), true)
	for range maxEnded - 1 {
		d.End(d.Begin("k", start), start.Add(time.Second), true)
	}
	if got := d.Recent("k", start.Add(31*time.Second)).Usual; got != time.Second {
		t.Errorf("usual: %v", got)
	}
}

func TestDurationsAreForgotten(t *testing.T) {
	d := NewDurations()
	for range 2 * maxEnded {
		d.End(d.Begin("k", start), start.Add(time.Second), true)
	}
	if n := len(d.kinds["k"].ended); n != maxEnded {
		t.Errorf("%d kept", n)
	}
	later := start.Add(maxAge + 2*time.Second)
	if got := d.Recent("k", later).Usual; got != 0 {
		t.Errorf("after its time: %v", got)
	}
	d.Begin("other", later)
	if d.kinds["k"] != nil {
		t.Error("an unused kind is kept")
	}
}
