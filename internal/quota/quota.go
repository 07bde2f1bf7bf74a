// Package quota divides what is bound for all daemons together into equal parts, one for each
// daemon that is known. It needs nobody's word on what the others use, and leaves unused what
// they don't need: right for bounds that are far above what is used of them.
package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// spare is the part by which there may be more daemons than are known.
	spare = 0.25
	// used is the part of a whole bound that is divided: the rest is for connections that
	// the other end hasn't seen closed yet.
	used = 0.9
)

// Equal is a daemon's part of a bound among so many that are known.
func PerDaemon(bound float64, known int) float64 {
	return bound / (float64(max(known, 1)) * (1 + spare))
}

// Daemons are those among which a bound is divided. The zero value is a daemon alone.
type Daemons struct {
	self string
	all  []string // sorted, self among them
}

// NewDaemons returns a daemon and the others that it knows, by their addresses.
func NewDaemons(self string, others []string) Daemons {
	all := append([]string{self}, others...)
	slices.Sort(all)
	return Daemons{self: self, all: slices.Compact(all)}
}

// Same tells whether others are the same daemons.
func (d Daemons) Equal(other Daemons) bool {
	return d.self == other.self && slices.Equal(d.all, other.all)
}

// Whole is this daemon's part, in whole numbers, of a bound on something that is named. Where
// there isn't one for each daemon, those get one that come first by a hash of both names: all
// that know the same daemons agree which these are.
func (d Daemons) Quota(bound int, name string) int {
	divided := used * float64(bound)
	if part := int(PerDaemon(divided, len(d.all))); part > 0 {
		return part
	}
	own, before := rank(d.self, name), 0
	for _, other := range d.all {
		if other != d.self && rank(other, name) < own {
			before++
		}
	}
	if float64(before+1)*(1+spare) <= divided {
		return 1
	}
	return 0
}

func rank(daemon, name string) uint64 { return xxhash.Sum64String(daemon + " " + name) }
