package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkChoose picks among the ranks of a group, none of which rests. Medians of five runs
// for 16, 256 and 2,400: 8.1 us, 131 us and 1.31 ms with 3, 64 and 949 KB before servers' own
// words were looked at; 9.8 us, 134 us and 1.54 ms when they were; 5.7 us, 80 us and 0.89 ms
// with 0.5, 9 and 82 KB now that what is told of a choice is made for the picked one only.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 256, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			servers := ranks(n)
			board := NewBalancer(testPolicy, "z0", rand.New(rand.NewPCG(1, 1)).IntN)
			now := time.Unix(1000, 0)
			for _, server := range servers {
				board.UpdateLoad(server.ID, Load{Running: 3}, now)
			}
			request := &Request{}
			b.ReportAllocs()
			for b.Loop() {
				board.Choose(now, servers, request, nil)
			}
		})
	}
}

// BenchmarkChooseOfService picks among the servers of a service, from what is allowed to the
// picked server. Medians of five runs for 16, 256 and 2,400: 4.0, 58 and 589 us when each was
// looked at; 4.0, 33 and 37 us now that some are.
func BenchmarkChooseOfService(b *testing.B) {
	for _, n := range []int{16, 256, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStory(ranks(n)...)
			for _, server := range s.world.servers.OfService("model") {
				s.board.UpdateLoad(server.Key(), Load{Running: 3}, s.clock.now())
			}
			request := s.request("stream")
			target, f := s.pipeline.accept(request)
			if f != nil {
				b.Fatal(f)
			}
			x := &exchange{Target: target, request: request, route: target.Route, lastEvent: -1}
			b.ReportAllocs()
			for b.Loop() {
				if server, f := s.pipeline.choose(context.Background(), x); server == nil {
					b.Fatal(f)
				}
			}
		})
	}
}
