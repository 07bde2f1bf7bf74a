package dispatch

import "github.com/VictoriaMetrics/metrics"

// eventGaps notices where a stream may have left out events. An event may hold several tokens, so that
// IDs may rise by more than one, but they seem to have a gap where they rose by one before.
type eventGaps struct {
	// risesByOne is set while the IDs rise by one, uneven once they don't.
	risesByOne, uneven bool
	// after is the ID before the gap, or -1.
	after int64
}

var noEventGaps = eventGaps{after: -1}

// record compares an event's ID with the one before, which is -1 if there was none. within is set if the
// same response sent both. The first gap is counted.
func (g *eventGaps) record(last, id int64, within bool) {
	switch step := id - last; {
	case last < 0 || g.uneven || step == 0:
	case step == 1:
		g.risesByOne = true
	default:
		g.uneven = true
		if g.risesByOne {
			g.after = last
			countGap(within)
		}
	}
}

// countGap counts a gap, within a response or between two.
func countGap(within bool) {
	where := "between"
	if within {
		where = "within"
	}
	metrics.GetOrCreateCounter(`crowbridge_stream_gaps_total{where="` + where + `"}`).Inc()
}
