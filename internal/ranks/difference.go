package ranks

import (
	"slices"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
)

// versionedMap is an expert map with its identity. The same version of different
// holders may be different maps.
type versionedMap struct {
	epoch, fence, version int64
	lists                 [][][]int
}

// sameHolder reports whether two maps are from the same holder and epoch.
func (m versionedMap) sameHolder(other versionedMap) bool {
	return m.epoch == other.epoch && m.fence == other.fence
}

// defaultMap returns the initial map of an epoch: experts assigned round robin.
func defaultMap(sets, ranks, experts int) [][][]int {
	lists := make([][][]int, sets)
	for set := range lists {
		lists[set] = make([][]int, ranks)
		for expert := range experts {
			lists[set][expert%ranks] = append(lists[set][expert%ranks], expert)
		}
	}
	return lists
}

// maxMapEntries bounds the lists and the experts of a map that is decoded from a
// difference: four times those of 256 ranks with 256 experts in 60 sets.
const maxMapEntries = 1 << 16

// validDifference reports whether a difference has the dimensions of a map.
func validDifference(d *peerrpc.MapDifference) bool {
	sets, ranks, experts := int64(d.GetSets()), int64(d.GetRanks()), int64(d.GetExperts())
	return sets > 0 && ranks > 0 && experts > 0 && sets*ranks <= maxMapEntries && sets*experts <= maxMapEntries
}

// expertCount returns the number of experts in the first set of a map.
func expertCount(lists [][][]int) int {
	highest := -1
	for _, rank := range lists[0] {
		for _, expert := range rank {
			highest = max(highest, expert)
		}
	}
	return highest + 1
}

// encodeDifference returns the difference of a map from a base with the same dimensions.
func encodeDifference(base versionedMap, lists [][][]int) *peerrpc.MapDifference {
	sets, ranks := len(lists), len(lists[0])
	d := &peerrpc.MapDifference{Base: base.version, Sets: int32(sets), Ranks: int32(ranks), Experts: int32(expertCount(lists))}
	for set := range sets {
		for rank, list := range lists[set] {
			if slices.Equal(list, base.lists[set][rank]) {
				continue
			}
			d.Lists = append(d.Lists, int32(set*ranks+rank), int32(len(list)))
			for _, expert := range list {
				d.Lists = append(d.Lists, int32(expert))
			}
		}
	}
	return d
}

// applyDifference returns the map with a difference from base, or false if they don't
// fit together. It doesn't modify base.
func applyDifference(base [][][]int, d *peerrpc.MapDifference) ([][][]int, bool) {
	sets, ranks := int(d.GetSets()), int(d.GetRanks())
	if len(base) != sets {
		return nil, false
	}
	lists := make([][][]int, sets)
	for set := range lists {
		if len(base[set]) != ranks {
			return nil, false
		}
		lists[set] = slices.Clone(base[set])
	}
	for rest := d.GetLists(); len(rest) > 0; {
		if len(rest) < 2 || rest[0] < 0 || int(rest[0]) >= sets*ranks || rest[1] < 0 || int(rest[1]) > len(rest)-2 {
			return nil, false
		}
		list := make([]int, rest[1])
		for i := range list {
			list[i] = int(rest[2+i])
		}
		lists[int(rest[0])/ranks][int(rest[0])%ranks] = list
		rest = rest[2+len(list):]
	}
	return lists, true
}
