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
	part := quarantine.NewPart("s", "5c")
	good, err := proto.Marshal(Encode([]quarantine.Evidence{
		{Digest: d, Server: "a", ExitedAt: now.Add(-time.Second)},
		{Digest: d, Server: "b", ExitedAt: now, Cleared: true},
		quarantine.Evidence{Digest: part.Digest, Part: &part, Server: "a", ExitedAt: now}.WithContext(quarantine.PartContext{Contrast: true, Customer: "c"}),
		quarantine.Evidence{Digest: part.Digest, Part: &part, Server: "b", ExitedAt: now}.WithContext(quarantine.PartContext{Vouched: true, SeveralCustomers: true}),
	}, now))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	future, err := proto.Marshal(&peerrpc.CrashNews{Evidence: []*peerrpc.CrashEvidence{
		{Digest: d[:], Server: "a", AgeMs: 1<<63 - 1}, {Digest: d[:], Server: "b", AgeMs: 1 << 50},
	}, Parts: []*peerrpc.PartEvidence{{Digest: d[:], Part: "5c", Server: "a", AgeMs: 1<<63 - 1}}})
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
		table.Merge(Decode(&message, now), now)
		known, _ := table.Since(0)
		for _, e := range known {
			if e.ExitedAt.After(now) {
				t.Fatalf("exit of %s is at %v, in the future", e.Server, e.ExitedAt)
			}
		}
		other.Merge(Decode(Encode(known, now), now), now)
		if table.Hash() != other.Hash() || table.PartsHash() != other.PartsHash() {
			t.Fatalf("%d pieces of evidence changed by re-encoding", len(known))
		}
	})
}
