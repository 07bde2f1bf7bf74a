package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

// newClient returns a daemon's client for a store.
func newClient(t *testing.T, store http.Handler) *platform.Store {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
}

// partitionableStore is a store that can become unreachable for one daemon.
type partitionableStore struct {
	*Store
	unreachable atomic.Bool
}

func (c *partitionableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.unreachable.Load() {
		panic(http.ErrAbortHandler)
	}
	c.Store.ServeHTTP(w, r)
}

func TestFencingTokensIncreaseAcrossStoreRestores(t *testing.T) {
	store := NewStore()
	client, ctx := newClient(t, store), context.Background()
	known := int64(0)
	claim := func(holder string) {
		t.Helper()
		for range 2 { // the first claim is refused if the log has a token that this test doesn't know
			claimed, err := experts.ClaimLease(ctx, client, experts.LeaseRecord{Group: "g", Holder: holder}, known)
			if err != nil {
				t.Fatal(err)
			}
			if max(claimed.Fence, claimed.Newest) < known {
				t.Fatalf("%s received token %d after token %d", holder, max(claimed.Fence, claimed.Newest), known)
			}
			known = max(known, claimed.Newest)
			if claimed.Fence > 0 {
				return
			}
		}
		t.Fatalf("%s got no lease", holder)
	}
	claim("a")
	store.TakeBackup()
	claim("b")
	claim("c")
	for _, holder := range []string{"d", "e", "f"} {
		store.RestoreBackup()
		before := known
		claim(holder)
		if known <= before {
			t.Fatalf("%s got token %d, but token %d was issued before the restore", holder, known, before)
		}
	}
}

// startReplica returns a replica that follows the configuration log of a store.
func startReplica(t *testing.T, store http.Handler) (*replica.Replica, platform.ConfigLog) {
	t.Helper()
	log := platform.ConfigLog{Store: newClient(t, store), Now: time.Now}
	r := replica.New(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger, _ := logrustest.NewNullLogger()
	go r.Follow(ctx, []replica.Source{replica.LogSource{Log: log}}, logrus.NewEntry(logger))
	go r.PersistSnapshots(ctx, log, logrus.NewEntry(logger))
	return r, log
}

func addCustomer(t *testing.T, log platform.ConfigLog, name string) {
	t.Helper()
	object := &config.Object{Kind: config.KindCustomer, Name: name, Customer: &config.Customer{}}
	data, err := config.NewChange(&config.Bundle{
		CommandID: "add-" + name, Actor: "ops",
		Changes: []config.Change{{Kind: config.KindCustomer, Name: name, Object: object, ExpectedRevision: config.AnyRevision}},
	}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := log.Append(context.Background(), data); err != nil {
		t.Fatal(err)
	}
}

// awaitCustomers waits until a replica has the named customers.
func awaitCustomers(t *testing.T, r *replica.Replica, names ...string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err := r.Wait(ctx, func() bool {
		for _, name := range names {
			if r.View().Get(config.KindCustomer, name) == nil {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("%v: want customers %v, got %d at %s", err, names, len(r.View().List(config.KindCustomer)), r.View().Position)
	}
}

func TestAcknowledgedChangesSurviveStoreRestore(t *testing.T) {
	for after := range 4 {
		t.Run(fmt.Sprint(after, " changes after the restore"), func(t *testing.T) {
			store := NewStore()
			first, log := startReplica(t, store)
			second, _ := startReplica(t, store)
			addCustomer(t, log, "a")
			awaitCustomers(t, first, "a")
			store.TakeBackup()
			addCustomer(t, log, "b")
			addCustomer(t, log, "c")
			for _, r := range []*replica.Replica{first, second} {
				awaitCustomers(t, r, "a", "b", "c")
			}
			revision := first.View().Get(config.KindCustomer, "c").Revision

			store.RestoreBackup()
			names := []string{"a", "b", "c"}
			for i := range after {
				names = append(names, fmt.Sprint("d", i))
				addCustomer(t, log, names[len(names)-1])
			}
			names = append(names, "e")
			addCustomer(t, log, "e")
			for _, r := range []*replica.Replica{first, second} {
				awaitCustomers(t, r, names...)
				if e := r.View().Get(config.KindCustomer, "e").Revision; e <= revision {
					t.Fatalf("a change after the restore has revision %d, one before it had %d", e, revision)
				}
			}
			fresh, _ := startReplica(t, store)
			awaitCustomers(t, fresh, names...)
			awaitEqualState(t, first, second, fresh)
		})
	}
}

// awaitEqualState waits until all replicas have the same state.
func awaitEqualState(t *testing.T, replicas ...*replica.Replica) {
	t.Helper()
	var states []string
	for range 100 {
		states = nil
		for _, r := range replicas {
			position, hash := r.Hash()
			states = append(states, position.String()+" "+hash)
		}
		if len(slices.Compact(slices.Clone(states))) == 1 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("the replicas differ: %v", states)
}

func TestChangeKnownToOneDaemonIsRewrittenAfterRestore(t *testing.T) {
	store := NewStore()
	stores := []*partitionableStore{{Store: store}, {Store: store}}
	informed, log := startReplica(t, stores[0])
	other, _ := startReplica(t, stores[1])
	addCustomer(t, log, "a")
	awaitCustomers(t, other, "a")
	store.TakeBackup()
	addCustomer(t, log, "b")
	awaitCustomers(t, other, "b")
	stores[1].unreachable.Store(true)
	time.Sleep(1100 * time.Millisecond) // lets a pending long poll end
	addCustomer(t, log, "c")
	awaitCustomers(t, informed, "c")

	stores[0].unreachable.Store(true)
	store.RestoreBackup()
	stores[1].unreachable.Store(false)
	awaitRestored(t, store)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 400 {
			if informed.View().Get(config.KindCustomer, "c") == nil {
				t.Error("an applied change was lost")
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	stores[0].unreachable.Store(false)
	awaitCustomers(t, other, "a", "b", "c")
	<-done
	awaitEqualState(t, informed, other)
}

// awaitRestored waits until a replica has written its state into the restored store.
func awaitRestored(t *testing.T, store *Store) {
	t.Helper()
	for range 500 {
		for _, record := range store.Records(platform.TopicConfiguration) {
			if bytes.Contains(record, []byte(`"kind":"restore"`)) {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("no replica wrote its state into the restored store")
}
