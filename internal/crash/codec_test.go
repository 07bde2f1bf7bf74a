package crash

import (
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"google.golang.org/protobuf/proto"
)

// FuzzDecode checks that no datagram causes a panic or a time in the future, and that accepted
// evidence survives re-encoding.
func FuzzDecode(f *testing.F) {
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
		var message peerrpc.CrashNews
		if proto.Unmarshal(data, &message) != nil {
			return
		}
		table, other := quarantine.NewTable(), quarantine.NewTable()
		table.Merge(Decode(message.GetEvidence(), now), now)
		known, _ := table.Since(0)
		for _, e := range known {
			if e.ExitedAt.After(now) {
				t.Fatalf("exit of %s is at %v, in the future", e.Server, e.ExitedAt)
			}
		}
		other.Merge(Decode(Encode(known, now), now), now)
		if table.Hash() != other.Hash() {
			t.Fatalf("%d pieces of evidence changed by re-encoding", len(known))
		}
	})
}
