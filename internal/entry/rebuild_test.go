package entry

import (
	"io"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/sirupsen/logrus"
)

func applyRecord(t *testing.T, rep *replica.Replica, record *config.Record) {
	t.Helper()
	record.Format = config.FormatVersion
	data, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	entry := config.LogEntry{Position: rep.Next(), Data: data}
	if err := rep.Apply(replica.Batch{Entries: []config.LogEntry{entry}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against recompiling the routes, which takes tens of milliseconds, for frequent
// records that don't affect them.
func TestOnlyChangesRebuildTheRoutes(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rep := replica.New(time.Now)
	e := New(Options{Name: "e", Zone: "a", PollsPerSecond: 1}, rep, time.Now, logrus.NewEntry(logger))
	before := e.snapshot.Load()
	applyRecord(t, rep, &config.Record{Kind: config.RecordEvent, Event: &config.Event{Actor: "h", Action: config.AuditMap, Object: "Group/g"}})
	e.rebuild()
	if e.snapshot.Load() != before {
		t.Fatal("an event rebuilt the routes")
	}
	customer := &config.Object{Kind: config.KindCustomer, Name: "c", Customer: &config.Customer{}}
	applyRecord(t, rep, &config.Record{Kind: config.RecordChange, Bundle: &config.Bundle{
		CommandID: "1", Changes: []config.Change{{Kind: customer.Kind, Name: customer.Name, Object: customer}},
	}})
	e.rebuild()
	if e.snapshot.Load().index.Customer("c") == nil {
		t.Fatal("a change did not rebuild the routes")
	}
}
