package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// barrier holds the ranks of a group in lock-step and checks that all use one
// map in every step.
type barrier struct {
	mu         sync.Mutex
	step       int64
	used       map[int64]string // the version that each step was begun with
	arrived    int
	released   chan struct{}
	last       time.Time
	GapsUs     []int64        `json:"gapsUs"` // between the ends of the latest steps
	Steps      int64          `json:"steps"`
	Violations int            `json:"violations"`
	Versions   map[string]int `json:"versions"` // steps by version
}

func (s *Server) barrierOf(name string) *barrier {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.groups[name]
	if b == nil {
		b = &barrier{used: map[int64]string{}, released: make(chan struct{}), Versions: map[string]int{}}
		s.groups[name] = b
	}
	return b
}

// arrive blocks until all ranks have begun the step.
func (s *Server) arrive(w http.ResponseWriter, r *http.Request) {
	ranks, err := strconv.Atoi(r.PathValue("ranks"))
	if err != nil {
		http.Error(w, "ranks: not a number", http.StatusBadRequest)
		return
	}
	step, err := strconv.ParseInt(r.PathValue("step"), 10, 64)
	if err != nil {
		http.Error(w, "step: not a number", http.StatusBadRequest)
		return
	}
	released := s.barrierOf(r.PathValue("group")).arrive(ranks, step, r.PathValue("version"))
	select {
	case <-released:
	case <-r.Context().Done():
	}
}

func (b *barrier) arrive(ranks int, step int64, version string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if used, begun := b.used[step]; begun && used != version {
		b.Violations++
	}
	b.used[step] = version
	if step > b.step {
		// The first to begin a step; those left waiting in an earlier one belong to a
		// group that forms anew.
		b.step, b.arrived = step, 0
	}
	if step < b.step {
		return b.released // left behind; it will jump
	}
	b.arrived++
	released := b.released
	if b.arrived == ranks {
		b.arrived = 0
		b.Steps++
		b.noteGap(time.Now())
		b.Versions[version]++
		close(b.released)
		b.released = make(chan struct{})
	}
	return released
}

func (s *Server) groupState(w http.ResponseWriter, r *http.Request) {
	b := s.barrierOf(r.PathValue("group"))
	b.mu.Lock()
	defer b.mu.Unlock()
	writeJSON(w, b)
}

// keptGaps bounds the gaps that are remembered.
const keptGaps = 4096

func (b *barrier) noteGap(now time.Time) {
	if !b.last.IsZero() {
		b.GapsUs = append(b.GapsUs, now.Sub(b.last).Microseconds())
	}
	if len(b.GapsUs) > keptGaps {
		b.GapsUs = b.GapsUs[1:]
	}
	b.last = now
}
