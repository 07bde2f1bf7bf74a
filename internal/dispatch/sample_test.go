package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a refusal when no server in the sample is eligible.
func TestOnlyEligibleServerOfManyIsChosen(t *testing.T) {
	RegisterTestingT(t)
	const many = 10 * sampleSize
	s := newRestFixture(ranks(many)...)
	for _, server := range s.fleet.servers.OfService("model") {
		s.balancer.ObserveResponse(server.Key(), ResponseInfo{Leaving: server.Key() != "r7"}, s.clock.now())
	}
	for range 20 {
		Expect(s.serve("fixed").Failure).To(BeNil())
	}
	Expect(s.servers.received["r7"]).To(Equal(20))
}

func TestAllOfManyServersGetRequests(t *testing.T) {
	RegisterTestingT(t)
	const many = 4 * sampleSize
	s := newRestFixture(ranks(many)...)
	for range 10 * many {
		Expect(s.serve("fixed").Failure).To(BeNil())
		s.clock.advance(time.Millisecond)
	}
	Expect(len(s.servers.received)).To(Equal(many))
	for key, n := range s.servers.received {
		Expect(n).To(BeNumerically("<", 40), "server %s, 10 expected on average", key)
	}
}
