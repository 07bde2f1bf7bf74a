package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"google.golang.org/protobuf/proto"
)

// FuzzNews: no datagram makes a daemon panic, or shuts off a server that it limits.
func FuzzNews(f *testing.F) {
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
		var news peerrpc.LimitNews
		if proto.Unmarshal(data, &news) != nil {
			return
		}
		now := time.Unix(5000, 0)
		table := New(1, func() float64 { return 0.5 })
		table.UpdateLimit("s", Limit{Present: true, PerSecond: 1, RequestedAt: now, ReceivedAt: now})
		for range 2 { // what it counts is a difference
			table.Receive("peer", &news, now)
			for _, limit := range news.GetLimits() {
				limit.Sent, limit.Refused = math.MaxInt64, math.MaxInt64
			}
		}
		// Half of the limit is another's that fell silent; nothing is below one in 30 s.
		seconds := (mostDebt + 3*leastBurst) / (leastRate * safety * 0.5)
		longest := time.Duration(seconds * float64(time.Second))
		if left := table.Wait("s", Request{}, now); left < 0 || left > longest {
			t.Fatalf("it gets nothing for %v", left)
		}
	})
}
