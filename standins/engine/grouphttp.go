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

// MapID identifies a map. Versions restart in each epoch.
type MapID struct {
	Epoch, Version int64
}

// MarshalText implements encoding.TextMarshaler, so that a MapID can be a JSON key.
func (n MapID) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%d.%d", n.Epoch, n.Version), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (n *MapID) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), "%d.%d", &n.Epoch, &n.Version)
	return err
}

// Handler returns the HTTP API of one rank's engine. Requests that don't concern the group
// go to other.
func (g *Group) Handler(rank int, other http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReport, func(w http.ResponseWriter, _ *http.Request) { g.serveReport(w, rank) })
	mux.HandleFunc("GET "+platform.PathCounts, func(w http.ResponseWriter, r *http.Request) {
		g.serveCounts(w, rank, r.URL.Query().Has("lists"))
	})
	mux.HandleFunc("POST "+platform.PathCommand, func(w http.ResponseWriter, r *http.Request) { g.command(w, r, rank) })
	mux.Handle("/", other)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.isDown(rank) {
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})
}

// ControlHandler returns the HTTP API for the test harness: statistics and fault injection.
func (g *Group) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(g.State()) // fails if the client disconnected
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
		every, err := strconv.Atoi(r.PathValue("each"))
		ms, msErr := strconv.Atoi(r.PathValue("ms"))
		if err != nil || msErr != nil {
			http.Error(w, "each, ms: not numbers", http.StatusBadRequest)
			return
		}
		g.SetLateCommands(every, time.Duration(ms)*time.Millisecond)
	})
	return mux
}

func (g *Group) isDown(rank int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[rank].down
}

func (g *Group) serveReport(w http.ResponseWriter, rank int) {
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
		"sequence": r.sequence, "step": g.pass, "map": r.version, "prepared": r.prepared, "armed": armed, "held": r.heldPass,
		"running": 1, "size": g.options.Ranks,
		"group": map[string]any{"name": g.options.Name, "epoch": g.epoch, "rank": rank, "state": state},
	}) // fails if the client disconnected
}

func (g *Group) serveCounts(w http.ResponseWriter, rank int, includeMap bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[rank]
	if !includeMap {
		_ = json.NewEncoder(w).Encode(map[string]any{"step": g.pass, "epoch": g.epoch, "counts": r.counts}) // fails if the client disconnected
		return
	}
	experts := make([][]int, g.options.Layers)
	for layer := range experts {
		experts[layer] = r.maps[r.version][layer][rank]
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"map": map[string]any{"version": r.version, "experts": experts}}) // fails if the client disconnected
}

func (g *Group) command(w http.ResponseWriter, r *http.Request, rank int) {
	command, err := platform.DecodeCommand(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.commandCount++; g.lateEvery > 0 && g.commandCount%g.lateEvery == 0 {
		time.AfterFunc(g.lateDelay, func() { g.executeLate(rank, command) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(g.execute(rank, command))
}

func (g *Group) executeLate(rank int, command experts.Command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.execute(rank, command)
}

// execute executes a command and returns its HTTP status. The caller holds mu.
func (g *Group) execute(rank int, c experts.Command) int {
	r := g.ranks[rank]
	if c.Fence < r.fence && !g.options.IgnoreFences {
		return http.StatusPreconditionFailed
	}
	r.fence = max(r.fence, c.Fence)
	if c.Epoch != g.epoch || g.broken || r.down {
		return http.StatusConflict
	}
	switch {
	case c.Operation == experts.Prepare && c.Version == r.prepared:
		return http.StatusOK
	case c.Operation == experts.Prepare && c.Version > r.highestPrepared && r.armed == 0:
		r.prepared, r.highestPrepared, r.maps[c.Version] = c.Version, c.Version, c.Map
	case c.Operation == experts.Arm && c.Version == r.prepared && c.Pass > g.pass:
		r.armed, r.armedPass = c.Version, c.Pass
	case c.Operation == experts.Hold && c.Pass > g.pass && (r.heldPass == 0 || r.heldPass == c.Pass):
		r.heldPass = c.Pass
	case c.Operation == experts.Release:
		if r.heldPass == c.Pass {
			r.heldPass = 0
		}
	case c.Operation == experts.Disarm && c.Version != r.version:
		if r.armed == c.Version {
			r.armed = 0
		}
	default:
		return http.StatusConflict
	}
	r.sequence++
	return http.StatusAccepted
}
