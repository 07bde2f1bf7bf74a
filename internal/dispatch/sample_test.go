package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A choice looks at some of many servers, and at all before it refuses.
func TestAmongManyServersTheOneThatTakesIsFound(t *testing.T) {
	RegisterTestingT(t)
	const many = 10 * mostLooked
	s := newStory(ranks(many)...)
	for _, server := range s.world.servers.OfService("model") {
		s.board.ObserveResponse(server.Key(), ResponseInfo{Leaving: server.Key() != "r7"}, s.clock.now())
	}
	for range 20 {
		Expect(s.serve("fixed").Failure).To(BeNil())
	}
	Expect(s.servers.reached["r7"]).To(Equal(20))
}

func TestManyServersAllGetRequests(t *testing.T) {
	RegisterTestingT(t)
	const many = 4 * mostLooked
	s := newStory(ranks(many)...)
	for range 10 * many {
		Expect(s.serve("fixed").Failure).To(BeNil())
		s.clock.advance(time.Millisecond)
	}
	Expect(len(s.servers.reached)).To(Equal(many))
	for key, n := range s.servers.reached {
		Expect(n).To(BeNumerically("<", 40), "server %s of those with 10 on average", key)
	}
}
