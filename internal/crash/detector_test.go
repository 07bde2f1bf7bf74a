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

// testEnv simulates servers, timers and a clock.
type testEnv struct {
	now    time.Time
	timers []func() // pending callbacks
	probes map[string]Liveness
	probed []string
	logs   *logrustest.Hook
}

func (env *testEnv) Probe(_ context.Context, server *fleet.Server) Liveness {
	env.probed = append(env.probed, server.Address)
	return env.probes[server.Address]
}

// advance moves the clock and runs all pending callbacks.
func (env *testEnv) advance(d time.Duration) {
	env.now = env.now.Add(d)
	callbacks := env.timers
	env.timers = nil
	for _, f := range callbacks {
		f()
	}
}

func newTestDetector() (*testEnv, *Detector) {
	env := &testEnv{now: time.Unix(1000, 0), probes: map[string]Liveness{}}
	logger, logs := logrustest.NewNullLogger()
	env.logs = logs
	detector := New(env, func() time.Time { return env.now }, func(_ time.Duration, f func()) { env.timers = append(env.timers, f) }, logrus.NewEntry(logger))
	detector.UpdateRegistry(registry())
	return env, detector
}

// promptParts are the shared parts of a prompt.
type promptParts []string

func (p promptParts) Shared() []string { return p }

var (
	serverA       = &fleet.Server{ID: "a", Address: "10.0.0.1:80", Service: "s"}
	serverB       = &fleet.Server{ID: "b", Address: "10.0.0.2:80", Service: "s"}
	leavingServer = &fleet.Server{ID: "l", Address: "10.0.0.3:80", Service: "s", Leaving: true}
	rankServer    = &fleet.Server{ID: "r", Address: "10.0.0.4:80", Service: "m", Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Open: true}}
)

// registry returns all servers except the given ones.
func registry(excluded ...*fleet.Server) *fleet.Servers {
	var list []*fleet.Server
next:
	for _, server := range []*fleet.Server{serverA, serverB, leavingServer, rankServer} {
		for _, other := range excluded {
			if server == other {
				continue next
			}
		}
		list = append(list, server)
	}
	return fleet.NewServers(list)
}

var _ = DescribeTable("a server whose address refuses a probe", func(server *fleet.Server, reason eligibility.Reason, exited bool) {
	env, detector := newTestDetector()
	env.probes[server.Address] = Exited
	if reason != "" {
		detector.SetExclusions(func(string) *eligibility.Exclusion { return &eligibility.Exclusion{Reason: reason} })
	}
	Expect(detector.HasExited(context.Background(), server)).To(Equal(exited))
},
	Entry("has exited", serverA, eligibility.Reason(""), true),
	Entry("leaves by its word", serverA, eligibility.Leaving, false),
	Entry("rests", serverA, eligibility.Resting, false),
	Entry("is listed as leaving", leavingServer, eligibility.Reason(""), false),
	Entry("isn't registered", &fleet.Server{ID: "u", Address: serverA.Address}, eligibility.Reason(""), false),
)

var _ = Describe("a server that loses a request's connection", func() {
	var env *testEnv
	var detector *Detector
	d := quarantine.DigestOf("c", "POST", "h", "/", nil)

	BeforeEach(func() { env, detector = newTestDetector() })

	state := func() quarantine.State { return detector.Table().Decision(d, env.now).State }
	published := func() (evidence []quarantine.Evidence) {
		for {
			select {
			case batch := <-detector.Updates():
				evidence = append(evidence, batch...)
			default:
				return evidence
			}
		}
	}

	It("is evidence against prompt parts that reaches peers by push and by pull, and comes back with what completed there", func() {
		otherEnv, other := newTestDetector()
		other.now = detector.now
		other.RecordServed("s", promptParts{"f00d"})
		f := quarantine.NewFingerprint(d, quarantine.RequestInfo{Customer: "c"}, "s", promptParts{"f00d", "bad"})
		env.probes[serverA.Address] = Exited
		detector.RecordConnectionLoss(f, serverA)
		env.advance(probeDelay)
		found := published()
		Expect(found).To(HaveLen(3))
		Expect(env.logs.LastEntry().Data["parts"]).To(ConsistOf("f00d a unknown", "bad a unknown"))
		other.Receive(Decode(Encode(found, env.now), env.now), "spec")
		otherEnv.advance(maxContextDelay)
		detector.ApplyDelta("other", other.Delta(detector.Digest("other")))
		Expect(env.logs.LastEntry().Data["parts"]).To(ConsistOf("f00d a vouched", "bad a incriminating"))
		Expect(detector.Table().PartsHash()).To(Equal(other.Table().PartsHash()))
		known := detector.Digest("other")
		Expect(other.Delta(known).GetParts()).To(BeEmpty(), "hashes agree")
		known.PartsHash = 0 // a daemon that doesn't know of parts
		known.Table = 0
		Expect(other.Delta(known).GetEvidence()).To(BeEmpty())
		Expect(other.Delta(known).GetParts()).To(HaveLen(2))
	})

	It("is marked as exited when the probe is refused", func() {
		env.probes[serverA.Address] = Exited
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		env.advance(probeDelay)
		Expect(state()).To(Equal(quarantine.Suspect))
		Expect(published()).To(HaveLen(1))
		Expect(env.logs.LastEntry().Message).To(Equal("server exited with requests in progress"))
	})

	It("is probed once for several lost connections", func() {
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: quarantine.DigestOf("c", "POST", "h", "/other", nil), Info: quarantine.RequestInfo{}}, serverA)
		env.advance(probeDelay)
		Expect(env.probed).To(HaveLen(1))
	})

	It("is presumed alive when it listens, until its registration is gone", func() {
		env.probes[serverA.Address] = Listening
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		env.advance(probeDelay)
		Expect(state()).To(Equal(quarantine.Healthy))
		detector.UpdateRegistry(registry(serverA))
		Expect(state()).To(Equal(quarantine.Suspect))
	})

	It("is marked as exited when it registers with another incarnation", func() {
		restarted := *serverA
		restarted.Incarnation = "a@7"
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		detector.UpdateRegistry(fleet.NewServers([]*fleet.Server{&restarted, serverB, leavingServer, rankServer}))
		Expect(state()).To(Equal(quarantine.Suspect))
		Expect(published()).To(HaveLen(1))
	})

	It("is not probed while it rests, and is no evidence against the request once it reports leaving", func() {
		exclusions := map[string]*eligibility.Exclusion{"a": {Reason: eligibility.Resting}}
		detector.SetExclusions(func(server string) *eligibility.Exclusion { return exclusions[server] })
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		env.advance(probeDelay)
		Expect(env.probed).To(BeEmpty())
		Expect(state()).To(Equal(quarantine.Healthy))
		Expect(env.logs.LastEntry().Message).To(ContainSubstring("not probed"))
		exclusions["b"] = &eligibility.Exclusion{Reason: eligibility.Leaving}
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverB)
		detector.UpdateRegistry(registry(serverB))
		Expect(state()).To(Equal(quarantine.Healthy))
		Expect(published()).To(BeEmpty())
	})

	It("is no evidence against the request when it is leaving or no longer registered", func() {
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, leavingServer)
		detector.UpdateRegistry(registry(serverB))
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverB)
		detector.UpdateRegistry(registry(serverB, leavingServer))
		env.advance(probeDelay)
		Expect(env.probed).To(BeEmpty())
		Expect(published()).To(BeEmpty())
	})

	It("is marked as exited by its agent's report, without a probe", func() {
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, rankServer)
		env.now = env.now.Add(reportDelay)
		detector.SetEngineReachable("r", false)
		Expect(state()).To(Equal(quarantine.Suspect))
		env.advance(rankProbeDelay)
		Expect(env.probed).To(BeEmpty())
	})

	It("is presumed alive when a later report shows its engine reachable, unless it may have restarted", func() {
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, rankServer)
		detector.SetEngineReachable("r", true)
		Expect(state()).To(Equal(quarantine.Suspect), "the report may predate the loss")
		env.now = env.now.Add(reportDelay)
		detector.SetEngineReachable("r", true)
		Expect(state()).To(Equal(quarantine.Healthy))
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, rankServer)
		env.now = env.now.Add(minRestartTime)
		detector.SetEngineReachable("r", true)
		Expect(state()).To(Equal(quarantine.Suspect))
		env.probes[rankServer.Address] = Exited
		env.advance(0)
		Expect(published()).To(HaveLen(1))
	})

	// When a group breaks, connections to ranks that survive are lost, too.
	It("is no evidence against the requests whose connections a rank survived, when it exits later", func() {
		survived, sent := env.now, env.now.Add(10*time.Millisecond)
		unrelated := quarantine.DigestOf("c", "POST", "h", "/unrelated", nil)
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: unrelated, Info: quarantine.RequestInfo{}}, rankServer)
		detector.RecordResponse(rankServer, survived)
		env.now = env.now.Add(300 * time.Millisecond)
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{}}, rankServer)
		detector.RecordResponse(rankServer, sent)
		detector.SetEngineReachable("r", false)
		Expect(state()).To(Equal(quarantine.Suspect))
		Expect(detector.Table().Decision(unrelated, env.now).State).To(Equal(quarantine.Healthy))
		Expect(published()).To(HaveLen(1))
	})

	It("causes the request's quarantine at all daemons once a second server has exited, by pull and by push", func() {
		_, puller := newTestDetector()
		_, receiver := newTestDetector()
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		detector.MarkExited("a", "spec")
		puller.ApplyDelta("here", detector.Delta(puller.Digest("here")))
		Expect(puller.Table().Decision(d, env.now).State).To(Equal(quarantine.Suspect))
		detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverB)
		detector.MarkExited("b", "spec")
		delta := detector.Delta(puller.Digest("here"))
		Expect(delta.GetEvidence()).To(HaveLen(1), "only changed evidence")
		puller.ApplyDelta("here", delta)
		receiver.Receive(Decode(Encode(published(), env.now), env.now), "spec")
		for _, other := range []*Detector{puller, receiver} {
			other.now = func() time.Time { return env.now.Add(time.Second) }
			Expect(other.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Quarantined))
		}
		Expect(detector.Delta(receiver.Digest("here")).GetEvidence()).To(BeEmpty(), "the tables agree")
	})
})

// Without its peers' evidence, an entry that has started or was suspended sends a request that crashes
// servers to another one.
var _ = Describe("an entry that has started or was suspended", func() {
	d := quarantine.DigestOf("c", "POST", "h", "/", nil)

	It("admits no request before it has pulled its peers' evidence", func() {
		env, detector := newTestDetector()
		crashed := []string{"a"}
		detector.SetRefresh(func(context.Context) {
			for _, server := range crashed {
				detector.Receive([]quarantine.Evidence{{Digest: d, Server: server, ExitedAt: env.now.Add(-time.Minute)}}, "peer")
			}
		})
		Expect(detector.Empty()).To(BeFalse(), "requests need a decision")
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Pending))
		env.advance(0)
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Suspect))
		detector.Done(d)
		crashed = append(crashed, "b")
		env.now = env.now.Add(maxPullAge)
		detector.RecordPull(context.Background())
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Suspect), "it was not suspended")
		detector.Done(d)
		env.now = env.now.Add(maxPullAge + time.Millisecond)
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Pending))
		env.advance(quarantine.SettleTime)
		env.now = env.now.Add(quarantine.SettleTime)
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Quarantined))
	})

	It("holds requests only briefly if no peer answers", func() {
		env, detector := newTestDetector()
		detector.SetRefresh(func(context.Context) {})
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Pending))
		env.now = env.now.Add(refreshTimeout)
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Healthy), "the refresh hangs")
		env.advance(0)
		Expect(detector.Empty()).To(BeFalse())
		detector.Done(d)
		Expect(detector.Empty()).To(BeTrue(), "requests need no decision while there is no evidence")
	})
})

var _ = Describe("entries with RPC gossip", func() {
	It("push evidence at once, and pull missed evidence", func() {
		d := quarantine.DigestOf("c", "POST", "h", "/", nil)
		env, local := newTestDetector()
		_, remote := newTestDetector()
		mux := http.NewServeMux()
		calls := peerrpc.NewCrashesServer(RPCServer{Detector: remote})
		mux.Handle(calls.PathPrefix(), calls)
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		remote.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverB)
		remote.MarkExited("b", "spec") // not published, since no gossip runs here
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			local.Gossip(ctx, []string{strings.TrimPrefix(server.URL, "http://")}, http.DefaultClient)
		}()
		local.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, serverA)
		local.MarkExited("a", "spec")
		both := []string{"a", "b"}
		for _, detector := range []*Detector{local, remote} {
			Eventually(func() []string { return detector.Table().Decision(d, env.now).Servers }, "10s").Should(Equal(both))
		}
		stop()
		<-done
	})
})

// fakeLog applies each append to its replicas.
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

	It("is persisted for daemons that start later, until an operator ends it", func() {
		env, detector := newTestDetector()
		rep, late := replica.New(func() time.Time { return env.now }), replica.New(func() time.Time { return env.now })
		log := &fakeLog{replicas: []*replica.Replica{rep, late}, down: true}
		store := NewStore(detector, rep, log, "entry", func() time.Time { return env.now })
		reconcile := func() {
			for range 3 { // detect, append, apply
				store.reconcile(context.Background())
				env.now = env.now.Add(retryInterval)
			}
		}
		for _, server := range []string{"a", "b"} {
			detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, registry().ByID(server))
			detector.MarkExited(server, "spec")
		}
		reconcile()
		Expect(log.records).To(BeEmpty())
		log.down = false
		reconcile()
		Expect(log.records).To(HaveLen(1))
		object := rep.View().Get(config.KindQuarantine, d.String())
		Expect(object.Quarantine.Servers).To(Equal([]string{"a", "b"}))
		Expect(object.Quarantine.Customer).To(Equal("c"))
		Expect(object.Quarantine.Path).To(Equal("/"))
		Expect(object.Quarantine.SinceMs).To(Equal(time.Unix(1000, 0).UnixMilli()))

		_, started := newTestDetector()
		NewStore(started, late, log, "late", func() time.Time { return env.now }).reconcile(context.Background())
		Expect(started.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Quarantined))

		data, err := config.NewChange(&config.Bundle{CommandID: "release", Actor: "ops", Changes: []config.Change{
			{Kind: config.KindQuarantine, Name: d.String(), ExpectedRevision: config.AnyRevision},
		}}).Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(context.Background(), data)
		Expect(err).NotTo(HaveOccurred())
		reconcile()
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Healthy))
		Expect(log.records).To(HaveLen(2), "no second append")
	})

	It("ends at all daemons when later evidence clears the request, and its evidence is kept", func() {
		env, detector := newTestDetector()
		rep := replica.New(func() time.Time { return env.now })
		log := &fakeLog{replicas: []*replica.Replica{rep}}
		wall := func() time.Time { return env.now }
		store := NewStore(detector, rep, log, "entry", wall)
		_, other := newTestDetector()
		other.now = detector.now
		otherStore := NewStore(other, rep, log, "other", wall)
		reconcile := func() {
			for range 3 {
				store.reconcile(context.Background())
				otherStore.reconcile(context.Background())
				env.now = env.now.Add(retryInterval)
			}
		}
		for _, server := range []string{"a", "b"} {
			detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{}}, registry().ByID(server))
			detector.MarkExited(server, "spec")
		}
		env.now = env.now.Add(quarantine.SettleTime)
		reconcile()
		Expect(other.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Quarantined))
		unrelated := quarantine.DigestOf("c", "POST", "h", "/unrelated", nil)
		var shared []quarantine.Evidence
		for _, server := range []string{"a", "b"} {
			shared = append(shared, quarantine.Evidence{Digest: unrelated, Server: server, ExitedAt: env.now})
		}
		detector.Receive(shared, "partitioned daemon")
		env.now = env.now.Add(quarantine.SettleTime)
		reconcile()
		Expect(other.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Healthy), "it has no evidence")
		Expect(detector.Admit(quarantine.Fingerprint{Digest: d}).State).To(Equal(quarantine.Suspect))
		env.now = env.now.Add(2 * endTolerance)
		reconcile()
		Expect(rep.View().List(config.KindQuarantine)).To(BeEmpty())
		Expect(detector.Table().Decision(d, env.now).Servers).To(HaveLen(2))
	})

	It("of a prompt part is persisted for daemons that start later, until an operator ends it", func() {
		env, detector := newTestDetector()
		rep := replica.New(func() time.Time { return env.now })
		log := &fakeLog{replicas: []*replica.Replica{rep}}
		store := NewStore(detector, rep, log, "entry", func() time.Time { return env.now })
		requestOf := func(customer string, n int) quarantine.Fingerprint {
			d := quarantine.DigestOf(customer, "POST", "h", "/", []byte{byte(n)})
			return quarantine.NewFingerprint(d, quarantine.RequestInfo{Customer: customer, Path: "/"}, "s", promptParts{"f00d", "bad"})
		}
		detector.RecordServed("s", promptParts{"f00d"})
		for n, server := range []*fleet.Server{serverA, serverB, rankServer} {
			env.now = env.now.Add(2 * time.Second)
			detector.RecordConnectionLoss(requestOf("c", n), server)
			detector.MarkExited(server.ID, "spec")
		}
		for range 3 {
			store.reconcile(context.Background())
			env.now = env.now.Add(retryInterval)
		}
		part := quarantine.NewPart("s", "bad")
		spec := rep.View().Get(config.KindQuarantine, part.Digest.String()).Quarantine
		Expect([]string{spec.Part, spec.Service, spec.Customer}).To(Equal([]string{"bad", "s", "c"}))
		Expect(spec.Servers).To(HaveLen(3))
		Expect(rep.View().List(config.KindQuarantine)).To(HaveLen(1), "the other part had completed")

		_, started := newTestDetector()
		started.now = detector.now
		NewStore(started, rep, log, "late", func() time.Time { return env.now }).reconcile(context.Background())
		for _, table := range []*Detector{detector, started} {
			Expect(table.Admit(requestOf("c", 9)).State).To(Equal(quarantine.Quarantined))
		}
		Expect(started.Admit(requestOf("other", 9)).State).To(Equal(quarantine.Healthy))

		data, err := config.NewChange(&config.Bundle{CommandID: "release", Actor: "ops", Changes: []config.Change{
			{Kind: config.KindQuarantine, Name: part.Digest.String(), ExpectedRevision: config.AnyRevision},
		}}).Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(context.Background(), data)
		Expect(err).NotTo(HaveOccurred())
		store.reconcile(context.Background())
		Expect(detector.Admit(requestOf("c", 9)).State).To(Equal(quarantine.Healthy))
	})

	It("is removed from the configuration after its end", func() {
		env, detector := newTestDetector()
		rep := replica.New(func() time.Time { return env.now })
		log := &fakeLog{replicas: []*replica.Replica{rep}}
		store := NewStore(detector, rep, log, "entry", func() time.Time { return env.now })
		for _, server := range []string{"a", "b"} {
			detector.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: quarantine.RequestInfo{Customer: "c", Path: "/"}}, registry().ByID(server))
			detector.MarkExited(server, "spec")
		}
		for range 3 {
			store.reconcile(context.Background())
			env.now = env.now.Add(retryInterval)
		}
		Expect(rep.View().List(config.KindQuarantine)).To(HaveLen(1))
		env.now = env.now.Add(time.Hour)
		for range 3 {
			store.reconcile(context.Background())
			env.now = env.now.Add(retryInterval)
		}
		Expect(rep.View().List(config.KindQuarantine)).To(BeEmpty())
	})
})
