package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/platform"
)

// MapName names a map: versions begin anew in each epoch.
type MapID struct {
	Epoch, Version int64
}

// MarshalText makes a MapName a key in JSON.
func (n MapID) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d.%d", n.Epoch, n.Version), nil
}

// UnmarshalText reads what MarshalText wrote.
func (n *MapID) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), "%d.%d", &n.Epoch, &n.Version)
	return err
}

// Handler returns the HTTP interface of one rank's engine. What isn't about the
// group goes to other.
func (g *Group) Handler(rank int, other http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReport, func(w http.ResponseWriter, _ *http.Request) { g.report(w, rank) })
	mux.HandleFunc("GET "+platform.PathCounts, func(w http.ResponseWriter, r *http.Request) {
		g.picked(w, rank, r.URL.Query().Has("lists"))
	})
	mux.HandleFunc("POST "+platform.PathCommand, func(w http.ResponseWriter, r *http.Request) { g.order(w, r, rank) })
	mux.Handle("/", other)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.isDown(rank) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// Control returns the harness's interface: what the ranks did, and faults.
func (g *Group) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(g.State()) // the reader is gone
	})
	mux.HandleFunc("PUT /down/{rank}/{down}", func(w http.ResponseWriter, r *http.Request) {
		rank, err := strconv.Atoi(r.PathValue("rank"))
		if err != nil || rank < 0 || rank >= g.options.Ranks {
			http.Error(w, "rank: no such rank", http.StatusBadRequest)
			return
		}
		g.SetDown(rank, r.PathValue("down") == "true")
	})
	mux.HandleFunc("PUT /late/{each}/{ms}", func(w http.ResponseWriter, r *http.Request) {
		each, err := strconv.Atoi(r.PathValue("each"))
		ms, msErr := strconv.Atoi(r.PathValue("ms"))
		if err != nil || msErr != nil {
			http.Error(w, "each, ms: not numbers", http.StatusBadRequest)
			return
		}
		g.SetLateCommands(each, time.Duration(ms)*time.Millisecond)
	})
	return mux
}

func (g *Group) isDown(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[rank].down
}

func (g *Group) report(w http.ResponseWriter, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	var armed any
	if r.armed != 0 {
		armed = map[string]int64{"version": r.armed, "step": r.armedPass}
	}
	state := platform.StateOpen
	if g.broken {
		state = "broken"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"sequence": r.sequence, "step": g.pass, "map": r.version, "prepared": r.prepared, "armed": armed, "held": r.held,
		"running": 1, "size": g.options.Ranks,
		"group": map[string]any{"name": g.options.Name, "epoch": g.epoch, "rank": rank, "state": state},
	}) // the reader is gone
}

func (g *Group) picked(w http.ResponseWriter, rank int, whole bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := g.ranks[rank]
	if !whole {
		_ = json.NewEncoder(w).Encode(map[string]any{"step": g.pass, "epoch": g.epoch, "counts": own.counts}) // the reader is gone
		return
	}
	lists := make([][]int, g.options.Layers)
	for set := range lists {
		lists[set] = own.lists[own.version][set][rank]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"map": map[string]any{"version": own.version, "experts": lists}}) // the reader is gone
}

func (g *Group) order(w http.ResponseWriter, r *http.Request, rank int) {
	order, err := platform.DecodeCommand(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ordered++; g.lateEach > 0 && g.ordered%g.lateEach == 0 {
		time.AfterFunc(g.lateBy, func() { g.carryOutLate(rank, order) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(g.carryOut(rank, order))
}

func (g *Group) carryOutLate(rank int, order experts.Command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carryOut(rank, order)
}

// carryOut returns the status of an order. The caller holds mu.
func (g *Group) carryOut(rank int, o experts.Command) int {
	own := g.ranks[rank]
	if o.Fence < own.fence && !g.options.IgnoreFences {
		return http.StatusPreconditionFailed
	}
	own.fence = max(own.fence, o.Fence)
	if o.Epoch != g.epoch || g.broken || own.down {
		return http.StatusConflict
	}
	switch {
	case o.Operation == experts.Prepare && o.Version == own.prepared:
		return http.StatusOK
	case o.Operation == experts.Prepare && o.Version > own.highest && own.armed == 0:
		own.prepared, own.highest, own.lists[o.Version] = o.Version, o.Version, o.Map
	case o.Operation == experts.Arm && o.Version == own.prepared && o.Pass > g.pass:
		own.armed, own.armedPass = o.Version, o.Pass
	case o.Operation == experts.Hold && o.Pass > g.pass && (own.held == 0 || own.held == o.Pass):
		own.held = o.Pass
	case o.Operation == experts.Release:
		if own.held == o.Pass {
			own.held = 0
		}
	case o.Operation == experts.Disarm && o.Version != own.version:
		if own.armed == o.Version {
			own.armed = 0
		}
	default:
		return http.StatusConflict
	}
	own.sequence++
	return http.StatusAccepted
}
