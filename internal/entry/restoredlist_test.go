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

// staticVMList implements VMList with fixed contents.
type staticVMList map[string]bool

func (l staticVMList) LeavingServers(context.Context) (map[string]bool, error) { return l, nil }

func TestRestoredVMListKeepsServerLeaving(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	rep, now := replica.New(time.Now), time.Unix(1000, 0)
	applyRecord(t, rep, &config.Record{Kind: config.RecordChange, Bundle: &config.Bundle{CommandID: "c", Actor: "op", Changes: []config.Change{
		{Kind: config.KindService, Name: "s", Object: &config.Object{Kind: config.KindService, Name: "s", Service: &config.Service{Protocol: config.ProtocolPlain, PathPrefix: "/s"}}},
		{Kind: config.KindBackendServer, Name: "i", Object: &config.Object{Kind: config.KindBackendServer, Name: "i", BackendServer: &config.BackendServer{
			Service: "s", Zone: "a", Address: "127.0.0.1:1", Control: "127.0.0.1:2",
		}}},
	}}})
	e := New(Options{Name: "e", Zone: "a", PollsPerSecond: 1}, rep, func() time.Time { return now }, logrus.NewEntry(logger))
	listed := func(leaving bool) bool {
		e.readVMList(context.Background(), staticVMList{"i": leaving})
		return e.table.Row("i").ListedLeaving
	}
	if !listed(true) {
		t.Fatal("the list was ignored")
	}
	e.VMListRestored()
	if !listed(false) {
		t.Fatal("a restored list cleared the leaving state")
	}
	now = now.Add(vmListStaleTime + time.Millisecond)
	if listed(false) {
		t.Fatal("the list is still ignored after the stale time")
	}
}
