package dispatch

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeQuarantine records calls and returns scripted decisions.
type fakeQuarantine struct {
	decisions               []quarantine.Decision // one per Admit; the last one is repeated
	connectionsLost, exited []string
	responded               []string
	successes               int
	admitted, done          int
	empty                   bool
	probed                  []string
	hasExited               bool
	served                  []string // parts of prompts
	cleared                 int      // parts of prompts
}

func (q *fakeQuarantine) Empty() bool { return q.empty }

func (q *fakeQuarantine) Admit(quarantine.Fingerprint) quarantine.Decision {
	if len(q.decisions) == 0 {
		q.admitted++
		return quarantine.Decision{}
	}
	decision := q.decisions[0]
	if len(q.decisions) > 1 {
		q.decisions = q.decisions[1:]
	}
	if decision.State == quarantine.Healthy || decision.State == quarantine.Suspect {
		q.admitted++
	}
	return decision
}

func (q *fakeQuarantine) Done(quarantine.Digest) { q.done++ }

func (q *fakeQuarantine) RecordConnectionLoss(_ quarantine.Fingerprint, server *fleet.Server) {
	q.connectionsLost = append(q.connectionsLost, server.ID)
}

func (q *fakeQuarantine) MarkExited(server, _ string) { q.exited = append(q.exited, server) }

func (q *fakeQuarantine) HasExited(_ context.Context, server *fleet.Server) bool {
	q.probed = append(q.probed, server.ID)
	return q.hasExited
}

func (q *fakeQuarantine) RecordResponse(server *fleet.Server, _ time.Time) {
	q.responded = append(q.responded, server.ID)
}

func (q *fakeQuarantine) RecordServed(_ string, parts quarantine.PromptParts) {
	q.served = append(q.served, parts.Shared()...)
}

func (q *fakeQuarantine) RecordSuccess(f quarantine.Fingerprint) {
	q.successes++
	q.cleared += len(f.Parts)
}

// refusesConnections is a server whose process has exited.
func refusesConnections(*Request, Attempt) (*Response, *SendError) {
	return nil, &SendError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

var _ = Describe("the quarantine", func() {
	with := func(replies ...reply) (*fixture, *fakeQuarantine) {
		b, q := newFixture(replies...), &fakeQuarantine{}
		b.pipeline.SetQuarantine(q)
		return b, q
	}

	It("is told which ranks respond, since they survived the break of their group", func() {
		for route, responded := range map[string]int{"fixed": 1, "again": 0} {
			b, q := with(responds(http.StatusOK, ResponseInfo{Signed: true}, "id: 1\ndata: a\n\n", false))
			Expect(b.serve(route).Failure).To(BeNil())
			Expect(q.responded).To(HaveLen(responded))
		}
	})

	It("refuses a quarantined request with the remaining time", func() {
		b, q := with()
		q.decisions = []quarantine.Decision{{
			State: quarantine.Quarantined, Servers: []string{"i-1", "i-2"}, Until: b.now.Add(30 * time.Minute),
		}}
		f := b.serve("again").Failure
		Expect(f.Code).To(Equal(failure.CodeQuarantined))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(Equal(30 * time.Minute))
		Expect(f.Detail).To(ContainSubstring("i-1, i-2"))
		Expect(b.backend.attempts).To(BeEmpty())
	})

	It("is checked before each attempt", func() {
		b, q := with(failsToSend(true))
		q.decisions = []quarantine.Decision{{}, {State: quarantine.Quarantined, Until: b.now.Add(time.Minute)}}
		f := b.serve("again").Failure
		Expect(f.Code).To(Equal(failure.CodeQuarantined))
		Expect(f.Outcome).To(Equal(failure.OutcomeUnknown), "it has run")
		Expect(b.backend.attempts).To(HaveLen(1))
		Expect(q.done).To(Equal(q.admitted))
	})

	It("delays a request while the decision is pending, for a limited time", func() {
		b, q := with(respondsSigned(http.StatusOK, "done"))
		pending := quarantine.Decision{State: quarantine.Pending}
		q.decisions = []quarantine.Decision{pending, pending, {State: quarantine.Suspect}}
		Expect(b.serve("once").Failure).To(BeNil())
		Expect(q.successes).To(Equal(1))
		b, q = with()
		q.decisions = []quarantine.Decision{pending}
		now := b.now
		b.pipeline.now = func() time.Time {
			now = now.Add(pendingTimeout / 2) // on each call
			return now
		}
		f := b.serve("once").Failure
		Expect(f.Code).To(Equal(failure.CodeSuspect))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is notified of connections lost by servers, not of those closed because the request was canceled", func() {
		b, q := with(failsToSend(true), resetsAfter("id: 1\ndata: a\n\n"))
		b.serve("once")
		b.serve("fixed")
		Expect(q.connectionsLost).To(Equal([]string{"a", "r0"}))
		b, q = with(hangs)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		b.pipeline.Serve(ctx, b.request("once", 8*time.Second), b.recorder)
		Expect(q.connectionsLost).To(BeEmpty())
		Expect(q.done).To(Equal(q.admitted))
	})

	It("is not consulted while empty, but is notified of lost connections", func() {
		b, q := with(respondsSigned(http.StatusOK, "done"), failsToSend(true))
		q.empty = true
		Expect(b.serve("once").Failure).To(BeNil())
		b.serve("once")
		Expect(q.admitted + q.successes).To(BeZero())
		Expect(q.connectionsLost).To(HaveLen(1))
	})

	It("is told which parts of prompts servers have run, not of those that they refused or had nothing to add to", func() {
		events := "id: 1\ndata: a\n\n"
		for _, tc := range []struct {
			route  string
			reply  reply
			resume int64
			served []string
		}{
			{"once", respondsSigned(http.StatusOK, "done"), -1, []string{"p", "q"}},
			{"once", respondsSigned(http.StatusBadRequest, "no"), -1, nil},
			{"stream", respondsSigned(http.StatusOK, events), -1, []string{"p", "q"}},
			{"stream", respondsSigned(http.StatusOK, ""), 1, nil},
			{"once", failsToSend(true), -1, nil},
		} {
			b, q := with(tc.reply)
			r := b.request(tc.route, 8*time.Second)
			r.PromptParts = promptParts{"p", "q"}
			r.Resume, r.LastEventID = tc.resume >= 0, tc.resume
			b.pipeline.Serve(context.Background(), r, b.recorder)
			Expect(q.served).To(Equal(tc.served), tc.route)
			Expect(q.cleared).To(Equal(len(tc.served)))
		}
	})

	It("names the prompt part for which it refuses a request", func() {
		b, q := with()
		part := quarantine.NewPart("plain", "5c")
		q.decisions = []quarantine.Decision{{State: quarantine.Quarantined, Part: &part, Servers: []string{"i-1"}, Until: b.now.Add(time.Minute)}}
		Expect(b.serve("again").Failure.Detail).To(ContainSubstring("requests with the prompt part 5c (i-1)"))
	})

	It("is notified of exited servers", func() {
		b, q := with(refusesConnections, responds(http.StatusMisdirectedRequest, ResponseInfo{NotRun: true}, "", false))
		b.serve("again")
		Expect(q.exited).To(Equal([]string{"a", "b"}))
	})

	It("is not notified when a request could not be sent, or was refused", func() {
		b, q := with(failsToSend(false), refuses(ResponseInfo{}))
		b.serve("once")
		Expect(q.exited).To(BeEmpty())
		Expect(q.connectionsLost).To(BeEmpty())
	})
})

// promptParts are the shared parts of a prompt.
type promptParts []string

func (p promptParts) Shared() []string { return p }

var _ = Describe("suspect requests", func() {
	It("with the same prompt part are sent to the same server, also at once", func() {
		b := newFixture()
		servers := b.fleet.Servers().OfService("plain")
		part := quarantine.NewPart("plain", "5c")
		suspect := &Request{Suspect: true, Isolation: quarantine.Isolation{Part: &part, Exited: []string{"gone"}}}
		first := b.balancer.Choose(b.now, servers, suspect, nil).Server.ID
		b.balancer.RequestSent(first, suspect, b.now)
		Expect(b.balancer.Choose(b.now, servers, suspect, nil).Server.ID).To(Equal(first))
	})

	It("are sent to different servers while possible", func() {
		b := newFixture()
		servers := b.fleet.Servers().OfService("plain")
		suspect := &Request{Suspect: true}
		first := b.balancer.Choose(b.now, servers, suspect, nil).Server.ID
		b.balancer.RequestSent(first, suspect, b.now)
		b.balancer.ResponseStarted(first, suspect)
		second := b.balancer.Choose(b.now, servers, suspect, nil).Server.ID
		Expect(second).NotTo(Equal(first))
		b.balancer.RequestSent(second, suspect, b.now)
		Expect(b.balancer.Choose(b.now, servers, suspect, nil).Server).NotTo(BeNil())
		b.balancer.RequestEnded(second, suspect)
		Expect(b.balancer.Choose(b.now, servers, suspect, nil).Server.ID).To(Equal(second))
	})

	It("are sent to the servers that all entries assign to them, while these are eligible", func() {
		b := newFixture()
		servers := b.fleet.Servers().OfService("model")
		chosen := map[string]bool{}
		for _, server := range servers[1:] { // as after the break of a group
			b.balancer.RecordFailure(server.Key(), b.now)
		}
		for index := range servers {
			suspect := &Request{Suspect: true, Isolation: quarantine.Isolation{Index: index}}
			choice := b.balancer.Choose(b.now, servers, suspect, nil)
			chosen[choice.Server.ID] = true
			Expect(b.balancer.Choose(b.now, servers, suspect, []string{choice.Server.Key()}).Server.ID).NotTo(Equal(choice.Server.ID))
		}
		Expect(chosen).To(HaveLen(len(servers)))
	})
})
