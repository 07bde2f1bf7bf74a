package deadline

import (
	"slices"
	"time"
)

// maxOutages bounds the outages that are remembered.
const maxOutages = 32

// Outages holds how long the last outages of one thing lasted. The zero value is empty. It is not safe
// for concurrent use.
type Outages struct {
	lengths []time.Duration
	// next is the position of the oldest one once maxOutages are held.
	next int
}

// Record adds an outage that has ended.
func (o *Outages) Record(length time.Duration) {
	if len(o.lengths) < maxOutages {
		o.lengths = append(o.lengths, length)
		return
	}
	o.lengths[o.next] = length
	o.next = (o.next + 1) % maxOutages
}

// Remaining returns how much longer an outage is expected to last that has lasted for a time: until half
// of the earlier ones that lasted longer than it had ended, and at the latest until all of them had. If none did,
// it is expected for as long again as it has lasted, and at least for the time that a recovery takes; Unknown if
// that isn't known either. The latest end is Unknown then.
func (o *Outages) Remaining(lasted, recovery time.Duration) (expected, latest time.Duration) {
	var longer []time.Duration
	for _, length := range o.lengths {
		if length > lasted {
			longer = append(longer, length)
		}
	}
	switch {
	case len(longer) > 0:
		slices.Sort(longer)
		return longer[(len(longer)-1)/2] - lasted, longer[len(longer)-1] - lasted
	case recovery > 0:
		return max(lasted, recovery), Unknown
	default:
		return Unknown, Unknown
	}
}
