package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"google.golang.org/protobuf/proto"
)

// FuzzReceive checks that no datagram causes a panic or blocks a limited server for longer
// than the debt bound allows.
func FuzzReceive(f *testing.F) {
	for _, limit := range []*peerrpc.ServerLimit{
		{Server: "s", Named: true, PerSecond: 1, Sent: 3, Refused: 2, Customer: 7, Tokens: 0.5, AskedAgeMs: 20, HeardAgeMs: 10},
		{Server: "s", Named: true, PerSecond: math.Inf(1), Sent: math.MaxInt64, Refused: math.MinInt64, Tokens: math.NaN(), AskedAgeMs: math.MaxInt64},
		{Server: "s", Named: true, PerSecond: math.NaN(), Tokens: math.Inf(-1), HeardAgeMs: -1},
		{Server: "s"},
	} {
		data, err := proto.Marshal(&peerrpc.LimitNews{Sender: 2, Part: 0.5, Limits: []*peerrpc.ServerLimit{limit}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var update peerrpc.LimitNews
		if proto.Unmarshal(data, &update) != nil {
			return
		}
		now := time.Unix(5000, 0)
		table := New(1, func() float64 { return 0.5 })
		table.UpdateLimit("s", Limit{Present: true, PerSecond: 1, RequestedAt: now, ReceivedAt: now})
		for range 2 { // counts take effect as differences
			table.Receive("peer", &update, now)
			for _, limit := range update.GetLimits() {
				limit.Sent, limit.Refused = math.MaxInt64, math.MaxInt64
			}
		}
		// Half of the limit belongs to an unresponsive peer; minRate is the lower bound.
		seconds := (maxDebt + 3*minBurst) / (minRate * safetyFactor * 0.5)
		longest := time.Duration(seconds * float64(time.Second))
		if wait := table.Wait("s", TokenRequest{}, now); wait < 0 || wait > longest {
			t.Fatalf("server is blocked for %v", wait)
		}
	})
}
