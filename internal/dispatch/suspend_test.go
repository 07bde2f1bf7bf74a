package dispatch

import (
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request during which the VM is suspended", func() {
	It("reaches no server after its caller's deadline, though no timer has fired", func() {
		b := newBench()
		b.world.allow = func(service, _ string) ([]*fleet.Server, string) {
			b.now = b.now.Add(9 * time.Second)
			return b.world.servers.OfService(service), ""
		}
		f := b.serve("once").Failure
		Expect(f.Code).To(Equal(failure.CodeDeadline))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(b.script.attempts).To(BeEmpty())
	})

	It("is handed over with the time that its caller has left", func() {
		b := newBench(signed(http.StatusOK, "done"))
		b.world.allow = func(service, _ string) ([]*fleet.Server, string) {
			b.now = b.now.Add(5 * time.Second)
			return b.world.servers.OfService(service), ""
		}
		Expect(b.serve("once").Failure).To(BeNil())
		Expect(b.script.attempts[0].Timeout).To(Equal(3 * time.Second))
	})
})
