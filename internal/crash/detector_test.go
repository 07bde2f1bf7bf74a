package crash

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestCrash(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "crash")
}

// world is what a watch sees of servers, with a clock that a spec moves.
type world struct {
	now    time.Time
	due    []func() // what waits for a time
	probes map[string]Liveness
	probed []string
	logs   *logrustest.Hook
}

func (w *world) Probe(_ context.Context, server *fleet.Server) Liveness {
	w.probed = append(w.probed, server.Address)
	return w.probes[server.Address]
}

// pass lets what waits happen.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	due := w.due
	w.due = nil
	for _, f := range due {
		f()
	}
}

func newWorld() (*world, *Detector) {
	w := &world{now: time.Unix(1000, 0), probes: map[string]Liveness{}}
	logger, logs := logrustest.NewNullLogger()
	w.logs = logs
	watch := New(w, func() time.Time { return w.now }, func(_ time.Duration, f func()) { w.due = append(w.due, f) }, logrus.NewEntry(logger))
	watch.UpdateRegistry(registry())
	return w, watch
}

var (
	plainA = &fleet.Server{ID: "a", Address: "10.0.0.1:80", Service: "s"}
	plainB = &fleet.Server{ID: "b", Address: "10.0.0.2:80", Service: "s"}
	leaves = &fleet.Server{ID: "l", Address: "10.0.0.3:80", Service: "s", Leaving: true}
	rank   = &fleet.Server{ID: "r", Address: "10.0.0.4:80", Service: "m", Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Open: true}}
)

// registry has all servers but for those left out.
func registry(but ...*fleet.Server) *fleet.Servers {
	var list []*fleet.Server
next:
	for _, server := range []*fleet.Server{plainA, plainB, leaves, rank} {
		for _, other := range but {
			if server == other {
				continue next
			}
		}
		list = append(list, server)
	}
	return fleet.NewServers(list)
}

var _ = Describe("a server that cuts a request off", func() {
	var w *world
	var watch *Detector
	d := quarantine.DigestOf("c", "POST", "h", "/", nil)

	BeforeEach(func() { w, watch = newWorld() })

	held := func() quarantine.State { return watch.Table().Decision(d, w.now).State }
	told := func() (evidence []quarantine.Evidence) {
		for {
			select {
			case news := <-watch.Updates():
				evidence = append(evidence, news...)
			default:
				return evidence
			}
		}
	}

	It("has ended when nobody listens there", func() {
		w.probes[plainA.Address] = Exited
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		w.pass(probeDelay)
		Expect(held()).To(Equal(quarantine.Suspect))
		Expect(told()).To(HaveLen(1))
		Expect(w.logs.LastEntry().Message).To(Equal("server ended with requests in progress"))
	})

	It("is probed once, however many requests it cuts off", func() {
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		watch.ConnectionLost(quarantine.DigestOf("c", "POST", "h", "/other", nil), quarantine.RequestInfo{}, plainA)
		w.pass(probeDelay)
		Expect(w.probed).To(HaveLen(1))
	})

	It("lives when it listens, until its registration goes", func() {
		w.probes[plainA.Address] = Listening
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		w.pass(probeDelay)
		Expect(held()).To(Equal(quarantine.Healthy))
		watch.UpdateRegistry(registry(plainA))
		Expect(held()).To(Equal(quarantine.Suspect))
	})

	It("has ended when it registers with another start", func() {
		again := *plainA
		again.Incarnation = "a@7"
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		watch.UpdateRegistry(fleet.NewServers([]*fleet.Server{&again, plainB, leaves, rank}))
		Expect(held()).To(Equal(quarantine.Suspect))
		Expect(told()).To(HaveLen(1))
	})

	It("isn't probed while it wants nothing by its own word, and says nothing against the request once it leaves by it", func() {
		bars := map[string]*eligibility.Exclusion{"a": {Reason: eligibility.Resting}}
		watch.SetExclusions(func(server string) *eligibility.Exclusion { return bars[server] })
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		w.pass(probeDelay)
		Expect(w.probed).To(BeEmpty())
		Expect(held()).To(Equal(quarantine.Healthy))
		Expect(w.logs.LastEntry().Message).To(ContainSubstring("isn't probed"))
		bars["b"] = &eligibility.Exclusion{Reason: eligibility.Leaving}
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainB)
		watch.UpdateRegistry(registry(plainB))
		Expect(held()).To(Equal(quarantine.Healthy))
		Expect(told()).To(BeEmpty())
	})

	It("says nothing against the request when it was to leave, or has left", func() {
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, leaves)
		watch.UpdateRegistry(registry(plainB))
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainB)
		watch.UpdateRegistry(registry(plainB, leaves))
		w.pass(probeDelay)
		Expect(w.probed).To(BeEmpty())
		Expect(told()).To(BeEmpty())
	})

	It("beside an agent is known sooner, without a probe", func() {
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, rank)
		w.now = w.now.Add(reportLag)
		watch.SetEngineReachable("r", false)
		Expect(held()).To(Equal(quarantine.Suspect))
		w.pass(rankProbeDelay)
		Expect(w.probed).To(BeEmpty())
	})

	It("beside an agent lives when its engine answers after that, but not when it's back", func() {
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, rank)
		watch.SetEngineReachable("r", true)
		Expect(held()).To(Equal(quarantine.Suspect), "the report may be from before")
		w.now = w.now.Add(reportLag)
		watch.SetEngineReachable("r", true)
		Expect(held()).To(Equal(quarantine.Healthy))
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, rank)
		w.now = w.now.Add(soonestRestart)
		watch.SetEngineReachable("r", true)
		Expect(held()).To(Equal(quarantine.Suspect))
		w.probes[rank.Address] = Exited
		w.pass(0)
		Expect(told()).To(HaveLen(1))
	})

	It("and another one make the request known everywhere, however others hear of it", func() {
		_, asked := newWorld()
		_, sent := newWorld()
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		watch.MarkExited("a", "spec")
		asked.ApplyDelta("here", watch.Delta(asked.Digest("here")))
		Expect(asked.Table().Decision(d, w.now).State).To(Equal(quarantine.Suspect))
		watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainB)
		watch.MarkExited("b", "spec")
		news := watch.Delta(asked.Digest("here"))
		Expect(news.GetEvidence()).To(HaveLen(1), "only what has changed")
		asked.ApplyDelta("here", news)
		sent.MergeEvidence(Decode(Encode(told(), w.now), w.now), "spec")
		for _, other := range []*Detector{asked, sent} {
			other.now = func() time.Time { return w.now.Add(time.Second) }
			Expect(other.Admit(d).State).To(Equal(quarantine.Quarantined))
		}
		Expect(watch.Delta(sent.Digest("here")).GetEvidence()).To(BeEmpty(), "they agree")
	})
})

var _ = Describe("entries of the product's own API", func() {
	It("tell each other at once, and ask for what they missed", func() {
		d := quarantine.DigestOf("c", "POST", "h", "/", nil)
		w, here := newWorld()
		_, there := newWorld()
		mux := http.NewServeMux()
		calls := peerrpc.NewCrashesServer(RPCServer{Detector: there})
		mux.Handle(calls.PathPrefix(), calls)
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		there.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainB)
		there.MarkExited("b", "spec") // of which it tells nobody
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			here.Gossip(ctx, []string{strings.TrimPrefix(server.URL, "http://")}, http.DefaultClient)
		}()
		here.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, plainA)
		here.MarkExited("a", "spec")
		both := []string{"a", "b"}
		for _, watch := range []*Detector{here, there} {
			Eventually(func() []string { return watch.Table().Decision(d, w.now).Servers }, "10s").Should(Equal(both))
		}
		stop()
		<-done
	})
})

// fakeLog is the product's log: what is appended reaches the replicas that follow it.
type fakeLog struct {
	replica.Log
	mu       sync.Mutex
	down     bool
	replicas []*replica.Replica
	records  [][]byte
}

func (l *fakeLog) Append(_ context.Context, data []byte) (storelog.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, errors.New("down")
	}
	offset := storelog.Position(len(l.records))
	l.records = append(l.records, data)
	for _, rep := range l.replicas {
		Expect(rep.Apply(replica.Batch{Entries: []config.LogEntry{{Position: offset, Data: data}}})).To(Succeed())
	}
	return offset, nil
}

var _ = Describe("a quarantine", func() {
	d := quarantine.DigestOf("c", "POST", "h", "/", nil)

	It("is in the configuration, for daemons that start later, until operators end it", func() {
		w, watch := newWorld()
		rep, late := replica.New(func() time.Time { return w.now }), replica.New(func() time.Time { return w.now })
		log := &fakeLog{replicas: []*replica.Replica{rep, late}, down: true}
		keeper := NewStore(watch, rep, log, "entry", func() time.Time { return w.now })
		look := func() {
			for range 3 { // notices, adds, applies
				keeper.look(context.Background())
				w.now = w.now.Add(keepPause)
			}
		}
		for _, server := range []string{"a", "b"} {
			watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, registry().ByID(server))
			watch.MarkExited(server, "spec")
		}
		look()
		Expect(log.records).To(BeEmpty())
		log.down = false
		look()
		Expect(log.records).To(HaveLen(1))
		object := rep.View().Get(config.KindQuarantine, d.String())
		Expect(object.Quarantine.Servers).To(Equal([]string{"a", "b"}))
		Expect(object.Quarantine.Customer).To(Equal("c"))
		Expect(object.Quarantine.Path).To(Equal("/"))
		Expect(object.Quarantine.SinceMs).To(Equal(time.Unix(1000, 0).UnixMilli()))

		_, started := newWorld()
		NewStore(started, late, log, "late", func() time.Time { return w.now }).look(context.Background())
		Expect(started.Admit(d).State).To(Equal(quarantine.Quarantined))

		data, err := config.NewChange(&config.Bundle{CommandID: "release", Actor: "ops", Changes: []config.Change{
			{Kind: config.KindQuarantine, Name: d.String(), ExpectedRevision: config.AnyRevision},
		}}).Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(context.Background(), data)
		Expect(err).NotTo(HaveOccurred())
		look()
		Expect(watch.Admit(d).State).To(Equal(quarantine.Healthy))
		Expect(log.records).To(HaveLen(2), "it isn't added again")
	})

	It("ends at all daemons when later evidence speaks for the request, and nothing is forgotten", func() {
		w, watch := newWorld()
		rep := replica.New(func() time.Time { return w.now })
		log := &fakeLog{replicas: []*replica.Replica{rep}}
		wall := func() time.Time { return w.now }
		keeper := NewStore(watch, rep, log, "entry", wall)
		_, other := newWorld()
		other.now = watch.now
		others := NewStore(other, rep, log, "other", wall)
		look := func() {
			for range 3 {
				keeper.look(context.Background())
				others.look(context.Background())
				w.now = w.now.Add(keepPause)
			}
		}
		for _, server := range []string{"a", "b"} {
			watch.ConnectionLost(d, quarantine.RequestInfo{}, registry().ByID(server))
			watch.MarkExited(server, "spec")
		}
		w.now = w.now.Add(quarantine.SettleTime)
		look()
		Expect(other.Admit(d).State).To(Equal(quarantine.Quarantined))
		innocent := quarantine.DigestOf("c", "POST", "h", "/beside", nil)
		var shared []quarantine.Evidence
		for _, server := range []string{"a", "b"} {
			shared = append(shared, quarantine.Evidence{Digest: innocent, Server: server, ExitedAt: w.now})
		}
		watch.MergeEvidence(shared, "a daemon that was cut off")
		w.now = w.now.Add(quarantine.SettleTime)
		look()
		Expect(other.Admit(d).State).To(Equal(quarantine.Healthy), "it has heard of no ends")
		Expect(watch.Admit(d).State).To(Equal(quarantine.Suspect))
		w.now = w.now.Add(2 * untilSlack)
		look()
		Expect(rep.View().List(config.KindQuarantine)).To(BeEmpty())
		Expect(watch.Table().Decision(d, w.now).Servers).To(HaveLen(2))
	})

	It("leaves the configuration when it's over", func() {
		w, watch := newWorld()
		rep := replica.New(func() time.Time { return w.now })
		log := &fakeLog{replicas: []*replica.Replica{rep}}
		keeper := NewStore(watch, rep, log, "entry", func() time.Time { return w.now })
		for _, server := range []string{"a", "b"} {
			watch.ConnectionLost(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, registry().ByID(server))
			watch.MarkExited(server, "spec")
		}
		for range 3 {
			keeper.look(context.Background())
			w.now = w.now.Add(keepPause)
		}
		Expect(rep.View().List(config.KindQuarantine)).To(HaveLen(1))
		w.now = w.now.Add(time.Hour)
		for range 3 {
			keeper.look(context.Background())
			w.now = w.now.Add(keepPause)
		}
		Expect(rep.View().List(config.KindQuarantine)).To(BeEmpty())
	})
})
