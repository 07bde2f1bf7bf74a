package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time; -rapid.seed=0
// draws another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type fate int

const (
	fateQueued fate = iota
	fateRunning
	fateEnded
	fateNotRun
)

// model follows every request offered to a queue.
type model struct {
	queue *Queue
	now   time.Time
	fates map[string]fate
	next  int
}

func (m *model) ids(want fate) []string {
	var ids []string
	for i := range m.next {
		id := fmt.Sprint(i)
		if f, ok := m.fates[id]; ok && f == want {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *model) settle(t *rapid.T) {
	m.refuse(t)
	for _, request := range m.queue.Dispatch(m.now) {
		m.move(t, request.ID, fateQueued, fateRunning)
		if !request.Deadline.After(m.now) {
			t.Fatalf("%s started after its deadline", request.ID)
		}
	}
	m.refuse(t)
	if m.queue.Running() != len(m.ids(fateRunning)) || m.queue.Queued() != len(m.ids(fateQueued)) {
		t.Fatalf("counts: queue says %d running, %d queued", m.queue.Running(), m.queue.Queued())
	}
	if m.queue.Running() > 8 {
		t.Fatalf("%d run over the largest limit", m.queue.Running())
	}
}

func (m *model) refuse(t *rapid.T) {
	for _, refusal := range m.queue.TakeRefusals(m.now) {
		m.move(t, refusal.Request.ID, fateQueued, fateNotRun)
		if refusal.Failure.Outcome != "not-run" || refusal.Failure.RetryAfter <= 0 {
			t.Fatalf("a request given up on must be told so and when to come back: %+v", refusal.Failure)
		}
	}
}

func (m *model) move(t *rapid.T, id string, from, to fate) {
	if m.fates[id] != from {
		t.Fatalf("%s went from %d to %d, was %d", id, from, to, m.fates[id])
	}
	m.fates[id] = to
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
		m.fates[id] = fateQueued
	} else if refused.Outcome != "not-run" {
		t.Fatalf("refused with %s", refused.Outcome)
	}
	m.settle(t)
}

func (m *model) withdraw(t *rapid.T) {
	if m.next == 0 {
		return
	}
	id := fmt.Sprint(rapid.IntRange(0, m.next-1).Draw(t, "id"))
	if m.queue.Withdraw(id) {
		m.move(t, id, fateQueued, fateNotRun)
	} else if f, ok := m.fates[id]; ok && f == fateQueued {
		t.Fatalf("%s is queued and can't be withdrawn", id)
	}
	m.settle(t)
}

func (m *model) done(t *rapid.T) {
	running := m.ids(fateRunning)
	if len(running) == 0 {
		return
	}
	id := rapid.SampledFrom(running).Draw(t, "done")
	m.queue.Done(m.now, id, float64(rapid.IntRange(0, 80).Draw(t, "actual")), rapid.IntRange(0, 9).Draw(t, "fails") > 0)
	m.move(t, id, fateRunning, fateEnded)
	m.settle(t)
}

// TestEveryRequestHasOneFate: over random histories each offered request is
// refused, withdrawn, given up or run, exactly one of them, and one that did
// not start never starts later.
func TestEveryRequestHasOneFate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: epoch, fates: map[string]fate{}, queue: NewQueue(Options{
			Limit: LimitOptions{Min: 1, Max: 8}, MaxQueued: 12, PatientPercent: 10,
		})}
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "offer more": m.offer, "withdraw": m.withdraw, "done": m.done,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				m.settle(t)
			},
		})
		m.drain(t)
	})
}

// drain checks that nothing stays queued for ever once time goes on.
func (m *model) drain(t *rapid.T) {
	for range 1000 {
		m.now = m.now.Add(100 * time.Millisecond)
		m.settle(t)
		for _, id := range m.ids(fateRunning) {
			m.queue.Done(m.now, id, 1, true)
			m.move(t, id, fateRunning, fateEnded)
		}
		m.settle(t)
		if len(m.ids(fateQueued)) == 0 && len(m.ids(fateRunning)) == 0 {
			return
		}
	}
	t.Fatalf("%d requests never ended", len(m.ids(fateQueued)))
}
