package dispatch

import (
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request while the VM is suspended", func() {
	It("is not sent after its caller's deadline although no timer has fired", func() {
		b := newFixture()
		b.fleet.allowed = func(service, _ string) ([]*fleet.Server, string) {
			b.now = b.now.Add(9 * time.Second)
			return b.fleet.servers.OfService(service), ""
		}
		f := b.serve("once").Failure
		Expect(f.Code).To(Equal(failure.CodeDeadline))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(b.backend.attempts).To(BeEmpty())
	})

	It("is sent with the caller's remaining time", func() {
		b := newFixture(respondsSigned(http.StatusOK, "done"))
		b.fleet.allowed = func(service, _ string) ([]*fleet.Server, string) {
			b.now = b.now.Add(5 * time.Second)
			return b.fleet.servers.OfService(service), ""
		}
		Expect(b.serve("once").Failure).To(BeNil())
		Expect(b.backend.attempts[0].Timeout).To(Equal(3 * time.Second))
	})
})
