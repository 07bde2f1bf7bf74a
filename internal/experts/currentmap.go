package experts

import (
	"github.com/crowbridge/crowbridge/internal/rebalance"
)

// adoptCurrentMap sets the placement from the experts that the ranks report.
func (h *Holder) adoptCurrentMap() {
	lists, complete := h.expertsByLayer()
	h.state.SetCurrentMap(lists)
	if !complete || !h.state.Ready() {
		return
	}
	placement, err := rebalance.NewPlacementFromLists(h.shape, lists)
	if err != nil {
		h.log.WithError(err).Warn("reported experts form no valid map")
		return
	}
	h.placement, h.placementEpoch, h.placementVersion = placement, h.state.Epoch(), h.mapInUse()
}

// expertsBySet returns the reported experts by set and rank, and whether all ranks
// reported theirs. A rank without report is assigned the experts that no other has.
func (h *Holder) expertsByLayer() (lists [][][]int, complete bool) {
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
