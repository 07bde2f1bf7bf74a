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

// defaultMap returns the initial map of an epoch, which assigns each expert to one rank,
// round robin.
func defaultMap(layers, ranks, experts int) [][][]int {
	lists := make([][][]int, layers)
	for layer := range lists {
		lists[layer] = make([][]int, ranks)
		for expert := range experts {
			lists[layer][expert%ranks] = append(lists[layer][expert%ranks], expert)
		}
	}
	return lists
}

// maxMapEntries bounds the lists and the experts of a map that is decoded from a
// difference: four times those of 256 ranks with 256 experts in 60 layers.
const maxMapEntries = 1 << 16

// validDifference reports whether a difference has the dimensions of a map.
func validDifference(d *peerrpc.MapDifference) bool {
	layers, ranks, experts := int64(d.GetSets()), int64(d.GetRanks()), int64(d.GetExperts())
	return layers > 0 && ranks > 0 && experts > 0 && layers*ranks <= maxMapEntries && layers*experts <= maxMapEntries
}

// expertCount returns the number of experts in the first layer of a map.
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
	layers, ranks := len(lists), len(lists[0])
	d := &peerrpc.MapDifference{Base: base.version, Sets: int32(layers), Ranks: int32(ranks), Experts: int32(expertCount(lists))}
	for layer := range layers {
		for rank, list := range lists[layer] {
			if slices.Equal(list, base.lists[layer][rank]) {
				continue
			}
			d.Lists = append(d.Lists, int32(layer*ranks+rank), int32(len(list)))
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
	layers, ranks := int(d.GetSets()), int(d.GetRanks())
	if len(base) != layers {
		return nil, false
	}
	lists := make([][][]int, layers)
	for layer := range lists {
		if len(base[layer]) != ranks {
			return nil, false
		}
		lists[layer] = slices.Clone(base[layer])
	}
	for rest := d.GetLists(); len(rest) > 0; {
		if len(rest) < 2 || rest[0] < 0 || int(rest[0]) >= layers*ranks || rest[1] < 0 || int(rest[1]) > len(rest)-2 {
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
