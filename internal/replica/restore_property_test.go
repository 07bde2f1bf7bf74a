package replica

import (
	"context"
	"flag"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// The seed is fixed for reproducible CI runs; -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// restoredLogModel has replicas that follow the log independently.
type restoredLogModel struct {
	log      *eraLog
	replicas []*Replica
	// known holds the changes that each replica has applied since its start.
	known    []map[string]bool
	position []storelog.Position
	commands int
}

func (m *restoredLogModel) start(i int) {
	m.replicas[i], m.known[i], m.position[i] = New(time.Now), map[string]bool{}, storelog.Unknown
}

func (m *restoredLogModel) change(t *rapid.T) {
	m.commands++
	name := fmt.Sprint("c", m.commands)
	data, err := config.NewChange(&config.Bundle{CommandID: name, Actor: "op", Changes: []config.Change{{
		Kind: config.KindCustomer, Name: name, ExpectedRevision: config.AnyRevision,
		Object: &config.Object{Kind: config.KindCustomer, Name: name, Customer: &config.Customer{}},
	}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	write := func() { _, _ = m.log.Append(context.Background(), data) } // never fails
	if rapid.Bool().Draw(t, "during ReadAll") {
		m.log.afterReadAll = write
		return
	}
	for range rapid.IntRange(1, 2).Draw(t, "appends") {
		write()
	}
}

// step makes a replica read once and checks that it hasn't lost an applied change.
func (m *restoredLogModel) step(t *rapid.T, i int) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	r := m.replicas[i]
	if _, err := r.followOnce(context.Background(), LogSource{Log: m.log}, logrus.NewEntry(logger)); err != nil {
		t.Fatal(err)
	}
	if r.Position() < m.position[i] {
		t.Fatalf("replica %d went from position %s to %s", i, m.position[i], r.Position())
	}
	m.position[i] = r.Position()
	for _, customer := range r.View().List(config.KindCustomer) {
		m.known[i][customer.Name] = true
	}
	m.checkKnown(t, i)
}

func (m *restoredLogModel) checkKnown(t *rapid.T, i int) {
	for name := range m.known[i] {
		if m.replicas[i].View().Get(config.KindCustomer, name) == nil {
			t.Fatalf("replica %d lost change %s", i, name)
		}
	}
}

// changesOnLog returns the changes that are on the log, before or after a restored state.
func (m *restoredLogModel) changesOnLog() map[string]bool {
	found := map[string]bool{}
	for _, entry := range m.log.entries {
		if record, err := config.DecodeRecord(entry.Data); err == nil && record.Bundle != nil {
			found[record.Bundle.CommandID] = true
		}
	}
	return found
}

// TestChangeSurvivesWhileAnyReplicaHasIt checks that a change isn't lost when the log is restored
// while any replica has it, and that all replicas converge on one state.
func TestChangeSurvivesWhileAnyReplicaHasIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const replicas = 3
		m := &restoredLogModel{
			log: newEraLog(), replicas: make([]*Replica, replicas), known: make([]map[string]bool, replicas), position: make([]storelog.Position, replicas),
		}
		for i := range replicas {
			m.start(i)
		}
		drawReplica := func(t *rapid.T) int { return rapid.IntRange(0, replicas-1).Draw(t, "replica") }
		read := func(t *rapid.T) { m.step(t, drawReplica(t)) }
		t.Repeat(map[string]func(*rapid.T){
			"change":              m.change,
			"change again":        m.change,
			"read":                read,
			"read again":          read,
			"read on":             read,
			"copy":                func(*rapid.T) { m.log.takeCopy() },
			"come back from copy": func(*rapid.T) { m.log.restoreCopy() },
			"start":               func(t *rapid.T) { m.start(drawReplica(t)) },
		})
		for range 3 * replicas {
			for i := range replicas {
				m.step(t, i)
			}
		}
		m.known = append(m.known, m.changesOnLog())
		_, want := m.replicas[0].Hash()
		for i, r := range m.replicas {
			if at, hash := r.Hash(); hash != want {
				t.Fatalf("replica %d at %s has another state than the first at %s", i, at, m.replicas[0].Position())
			}
			for _, known := range m.known {
				for name := range known {
					if r.View().Get(config.KindCustomer, name) == nil {
						t.Fatalf("replica %d lacks change %s, which is applied elsewhere", i, name)
					}
				}
			}
		}
	})
}
