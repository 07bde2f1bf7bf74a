package entry

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/sirupsen/logrus"
)

// leavingList is the platform's list, which says of each server whether it's leaving.
type leavingList map[string]bool

func (l leavingList) Leaving(context.Context) (map[string]bool, error) { return l, nil }

func TestOlderListDoesNotBringBackALeavingServer(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rep, now := replica.New(time.Now), time.Unix(1000, 0)
	foldRecord(t, rep, &config.Record{Kind: config.RecordChange, Bundle: &config.Bundle{CommandID: "c", Actor: "op", Changes: []config.Change{
		{Kind: config.KindService, Name: "s", Object: &config.Object{Kind: config.KindService, Name: "s", Service: &config.Service{Protocol: config.ProtocolPlain, PathPrefix: "/s"}}},
		{Kind: config.KindBackendServer, Name: "i", Object: &config.Object{Kind: config.KindBackendServer, Name: "i", BackendServer: &config.BackendServer{
			Service: "s", Zone: "a", Address: "127.0.0.1:1", Control: "127.0.0.1:2",
		}}},
	}}})
	e := New(Options{Name: "e", Zone: "a", PollsPerSecond: 1}, rep, func() time.Time { return now }, logrus.NewEntry(logger))
	listed := func(leaving bool) bool {
		e.readVMs(context.Background(), leavingList{"i": leaving})
		return e.table.Row("i").ListedLeaving
	}
	if !listed(true) {
		t.Fatal("the list isn't taken in")
	}
	e.VMListRestored()
	if !listed(false) {
		t.Fatal("an older list brought the server back")
	}
	now = now.Add(relistTime + time.Millisecond)
	if listed(false) {
		t.Fatal("the list isn't believed again")
	}
}
