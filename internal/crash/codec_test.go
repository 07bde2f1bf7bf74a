package crash

import (
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"google.golang.org/protobuf/proto"
)

// FuzzNews: no datagram makes a daemon panic, and what it takes in it tells on as it is.
func FuzzNews(f *testing.F) {
	now := time.Unix(100000, 0)
	d := quarantine.DigestOf("c", "POST", "h", "/", nil)
	good, err := proto.Marshal(&peerrpc.CrashNews{Evidence: Encode([]quarantine.Evidence{
		{Digest: d, Server: "a", ExitedAt: now.Add(-time.Second)}, {Digest: d, Server: "b", ExitedAt: now, Cleared: true},
	}, now)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	future, err := proto.Marshal(&peerrpc.CrashNews{Evidence: []*peerrpc.CrashEvidence{
		{Digest: d[:], Server: "a", AgeMs: 1<<63 - 1}, {Digest: d[:], Server: "b", AgeMs: 1 << 50},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(future)
	f.Fuzz(func(t *testing.T, data []byte) {
		var news peerrpc.CrashNews
		if proto.Unmarshal(data, &news) != nil {
			return
		}
		table, other := quarantine.NewTable(), quarantine.NewTable()
		table.Merge(Decode(news.GetEvidence(), now), now)
		known, _ := table.Since(0)
		for _, e := range known {
			if e.ExitedAt.After(now) {
				t.Fatalf("%s ends at %v, which is to come", e.Server, e.ExitedAt)
			}
		}
		other.Merge(Decode(Encode(known, now), now), now)
		if table.Hash() != other.Hash() {
			t.Fatalf("%d pieces of evidence aren't told on as they are", len(known))
		}
	})
}
