package experts

import (
	"context"
	"errors"
	"slices"
	"testing"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"pgregory.net/rapid"
)

// restoredStore is a lease store that can be restored from a backup.
type restoredStore struct {
	era          int64
	records      []StoredRecord
	backupLength int
	// restoreAfterRead restores the store between the read and the append of the next claim.
	restoreAfterRead bool
}

func (s *restoredStore) end() storelog.Position {
	return storelog.NewPosition(s.era, int64(len(s.records)))
}

func (s *restoredStore) restore() {
	s.era++
	s.records = slices.Clone(s.records[:min(s.backupLength, len(s.records))])
	for i := range s.records {
		s.records[i].Position = storelog.NewPosition(s.era, int64(i))
	}
}

func (s *restoredStore) ReadLeases(_ context.Context, from storelog.Position) (storelog.Position, []StoredRecord, error) {
	end, first := s.end(), from.Offset()
	if from.Era() != s.era || from > end {
		first = 0
	}
	records := slices.Clone(s.records[first:])
	if s.restoreAfterRead {
		s.restoreAfterRead = false
		s.restore()
	}
	return end, records, nil
}

func (s *restoredStore) AppendLease(_ context.Context, end storelog.Position, data []byte) (bool, error) {
	if end.Offset() != s.end().Offset() {
		return false, nil
	}
	s.records = append(s.records, StoredRecord{Position: s.end(), Data: data})
	if end.Era() != s.era {
		return false, errors.New("position of another era")
	}
	return true, nil
}

// TestFenceIncreasesAcrossStoreRestores checks that fencing tokens increase even if the
// store is restored from a backup repeatedly.
func TestFenceIncreasesAcrossStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, known, highest := &restoredStore{era: rapid.Int64Range(0, 1).Draw(t, "first era")}, map[string]int64{}, int64(0)
		claim := func(t *rapid.T) {
			holder := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "holder")
			claimed, err := ClaimLease(context.Background(), store, LeaseRecord{Group: "g", Holder: holder}, known[holder])
			switch {
			case err != nil:
			case claimed.Fence > 0 && claimed.Fence <= highest:
				t.Fatalf("%s got fence %d after %d", holder, claimed.Fence, highest)
			case claimed.Fence == 0:
				known[holder] = max(known[holder], claimed.Newest)
			default:
				known[holder], highest = claimed.Fence, claimed.Fence
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":                  claim,
			"claim again":            claim,
			"take backup":            func(*rapid.T) { store.backupLength = len(store.records) },
			"restore":                func(*rapid.T) { store.restore() },
			"restore during a claim": func(*rapid.T) { store.restoreAfterRead = true },
		})
	})
}
