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

// fakeQuarantine remembers what it was told and says of each request the same.
type fakeQuarantine struct {
	verdicts      []quarantine.Decision // one an Enter, the last one stays
	cut, ended    []string
	served        int
	entered, left int
	empty         bool
}

func (q *fakeQuarantine) Empty() bool { return q.empty }

func (q *fakeQuarantine) Admit(quarantine.Digest) quarantine.Decision {
	if len(q.verdicts) == 0 {
		q.entered++
		return quarantine.Decision{}
	}
	v := q.verdicts[0]
	if len(q.verdicts) > 1 {
		q.verdicts = q.verdicts[1:]
	}
	if v.State == quarantine.Healthy || v.State == quarantine.Suspect {
		q.entered++
	}
	return v
}

func (q *fakeQuarantine) Release(quarantine.Digest) { q.left++ }

func (q *fakeQuarantine) ConnectionLost(_ quarantine.Digest, _ quarantine.RequestInfo, server *fleet.Server) {
	q.cut = append(q.cut, server.ID)
}

func (q *fakeQuarantine) MarkExited(server, _ string) { q.ended = append(q.ended, server) }

func (q *fakeQuarantine) MarkServed(quarantine.Digest) { q.served++ }

// refusesConnections is a server whose process has ended.
func refusesConnections(*Request, Attempt) (*Response, *SendError) {
	return nil, &SendError{Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

var _ = Describe("the quarantine", func() {
	with := func(replies ...reply) (*bench, *fakeQuarantine) {
		b, q := newBench(replies...), &fakeQuarantine{}
		b.pipeline.SetQuarantine(q)
		return b, q
	}

	It("keeps a request from all servers, truthfully, and says until when", func() {
		b, q := with()
		q.verdicts = []quarantine.Decision{{
			State: quarantine.Quarantined, Servers: []string{"i-1", "i-2"}, Until: b.now.Add(30 * time.Minute),
		}}
		f := b.serve("again").Failure
		Expect(f.Code).To(Equal(failure.CodeQuarantined))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(Equal(30 * time.Minute))
		Expect(f.Detail).To(ContainSubstring("i-1, i-2"))
		Expect(b.script.attempts).To(BeEmpty())
	})

	It("is asked before each attempt: the first may have ended a server too many", func() {
		b, q := with(lost(true))
		q.verdicts = []quarantine.Decision{{}, {State: quarantine.Quarantined, Until: b.now.Add(time.Minute)}}
		f := b.serve("again").Failure
		Expect(f.Code).To(Equal(failure.CodeQuarantined))
		Expect(f.Outcome).To(Equal(failure.OutcomeUnknown), "it has run")
		Expect(b.script.attempts).To(HaveLen(1))
		Expect(q.left).To(Equal(q.entered))
	})

	It("makes a request wait for what is undecided, and refuses it soon", func() {
		b, q := with(signed(http.StatusOK, "done"))
		undecided := quarantine.Decision{State: quarantine.Pending}
		q.verdicts = []quarantine.Decision{undecided, undecided, {State: quarantine.Suspect}}
		Expect(b.serve("once").Failure).To(BeNil())
		Expect(q.served).To(Equal(1))
		b, q = with()
		q.verdicts = []quarantine.Decision{undecided}
		asked := b.now
		b.pipeline.now = func() time.Time {
			asked = asked.Add(undecidedWait / 2) // each look at the clock
			return asked
		}
		f := b.serve("once").Failure
		Expect(f.Code).To(Equal(failure.CodeSuspect))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
	})

	It("hears what servers cut off, and nothing of what callers or this process end", func() {
		b, q := with(lost(true), breaksOff("id: 1\ndata: a\n\n"))
		b.serve("once")
		b.serve("fixed")
		Expect(q.cut).To(Equal([]string{"a", "r0"}))
		b, q = with(hangs)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Millisecond, cancel)
		b.pipeline.Serve(ctx, b.request("once", 8*time.Second), b.caller)
		Expect(q.cut).To(BeEmpty())
		Expect(q.left).To(Equal(q.entered))
	})

	It("isn't asked about requests while it's empty, and hears what is cut off all the same", func() {
		b, q := with(signed(http.StatusOK, "done"), lost(true))
		q.empty = true
		Expect(b.serve("once").Failure).To(BeNil())
		b.serve("once")
		Expect(q.entered + q.served).To(BeZero())
		Expect(q.cut).To(HaveLen(1))
	})

	It("hears that a server has ended", func() {
		b, q := with(refusesConnections, answers(http.StatusMisdirectedRequest, ResponseInfo{NotRun: true}, "", false))
		b.serve("again")
		Expect(q.ended).To(Equal([]string{"a", "b"}))
	})

	It("hears no end of a server that only lost its connection", func() {
		b, q := with(lost(false), refuses(ResponseInfo{}))
		b.serve("once")
		Expect(q.ended).To(BeEmpty())
		Expect(q.cut).To(BeEmpty())
	})
})

var _ = Describe("suspect requests", func() {
	It("are kept apart, but each gets a server", func() {
		b := newBench()
		servers := b.world.Servers().OfService("plain")
		suspect := &Request{Suspect: true}
		first := b.board.Choose(b.now, servers, suspect, nil).Server.ID
		b.board.RequestSent(first, suspect, b.now)
		b.board.ResponseStarted(first, suspect)
		second := b.board.Choose(b.now, servers, suspect, nil).Server.ID
		Expect(second).NotTo(Equal(first))
		b.board.RequestSent(second, suspect, b.now)
		Expect(b.board.Choose(b.now, servers, suspect, nil).Server).NotTo(BeNil())
		b.board.RequestEnded(second, suspect)
		Expect(b.board.Choose(b.now, servers, suspect, nil).Server.ID).To(Equal(second))
	})
})
