// Package quota divides a global bound equally among the known daemons, without coordination.
// Capacity that a daemon leaves unused is not available to others, so it suits bounds far
// above actual use.
package quota

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// headroom is the fraction of additional daemons that may exist beyond the known ones.
	headroom = 0.25
	// usableFraction is the fraction of a bound that is divided. The rest covers connections
	// that the remote end has not yet seen closed.
	usableFraction = 0.9
)

// PerDaemon returns one daemon's quota of a bound, given the number of known daemons including
// itself.
func PerDaemon(bound float64, daemons int) float64 {
	return bound / (float64(max(daemons, 1)) * (1 + headroom))
}

// Daemons is the set of daemons that share a bound. The zero value is a single daemon.
type Daemons struct {
	self      string
	addresses []string // sorted, including self
}

// NewDaemons returns the set of a daemon and its known peers, by address.
func NewDaemons(self string, peers []string) Daemons {
	all := append([]string{self}, peers...)
	slices.Sort(all)
	return Daemons{self: self, addresses: slices.Compact(all)}
}

// Equal reports whether both sets are the same.
func (d Daemons) Equal(other Daemons) bool {
	return d.self == other.self && slices.Equal(d.addresses, other.addresses)
}

// Quota returns this daemon's integer quota of a bound on the named resource. When it would be
// less than 1, the daemons with the lowest hashes of both names get 1 each; all daemons that
// know the same set agree on them.
func (d Daemons) Quota(bound int, name string) int {
	usable := usableFraction * float64(bound)
	if quota := int(PerDaemon(usable, len(d.addresses))); quota > 0 {
		return quota
	}
	ownHash, lower := hashOf(d.self, name), 0
	for _, other := range d.addresses {
		if other != d.self && hashOf(other, name) < ownHash {
			lower++
		}
	}
	if float64(lower+1)*(1+headroom) <= usable {
		return 1
	}
	return 0
}

func hashOf(daemon, name string) uint64 { return xxhash.Sum64String(daemon + " " + name) }
