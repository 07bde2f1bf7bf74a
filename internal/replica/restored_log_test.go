package replica

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/sirupsen/logrus"
)

// testLogger returns a logger that discards its lines.
func testLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// settle makes replicas read the log in turn until none of them reads or writes anything more.
func settle(t *testing.T, log *eraLog, replicas ...*Replica) {
	t.Helper()
	for range 20 {
		before, unchanged := log.end(), true
		for _, r := range replicas {
			position := r.Position()
			if _, err := r.followOnce(context.Background(), LogSource{Log: log}, testLogger()); err != nil {
				t.Fatal(err)
			}
			unchanged = unchanged && r.Position() == position
		}
		if unchanged && log.end() == before {
			return
		}
	}
	t.Fatalf("the replicas don't settle; the log ends at %s", log.end())
}

type fataler interface{ Fatal(...any) }

// sentCommand is a command that sets a customer's weight.
type sentCommand struct {
	id, customer string
	weight       int
}

// encodeWeight encodes a command that sets a customer's weight, on condition of a revision.
func encodeWeight(t fataler, command sentCommand, revision int64) []byte {
	data, err := config.NewChange(&config.Bundle{CommandID: command.id, Actor: "op", Changes: []config.Change{{
		Kind: config.KindCustomer, Name: command.customer, ExpectedRevision: revision,
		Object: &config.Object{Kind: config.KindCustomer, Name: command.customer, Customer: &config.Customer{Weight: command.weight}},
	}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// currentRevision returns a customer's revision, or 0 if it doesn't exist.
func currentRevision(r *Replica, customer string) int64 {
	if current := r.View().Get(config.KindCustomer, customer); current != nil {
		return current.Revision
	}
	return 0
}

func mustAppend(t *testing.T, log *eraLog, data []byte) {
	t.Helper()
	if _, err := log.Append(context.Background(), data); err != nil {
		t.Fatal(err)
	}
}

// appendEvent appends an audited event.
func appendEvent(t *testing.T, log *eraLog) {
	t.Helper()
	mustAppend(t, log, entryAt(int64(len(log.entries))).Data)
}

// sendWeight appends a change of customer c as the CLI does: on condition of the revision that a
// replica has.
func sendWeight(t *testing.T, r *Replica, log *eraLog, weight int) (command string) {
	t.Helper()
	sent := sentCommand{id: fmt.Sprint("weight-", weight), customer: "c", weight: weight}
	mustAppend(t, log, encodeWeight(t, sent, currentRevision(r, "c")))
	return sent.id
}

// acceptWeight sends a change and makes replicas read it. The first one must have accepted it.
func acceptWeight(t *testing.T, log *eraLog, weight int, replicas ...*Replica) {
	t.Helper()
	command := sendWeight(t, replicas[0], log, weight)
	settle(t, log, replicas...)
	if result, known := replicas[0].Result(command); !known || !result.Accepted {
		t.Fatalf("%s isn't accepted: %+v", command, result)
	}
}

// requireWeight requires that replicas have one state, in which customer c has a weight.
func requireWeight(t *testing.T, want int, replicas ...*Replica) {
	t.Helper()
	_, hash := replicas[0].Hash()
	for i, r := range replicas {
		current := r.View().Get(config.KindCustomer, "c")
		if current == nil || current.Customer.Weight != want {
			t.Fatalf("replica %d at %s: weight %d isn't in force: %+v", i, r.Position(), want, current)
		}
		if at, other := r.Hash(); other != hash {
			t.Fatalf("replica %d at %s has another state than the first one", i, at)
		}
	}
}

// carriedOver returns a log and a replica that carried its state over once, so that the log has a
// state of a prior era.
func carriedOver(t *testing.T) (*eraLog, *Replica) {
	t.Helper()
	log, r := newEraLog(), New(time.Now)
	acceptWeight(t, log, 1, r)
	appendEvent(t, log)
	log.takeCopy()
	log.restoreCopy()
	settle(t, log, r)
	return log, r
}

// copyBeforeCarryOver takes a copy that lacks the last carry-over, and makes changes after it.
func copyBeforeCarryOver(t *testing.T, log *eraLog, r *Replica) {
	t.Helper()
	log.takeCopy()
	log.restoreCopy()
	log.takeCopy()
	settle(t, log, r)
	acceptWeight(t, log, 2, r)
	acceptWeight(t, log, 3, r)
}

// TestRestoredLogIsNotAppliedAgain takes copies that lack the last carry-over, or that can't be
// compared by what a process retains.
func TestRestoredLogIsNotAppliedAgain(t *testing.T) {
	for name, order := range map[string]func(t *testing.T, log *eraLog, r *Replica) *Replica{
		"copy from before the last carry-over": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			copyBeforeCarryOver(t, log, r)
			log.restoreCopy()
			return r
		},
		"the same copy twice": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			log.takeCopy()
			for _, weight := range []int{2, 3} {
				acceptWeight(t, log, weight, r)
				log.restoreCopy()
				settle(t, log, r)
			}
			return r
		},
		"two returns before a read": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			acceptWeight(t, log, 2, r)
			log.takeCopy()
			acceptWeight(t, log, 3, r)
			log.restoreCopy()
			log.restoreCopy()
			return r
		},
		"a copy from two carry-overs before": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			log.takeCopy()
			acceptWeight(t, log, 2, r)
			for range 2 {
				log.takeCopy()
				log.restoreCopy()
				settle(t, log, r)
			}
			acceptWeight(t, log, 3, r)
			log.restoreOlderCopy(2)
			return r
		},
		"a return while the state is carried over": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			log.takeCopy()
			acceptWeight(t, log, 2, r)
			acceptWeight(t, log, 3, r)
			log.restoreCopy()
			log.afterReadAll = log.restoreCopy // the append succeeds in the next era
			_, _ = r.followOnce(context.Background(), LogSource{Log: log}, testLogger())
			return r
		},
		"a start from a snapshot": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			copyBeforeCarryOver(t, log, r)
			if err := r.persistOnce(context.Background(), log); err != nil {
				t.Fatal(err)
			}
			log.expire(1)
			started := New(time.Now)
			settle(t, log, started)
			log.restoreCopy()
			return started
		},
		"a log that has expired all but one record": func(t *testing.T, log *eraLog, r *Replica) *Replica {
			acceptWeight(t, log, 2, r)
			if err := r.persistOnce(context.Background(), log); err != nil {
				t.Fatal(err)
			}
			log.expire(1)
			log.takeCopy()
			log.restoreCopy()
			log.takeCopy()
			settle(t, log, r)
			acceptWeight(t, log, 3, r)
			log.restoreCopy()
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			log, r := carriedOver(t)
			r = order(t, log, r)
			settle(t, log, r)
			requireWeight(t, 3, r)
			events := 0
			for _, entry := range r.Audit(config.NoOffset) {
				if entry.Action == config.AuditMap {
					events++
				}
			}
			if events != 1 {
				t.Fatalf("one event is %d times in the audit trail", events)
			}
		})
	}
}

// A state of a release that doesn't record what it contains still isn't replaced by an older one.
func TestStateOfEarlierReleaseIsNotReplacedByOlderOne(t *testing.T) {
	log, r := carriedOver(t)
	log.takeCopy()
	acceptWeight(t, log, 2, r)
	acceptWeight(t, log, 3, r)
	data, _, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	state, err := config.DecodeSnapshot(data)
	if err != nil {
		t.Fatal(err)
	}
	state.Applied, state.CarriedInto = nil, 0
	earlier := New(time.Now)
	if !earlier.InstallState(state) {
		t.Fatal("not installed")
	}
	log.restoreCopy()
	settle(t, log, earlier)
	requireWeight(t, 3, earlier)
}

// A daemon that knew fewer changes carried its state over; the others repeat theirs.
func TestRepeatedChangesOfOneObjectKeepTheirOrder(t *testing.T) {
	log, behind, ahead := newEraLog(), New(time.Now), New(time.Now)
	acceptWeight(t, log, 1, ahead, behind)
	log.takeCopy()
	acceptWeight(t, log, 2, ahead)
	acceptWeight(t, log, 3, ahead)
	log.restoreCopy()
	settle(t, log, behind)
	settle(t, log, ahead, behind)
	requireWeight(t, 3, ahead, behind)
	acceptWeight(t, log, 4, ahead, behind)
	requireWeight(t, 4, ahead, behind)
}

// A change on any revision that comes back late must not replace a later one.
func TestRepeatedForcedChangeDoesNotReplaceLaterOne(t *testing.T) {
	log, paused, other := newEraLog(), New(time.Now), New(time.Now)
	acceptWeight(t, log, 1, paused, other)
	log.takeCopy()
	mustAppend(t, log, encodeWeight(t, sentCommand{id: "forced", customer: "c", weight: 2}, config.AnyRevision))
	settle(t, log, paused)
	log.restoreCopy()
	settle(t, log, other)
	acceptWeight(t, log, 3, other)
	settle(t, log, paused, other)
	requireWeight(t, 3, paused, other)
}

// The store is unreachable for longer than the view keeps what the log lacks.
func TestChangeIsRepeatedAfterLongOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	log, behind, ahead := newEraLog(), New(time.Now), New(func() time.Time { return now })
	acceptWeight(t, log, 1, ahead, behind)
	log.takeCopy()
	acceptWeight(t, log, 2, ahead)
	log.restoreCopy()
	settle(t, log, behind)
	if _, err := ahead.followOnce(context.Background(), LogSource{Log: log}, testLogger()); err != nil { // enters the era
		t.Fatal(err)
	}
	now = now.Add(2 * viewHold)
	ahead.releaseView()
	settle(t, log, ahead, behind)
	requireWeight(t, 2, ahead, behind)
}

// A daemon that was paused carries its state over; on the copied log the changes lie at positions of
// another era than in their conditions.
func TestDaemonThatIsBehindAppliesConditionalChangesOfCopy(t *testing.T) {
	log, behind, ahead := newEraLog(), New(time.Now), New(time.Now)
	acceptWeight(t, log, 1, ahead, behind)
	acceptWeight(t, log, 2, ahead)
	acceptWeight(t, log, 3, ahead)
	log.takeCopy()
	log.restoreCopy()
	settle(t, log, behind)
	settle(t, log, ahead, behind)
	requireWeight(t, 3, ahead, behind)
}

// No daemon that knew the changes is left; their conditions are on positions of a prior era.
func TestStartWithCopiedLogAppliesConditionalChanges(t *testing.T) {
	log, r := newEraLog(), New(time.Now)
	acceptWeight(t, log, 1, r)
	acceptWeight(t, log, 2, r)
	log.takeCopy()
	log.restoreCopy()
	first, second := New(time.Now), New(time.Now)
	settle(t, log, first, second)
	requireWeight(t, 2, first, second)
}

// A daemon that starts accepts a change before another one carries its state over, which conflicts.
func TestChangeAcceptedBeforeCarryOverStaysInForce(t *testing.T) {
	log, r := newEraLog(), New(time.Now)
	log.takeCopy()
	acceptWeight(t, log, 1, r)
	log.restoreCopy()
	started := New(time.Now)
	acceptWeight(t, log, 2, started)
	settle(t, log, r, started)
	requireWeight(t, 2, r, started)
}

// A daemon that starts is in an era before a state is carried over into it, and misses that one.
func TestStateCarriedOverAfterStartIsMerged(t *testing.T) {
	log, r := newEraLog(), New(time.Now)
	acceptWeight(t, log, 1, r)
	log.takeCopy()
	acceptWeight(t, log, 2, r)
	log.restoreCopy()
	started := New(time.Now)
	settle(t, log, started)
	settle(t, log, r)
	log.takeCopy()
	log.restoreCopy()
	settle(t, log, started)
	requireWeight(t, 2, started)
}
