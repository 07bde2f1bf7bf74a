package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

// clientOf returns a daemon's client of a store.
func clientOf(t *testing.T, store *Store) *platform.Store {
	t.Helper()
	server := httptest.NewServer(store)
	t.Cleanup(server.CloseClientConnections)
	return platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
}

func TestFencingTokensRiseAfterTheStoreCameBackOlder(t *testing.T) {
	store := NewStore()
	client, ctx := clientOf(t, store), context.Background()
	known := int64(0)
	claim := func(holder string) {
		t.Helper()
		for range 2 { // refused the first time where the history shows a token unknown here
			claimed, err := experts.Claim(ctx, client, experts.LeaseRecord{Group: "g", Holder: holder}, known)
			if err != nil {
				t.Fatal(err)
			}
			if max(claimed.Fence, claimed.Newest) < known {
				t.Fatalf("%s was told of token %d after %d", holder, max(claimed.Fence, claimed.Newest), known)
			}
			known = max(known, claimed.Newest)
			if claimed.Fence > 0 {
				return
			}
		}
		t.Fatalf("%s got no lease", holder)
	}
	claim("a")
	store.Copy()
	claim("b")
	claim("c")
	for _, holder := range []string{"d", "e", "f"} {
		store.Return()
		before := known
		claim(holder)
		if known <= before {
			t.Fatalf("%s got token %d, %d was out before the store came back", holder, known, before)
		}
	}
}

// followed returns a replica that follows the product's configuration on a store.
func followed(t *testing.T, store *Store) (*replica.Replica, platform.ConfigLog) {
	t.Helper()
	log := platform.ConfigLog{Store: clientOf(t, store), Now: time.Now}
	r := replica.New(time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	logger, _ := logrustest.NewNullLogger()
	go r.Follow(ctx, []replica.Source{replica.LogSource{Log: log}}, logrus.NewEntry(logger))
	go r.Keep(ctx, log, logrus.NewEntry(logger))
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

// awaitCustomers waits until a replica knows customers.
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
		t.Fatalf("%v: want customers %v, got %d at %d", err, names, len(r.View().List(config.KindCustomer)), r.View().Offset)
	}
}

func TestAcknowledgedChangesOutliveTheStoresReturnFromAnOlderCopy(t *testing.T) {
	for after := range 4 {
		t.Run(fmt.Sprint(after, " changes after the return"), func(t *testing.T) {
			store := NewStore()
			first, log := followed(t, store)
			second, _ := followed(t, store)
			addCustomer(t, log, "a")
			awaitCustomers(t, first, "a")
			store.Copy()
			addCustomer(t, log, "b")
			addCustomer(t, log, "c")
			for _, r := range []*replica.Replica{first, second} {
				awaitCustomers(t, r, "a", "b", "c")
			}
			revision := first.View().Get(config.KindCustomer, "c").Revision

			store.Return()
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
					t.Fatalf("a change after the return has revision %d, one before it had %d", e, revision)
				}
			}
			fresh, _ := followed(t, store)
			awaitCustomers(t, fresh, names...)
		})
	}
}
