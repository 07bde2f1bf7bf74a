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

// expertsByLayer returns the reported experts by layer and rank, and whether all ranks
// reported theirs. One rank without report is assigned the experts that no other has.
func (h *Holder) expertsByLayer() (lists [][][]int, complete bool) {
	complete = true
	lists = make([][][]int, h.shape.Layers)
	for layer := range lists {
		lists[layer] = make([][]int, h.shape.Ranks)
		held := make([]bool, h.shape.Experts)
		missing := -1
		for rank, layers := range h.rankExperts {
			if len(layers) != h.shape.Layers {
				missing, complete = rank, false
				continue
			}
			lists[layer][rank] = layers[layer]
			for _, expert := range layers[layer] {
				held[expert%h.shape.Experts] = true
			}
		}
		for expert, known := range held {
			if !known && missing >= 0 {
				lists[layer][missing] = append(lists[layer][missing], expert)
			}
		}
	}
	return lists, complete
}

func (h *Holder) mapInUse() int64 { return h.state.reports[0].Map }
