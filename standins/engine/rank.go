package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/agent"
	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// RankOptions are the settings of an engine that is a rank of a group.
type RankOptions struct {
	Group                  string
	Ranks, Experts, Layers int
	// Step is how long the rank is busy in a step.
	Step time.Duration
	// Barrier is the URL of the stand-in that holds the ranks in lock-step.
	Barrier string
}

// Rank steps with the other ranks of its group, as far as it's granted, on the
// map that its plan says. It ignores fencing numbers, as some engines do.
type Rank struct {
	options RankOptions
	client  http.Client

	mu         sync.Mutex
	plan       group.EnginePlan
	maps       map[group.Version]json.RawMessage
	popularity []int64
	instance   string
	jumped     chan struct{} // closed when the group forms anew
}

// NewRank returns a rank that was granted nothing.
func NewRank(options RankOptions) *Rank {
	return &Rank{
		options: options, maps: map[group.Version]json.RawMessage{},
		popularity: make([]int64, options.Layers*options.Experts),
		instance:   uuid.NewString(), jumped: make(chan struct{}),
	}
}

// Register adds the order protocol to an engine's API.
func (r *Rank) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/state", r.getState)
	mux.HandleFunc("PUT /admin/plan", r.setPlan)
	mux.HandleFunc("PUT /admin/stage/{version}", r.stage)
	mux.HandleFunc("GET /admin/map/{version}", r.getMap)
}

func (r *Rank) getState(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(agent.EngineState{
		Instance: r.instance, Plan: r.plan, Popularity: r.popularity, BusyUs: r.options.Step.Microseconds(),
	}) // the reader is gone
}

func (r *Rank) setPlan(w http.ResponseWriter, request *http.Request) {
	var plan group.EnginePlan
	if err := json.NewDecoder(request.Body).Decode(&plan); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.URL.Query().Get("instance") != r.instance {
		http.Error(w, "the plan was made for another instance", http.StatusConflict)
		return
	}
	if plan.InUse.Jump && plan.InUse.Step > r.plan.Step+1 {
		plan.Step = plan.InUse.Step - 1
		close(r.jumped)
		r.jumped = make(chan struct{})
	} else {
		plan.Step = r.plan.Step // the engine knows better
	}
	plan.Staged = r.plan.Staged
	r.plan = plan
}

// stageTime is how long the weight store takes for one map.
const stageTime = 100 * time.Millisecond

func (r *Rank) stage(w http.ResponseWriter, request *http.Request) {
	version, err := strconv.ParseInt(request.PathValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: not a number", http.StatusBadRequest)
		return
	}
	expertMap, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(stageTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maps[group.Version(version)] = expertMap
	r.plan.Staged = group.Version(version)
}

func (r *Rank) getMap(w http.ResponseWriter, request *http.Request) {
	version, err := strconv.ParseInt(request.PathValue("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: not a number", http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expertMap, ok := r.maps[group.Version(version)]
	if !ok {
		http.Error(w, "no such map", http.StatusNotFound)
		return
	}
	_, _ = w.Write(expertMap) // the reader is gone
}

const grantPoll = 2 * time.Millisecond

// Run steps until the context ends.
func (r *Rank) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		step, version, jumped, granted := r.next()
		if !granted {
			time.Sleep(grantPoll)
			continue
		}
		if err := r.barrier(ctx, jumped, step, version); err != nil {
			return err
		}
		time.Sleep(r.options.Step)
	}
	return nil
}

// next begins the next step if it was granted.
func (r *Rank) next() (int64, group.Version, <-chan struct{}, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step := r.plan.Step + 1
	if step > r.plan.GrantedThrough {
		return 0, 0, nil, false
	}
	r.plan.Step = step
	version := r.plan.VersionAt(step)
	if r.plan.Next != (group.Switch{}) && step >= r.plan.Next.Step {
		r.plan.InUse, r.plan.Next = r.plan.Next, group.Switch{}
	}
	r.count(step)
	return step, version, r.jumped, true
}

// hotShift is how many steps an expert stays the most popular.
const hotShift = 400

func (r *Rank) count(step int64) {
	experts := r.options.Experts
	for i := range r.popularity {
		place := (i%experts + int(step/hotShift)*3) % experts
		r.popularity[i] += int64(1000 * math.Pow(float64(place+1), -1.2))
	}
}

// barrier waits until all ranks have begun the step, or the group forms anew.
func (r *Rank) barrier(ctx context.Context, jumped <-chan struct{}, step int64, version group.Version) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-jumped:
			cancel()
		case <-ctx.Done():
		}
	}()
	url := fmt.Sprintf("%s/group/%s/%d/%d/%d", r.options.Barrier, r.options.Group, r.options.Ranks, step, version)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return errors.Wrap(err, "barrier")
	}
	response, err := r.client.Do(request)
	if ctx.Err() != nil {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "barrier")
	}
	return errors.Wrap(response.Body.Close(), "barrier")
}
