package experts

import (
	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// adoptLists takes the map that the ranks tell as the present one.
func (h *Holder) adoptCurrentMap() {
	lists, complete := h.expertsBySet()
	h.state.SetCurrentMap(lists)
	if !complete || !h.state.Ready() {
		return
	}
	placement, err := rebalance.NewPlacementFromLists(h.shape, lists)
	if err != nil {
		h.log.WithError(err).Warn("the ranks' experts make no map")
		return
	}
	h.placement, h.placementEpoch, h.placementVersion = placement, h.state.Epoch(), h.mapInUse()
}

// listsBySet orders what the ranks told by set. Ranks that told nothing get the
// experts that no other rank has; whole says that there are none.
func (h *Holder) expertsBySet() (lists [][][]int, complete bool) {
	complete = true
	lists = make([][][]int, h.shape.Layers)
	for set := range lists {
		lists[set] = make([][]int, h.shape.Ranks)
		held := make([]bool, h.shape.Experts)
		missing := -1
		for rank, sets := range h.rankExperts {
			if len(sets) != h.shape.Layers {
				missing, complete = rank, false
				continue
			}
			lists[set][rank] = sets[set]
			for _, expert := range sets[set] {
				held[expert%h.shape.Experts] = true
			}
		}
		for expert, known := range held {
			if !known && missing >= 0 {
				lists[set][missing] = append(lists[set][missing], expert)
			}
		}
	}
	return lists, complete
}

func (h *Holder) mapInUse() int64 { return h.state.reports[0].Map }
