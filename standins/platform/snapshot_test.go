package platform

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/crowbridge/crowbridge/platform"
)

// newConfigLog returns a configuration log on a new store, whose handler wrap may replace.
func newConfigLog(t *testing.T, wrap func(http.Handler) http.Handler) platform.ConfigLog {
	t.Helper()
	server := httptest.NewServer(wrap(NewStore()))
	t.Cleanup(server.Close)
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport)
	return platform.ConfigLog{Store: store, Now: time.Now}
}

func passThrough(h http.Handler) http.Handler { return h }

// randomSnapshot returns bytes that differ for each size.
func randomSnapshot(size int) []byte {
	data := make([]byte, size)
	random := rand.NewChaCha8([32]byte{byte(size)})
	_, _ = random.Read(data) // never fails
	return data
}

func requireSnapshot(t *testing.T, log platform.ConfigLog, want []byte) {
	t.Helper()
	got, err := log.LoadSnapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Fatalf("loaded a snapshot of %d bytes, want %d", len(got), len(want))
	}
}

// A snapshot that is split into records must be loaded complete, and a late writer must not
// replace a newer snapshot.
func TestOlderSnapshotNeverReplacesNewer(t *testing.T) {
	log, ctx := newConfigLog(t, passThrough), context.Background()
	requireSnapshot(t, log, nil)
	large, small := randomSnapshot(700<<10), randomSnapshot(10)
	for _, step := range []struct {
		offset   storelog.Position
		snapshot []byte
		want     []byte
	}{{5, large, large}, {9, small, small}, {7, large, small}, {9, large, small}, {12, large, large}} {
		if err := log.SaveSnapshot(ctx, step.offset, step.snapshot); err != nil {
			t.Fatal(err)
		}
		requireSnapshot(t, log, step.want)
	}
}

// Parts of snapshots of concurrent writers must never be combined into one.
func TestConcurrentSnapshotsAreNeverMixed(t *testing.T) {
	ctx := context.Background()
	interleaved := false
	var log platform.ConfigLog
	log = newConfigLog(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && !interleaved {
				interleaved = true
				if err := log.SaveSnapshot(ctx, 8, randomSnapshot(30)); err != nil {
					t.Error(err)
				}
			}
			next.ServeHTTP(w, r)
		})
	})
	if err := log.SaveSnapshot(ctx, 6, randomSnapshot(20)); err == nil {
		t.Fatal("a snapshot replaced one that was written concurrently")
	}
	requireSnapshot(t, log, randomSnapshot(30))

	store := NewStore()
	mixed := newConfigLog(t, func(http.Handler) http.Handler { return store })
	if err := mixed.SaveSnapshot(ctx, 6, randomSnapshot(20)); err != nil {
		t.Fatal(err)
	}
	store.Put("keyed.configuration", "part-0000", "another's")
	if _, err := mixed.LoadSnapshot(ctx); err == nil {
		t.Fatal("parts of two snapshots were loaded as one")
	}
}
