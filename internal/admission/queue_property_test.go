package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"pgregory.net/rapid"
)

// The fixed seed makes CI runs reproducible; -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type requestState int

const (
	stateQueued requestState = iota
	stateRunning
	stateEnded
	stateNotRun
)

// model tracks the state of every request offered to a queue.
type model struct {
	queue  *Queue
	now    time.Time
	states map[string]requestState
	next   int
}

func (m *model) ids(want requestState) []string {
	var ids []string
	for i := range m.next {
		id := fmt.Sprint(i)
		if state, ok := m.states[id]; ok && state == want {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *model) dispatchAndCheck(t *rapid.T) {
	m.collectRefusals(t)
	for _, request := range m.queue.Dispatch(m.now) {
		m.transition(t, request.ID, stateQueued, stateRunning)
		if !request.Deadline.After(m.now) {
			t.Fatalf("%s started after its deadline", request.ID)
		}
	}
	m.collectRefusals(t)
	if m.queue.Running() != len(m.ids(stateRunning)) || m.queue.Queued() != len(m.ids(stateQueued)) {
		t.Fatalf("queue reports %d running, %d queued", m.queue.Running(), m.queue.Queued())
	}
	if m.queue.Running() > 8 {
		t.Fatalf("%d requests run, above the maximum limit", m.queue.Running())
	}
}

func (m *model) collectRefusals(t *rapid.T) {
	for _, refusal := range m.queue.TakeRefusals(m.now) {
		m.transition(t, refusal.Request.ID, stateQueued, stateNotRun)
		if refusal.Failure.Outcome != "not-run" || refusal.Failure.RetryAfter <= 0 {
			t.Fatalf("refusal without outcome not-run or retry hint: %+v", refusal.Failure)
		}
	}
}

func (m *model) transition(t *rapid.T, id string, from, to requestState) {
	if m.states[id] != from {
		t.Fatalf("%s moves from state %d to %d, but is in %d", id, from, to, m.states[id])
	}
	m.states[id] = to
}

func (m *model) offer(t *rapid.T) {
	id := fmt.Sprint(m.next)
	m.next++
	refused := m.queue.Offer(m.now, Request{
		ID: id, Customer: fmt.Sprint("c", rapid.IntRange(0, 4).Draw(t, "customer")),
		Weight:   rapid.IntRange(0, 3).Draw(t, "weight"),
		Class:    rapid.SampledFrom([]config.Class{config.ClassUrgent, config.ClassNormal, config.ClassPatient}).Draw(t, "class"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 2000).Draw(t, "deadline")) * time.Millisecond),
		Cost:     float64(rapid.IntRange(0, 50).Draw(t, "cost")),
	})
	if refused == nil {
		m.states[id] = stateQueued
	} else if refused.Outcome != "not-run" {
		t.Fatalf("refused with outcome %s", refused.Outcome)
	}
	m.dispatchAndCheck(t)
}

func (m *model) withdraw(t *rapid.T) {
	if m.next == 0 {
		return
	}
	id := fmt.Sprint(rapid.IntRange(0, m.next-1).Draw(t, "id"))
	if m.queue.Withdraw(id) {
		m.transition(t, id, stateQueued, stateNotRun)
	} else if state, ok := m.states[id]; ok && state == stateQueued {
		t.Fatalf("%s is queued, but was not withdrawn", id)
	}
	m.dispatchAndCheck(t)
}

func (m *model) done(t *rapid.T) {
	running := m.ids(stateRunning)
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(t, "done")
	m.queue.Done(m.now, id, float64(rapid.IntRange(0, 80).Draw(t, "actual")), rapid.IntRange(0, 9).Draw(t, "fails") > 0)
	m.transition(t, id, stateRunning, stateEnded)
	m.dispatchAndCheck(t)
}

// In random histories, each offered request must be refused, withdrawn, given up or run,
// exactly one of them, and a request that was not started must never start later.
func TestEveryRequestHasExactlyOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: epoch, states: map[string]requestState{}, queue: NewQueue(Options{
			Limit: LimitOptions{Min: 1, Max: 8}, MaxQueued: 12, PatientPercent: 10,
		})}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "offer more": m.offer, "withdraw": m.withdraw, "done": m.done,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				m.dispatchAndCheck(t)
			},
		})
		m.drain(t)
	})
}

// drain checks that every request ends eventually.
func (m *model) drain(t *rapid.T) {
	for range 1000 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.dispatchAndCheck(t)
		for _, id := range m.ids(stateRunning) {
			m.queue.Done(m.now, id, 1, true)
			m.transition(t, id, stateRunning, stateEnded)
		}
		m.dispatchAndCheck(t)
		if len(m.ids(stateQueued)) == 0 && len(m.ids(stateRunning)) == 0 {
			return
		}
	}
	t.Fatalf("%d requests never ended", len(m.ids(stateQueued)))
}
