package experts

import (
	"context"
	"errors"
	"flag"
	"testing"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"pgregory.net/rapid"
)

// The fixed seed keeps CI deterministic; -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// lossyStore keeps leases in memory. It may lose the response to an append.
type lossyStore struct {
	records      []StoredRecord
	loseResponse bool
}

func (s *lossyStore) ReadLeases(_ context.Context, from storelog.Position) (storelog.Position, []StoredRecord, error) {
	end := storelog.Position(len(s.records))
	return end, s.records[min(from, end):], nil
}

func (s *lossyStore) AppendLease(_ context.Context, end storelog.Position, data []byte) (bool, error) {
	if end != storelog.Position(len(s.records)) {
		return false, nil
	}
	s.records = append(s.records, StoredRecord{Position: end, Data: data})
	if s.loseResponse {
		return false, errors.New("response lost")
	}
	return true, nil
}

// TestLeaseFenceIncreases checks that a claim succeeds only if the claimer knows the
// newest lease, that fencing tokens increase, and that the history names the holder.
func TestLeaseFenceIncreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, known := &lossyStore{}, map[string]int64{}
		newest := int64(0)
		for range 40 {
			holder := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "holder")
			group := rapid.SampledFrom([]string{"g", "other"}).Draw(t, "group")
			store.loseResponse = rapid.Bool().Draw(t, "response lost")
			claimed, err := ClaimLease(context.Background(), store, LeaseRecord{Group: group, Holder: holder}, known[holder+group])
			if group != "g" {
				continue
			}
			held := currentLease(t, store, "g")
			if err != nil {
				newest = held.Fence // the claimer doesn't learn whether it succeeded
				continue
			}
			if claimed.Fence == 0 {
				if claimed.Newest <= known[holder+group] {
					t.Fatalf("claim refused with fence %d, although the history has none newer than %d", claimed.Newest, known[holder+group])
				}
				known[holder+group] = claimed.Newest
				continue
			}
			if known[holder+group] != newest || claimed.Fence <= newest {
				t.Fatalf("%s knew fence %d and got %d when the newest was %d", holder, known[holder+group], claimed.Fence, newest)
			}
			if held.Holder != holder || held.Fence != claimed.Fence {
				t.Fatalf("%s got fence %d, the history has %+v", holder, claimed.Fence, held)
			}
			newest, known[holder+group] = claimed.Fence, claimed.Fence
		}
	})
}

func currentLease(t *rapid.T, store LeaseStore, group string) LeaseState {
	all, err := CurrentLeases(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	for _, held := range all {
		if held.Group == group {
			return held
		}
	}
	return LeaseState{}
}
