// Package platformdaemon_test runs the daemons of the users' platform in process against
// stand-ins of the store, of servers and of engines in lock-step.
package platformdaemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/daemon"
	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/crowbridge/crowbridge/standins/engine"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestPlatformDaemons(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform daemons")
}

const (
	patience = 20 * time.Second
	// groupRanks and groupExperts are the shape of the group in these specs, passTime
	// the time of its passes.
	groupRanks   = 3
	groupExperts = 6
	passTime     = 5 * time.Millisecond
)

const (
	// firstTestPort is below the ports that the system gives to outgoing connections.
	firstTestPort = 21000
	portsEach     = 10
)

// nextPorts is where freePorts looks next.
var nextPorts = firstTestPort

// freePorts returns the first of some ports that are free on a loopback address.
func freePorts(ip string) int {
	for {
		base := nextPorts
		nextPorts += portsEach
		free := true
		for port := base; port < base+portsEach; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			Expect(listener.Close()).To(Succeed())
		}
		if free {
			return base
		}
	}
}

func quietLog() *logrus.Entry {
	logger, _ := logrustest.NewNullLogger()
	return logrus.NewEntry(logger)
}

func entrySettings(ip, store string) *platform.Settings {
	return entrySettingsAt(ip, freePorts(ip), store)
}

// entrySettingsAt are the settings of an entry whose ports begin with base.
func entrySettingsAt(ip string, base int, store string) *platform.Settings {
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
	return &platform.Settings{
		Daemon: "entry-" + ip, IP: ip, Zone: "z", Store: store, Path: "none",
		Callers: at(5), Readiness: at(6), Control: at(7), FirstPort: base,
		Grace: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 60, RetryWindow: 10 * time.Second,
	}
}

func ready(s *platform.Settings) func() int {
	return func() int {
		response, err := http.Get("http://" + s.Readiness + "/ready")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
}

func ask(s *platform.Settings, path, key string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.Callers+path, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("X-Api-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(body)
}

func configVersion(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"idempotent","timeout_ms":5000,"service":"s","max_attempts":2}],
	 "services":[{"name":"s","max_conns":50},{"name":"m","max_conns":50,"engine":{"capacity":12,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"sets":1,"experts":%d,"placements":4,"spare":2,"expert_share":0.85}}],
	 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":[%s]}]}`,
		version, groupExperts, keys)
}

// signingServer answers as the platform's servers do.
func signingServer(served *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		fmt.Fprintf(w, "for %s by %s", r.Header.Get("X-Tenant"), r.Header.Get("X-Expect-Instance"))
	})
}

// tokenTransport sends an operator's token.
type tokenTransport struct{}

func (tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer token")
	return http.DefaultTransport.RoundTrip(r)
}

// apply submits the objects of a manifest.
func apply(api rpc.Operators, manifest string) rpc.Verdict {
	objects, err := config.ParseManifest([]byte(manifest))
	Expect(err).NotTo(HaveOccurred())
	request := &rpc.ApplyRequest{CommandId: "c1", Reason: "spec"}
	for _, object := range objects {
		data, err := json.Marshal(object)
		Expect(err).NotTo(HaveOccurred())
		request.Changes = append(request.Changes, &rpc.Change{
			Kind: string(object.Kind), Name: object.Name, Object: data, ExpectedRevision: config.AnyRevision,
		})
	}
	reply, err := api.Apply(context.Background(), request)
	Expect(err).NotTo(HaveOccurred())
	Expect(reply.Reason).To(BeEmpty())
	return reply.Verdict
}

var _ = Describe("an entry on the platform", func() {
	var store *standin.Store
	var settings *platform.Settings
	var served atomic.Int64

	BeforeEach(func() {
		served.Store(0)
		store = standin.NewStore()
		settings = entrySettings("127.0.0.1", listen("127.0.0.1:0", store))
	})

	serveOne := func() {
		store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
		address := listen("127.0.0.1:0", signingServer(&served))
		store.Put("keyed.servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, address))
	}

	It("answers 503 until it is configured, then serves", func() {
		run(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		Eventually(ready(settings), patience).Should(Equal(http.StatusServiceUnavailable))
		status, _ := ask(settings, "/a/x", "k1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		serveOne()
		Eventually(ready(settings), patience).Should(Equal(http.StatusOK))
		Eventually(func() string {
			_, body := ask(settings, "/a/x", "k1")
			return body
		}, patience).Should(Equal("for t by i-1"))
	})

	It("takes keys away with a new configuration", func() {
		serveOne()
		run(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		statusWith := func(key string) func() int {
			return func() int {
				status, _ := ask(settings, "/a/x", key)
				return status
			}
		}
		Eventually(statusWith("k1"), patience).Should(Equal(http.StatusOK))
		store.Put(platform.TopicOperators, "config", configVersion(2, `"k2"`))
		Eventually(statusWith("k1"), patience).Should(Equal(http.StatusUnauthorized))
		Expect(statusWith("k2")()).To(Equal(http.StatusOK))
	})

	It("learns all it needs from another entry while the store is down", func() {
		serveOne()
		run(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		Eventually(ready(settings), patience).Should(Equal(http.StatusOK))
		store.SetFaults(standin.Faults{Down: true})
		second := entrySettings("127.0.0.2", settings.Store)
		second.Seeds = []string{settings.Control}
		run(platformdaemon.NewEntryDaemon(second, nil, quietLog()))
		Eventually(ready(second), patience).Should(Equal(http.StatusOK))
		status, _ := ask(second, "/a/x", "k1")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("sends requests where the operators' selectors say, also after a start without the store", func() {
		serveOne()
		store.Put("keyed.servers", "i-2", fmt.Sprintf(`{"service":"s","address":%q,"zone":"east","capacity":6,"state":"ready"}`,
			listen("127.0.0.1:0", signingServer(&served))))
		operator, err := daemon.ParseOperator("ops:change:" + daemon.HashSecret("token"))
		Expect(err).NotTo(HaveOccurred())
		run(platformdaemon.NewEntryDaemon(settings, []daemon.Operator{operator}, quietLog()))
		Eventually(ready(settings), patience).Should(Equal(http.StatusOK))
		servedBy := func(s *platform.Settings) func() string {
			return func() string {
				_, body := ask(s, "/a/x", "k1")
				return body
			}
		}
		Eventually(servedBy(settings), patience).Should(Equal("for t by i-1"), "the entry's own zone")
		api := rpc.NewOperatorsProtobufClient("http://"+settings.Control, &http.Client{Transport: tokenTransport{}})
		Expect(apply(api, `
kind: Customer
name: t
labels: {fleet: east}
customer: {}
---
kind: Service
name: s
service: {protocol: plain, pathPrefix: /a}
---
kind: Route
name: eastwards
route: {service: s, customers: "fleet=east", servers: "zone=east"}
`)).To(Equal(rpc.Verdict_VERDICT_ACCEPTED))
		Eventually(servedBy(settings), patience).Should(Equal("for t by i-2"))
		explained, err := api.Explain(context.Background(), &rpc.ExplainRequest{Customer: "t", Path: "h.example/a/x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(explained.Route).To(Equal("r > eastwards"))
		store.SetFaults(standin.Faults{Down: true})
		second := entrySettings("127.0.0.2", settings.Store)
		second.Seeds = []string{settings.Control}
		run(platformdaemon.NewEntryDaemon(second, nil, quietLog()))
		Eventually(ready(second), patience).Should(Equal(http.StatusOK))
		Expect(servedBy(second)()).To(Equal("for t by i-2"))
	})

	It("learns a new configuration from another entry when its own long read hangs", func() {
		serveOne()
		run(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		Eventually(ready(settings), patience).Should(Equal(http.StatusOK))
		var registrationReads atomic.Int64
		hanging := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("wait_ms") != "" {
				<-r.Context().Done()
				return
			}
			if r.URL.Query().Get("topic") == "keyed.servers" {
				registrationReads.Add(1)
			}
			store.ServeHTTP(w, r)
		}))
		second := entrySettings("127.0.0.2", hanging)
		second.Seeds = []string{settings.Control}
		run(platformdaemon.NewEntryDaemon(second, nil, quietLog()))
		Eventually(ready(second), patience).Should(Equal(http.StatusOK))
		store.Put(platform.TopicOperators, "config", configVersion(2, `"k2"`))
		before := registrationReads.Load()
		Eventually(func() int {
			status, _ := ask(second, "/a/x", "k2")
			return status
		}, patience).Should(Equal(http.StatusOK))
		// Registrations are read each 0.9 s here.
		Expect(registrationReads.Load() - before).To(BeNumerically("<=", 3))
	})

	It("finishes what is in flight when it's stopped, and is not ready meanwhile", func() {
		store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
		begun, release := make(chan struct{}), make(chan struct{})
		address := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(begun)
			<-release
			signingServer(&served).ServeHTTP(w, r)
		}))
		store.Put("keyed.servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, address))
		stop := run(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		Eventually(ready(settings), patience).Should(Equal(http.StatusOK))
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _ := ask(settings, "/a/x", "k1")
			answered <- status
		}()
		Eventually(begun, patience).Should(BeClosed())
		go func() {
			defer GinkgoRecover()
			Eventually(ready(settings), patience).Should(Equal(http.StatusServiceUnavailable))
			close(release)
		}()
		stop()
		Expect(answered).To(Receive(Equal(http.StatusOK)))
	})
})

var _ = Describe("agents on the platform", func() {
	It("agree on a holder that moves the hot expert's work, and no pass sees two maps", func() {
		store := standin.NewStore()
		settings := entrySettings("127.0.0.1", listen("127.0.0.1:0", store))
		store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
		group := engine.NewGroup(engine.GroupOptions{Name: "g", Ranks: groupRanks, Experts: groupExperts, Layers: 1, PassTime: passTime})
		base := freePorts("127.0.0.20")
		stops := make([]func(), groupRanks)
		for rank := range groupRanks {
			ip := fmt.Sprintf("127.0.0.%d", 20+rank)
			address := listen(ip+":0", group.Handler(rank, http.NotFoundHandler()))
			store.Put("keyed.servers", fmt.Sprint("r", rank), fmt.Sprintf(
				`{"service":"m","address":%q,"zone":"z","capacity":12,"state":"ready","group":{"name":"g","epoch":1,"rank":%d,"state":"open"},"size":%d}`,
				address, rank, groupRanks))
			stops[rank] = run(platformdaemon.NewAgentDaemon(&platform.Settings{
				Daemon: fmt.Sprint("agent-", rank), IP: ip, Zone: "z", Store: settings.Store, Path: "none",
				FirstPort: base, Seeds: []string{settings.Control}, LocalServer: address, EnginesFence: true,
			}, quietLog()))
		}
		run(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go group.Run(ctx)
		maps := func() int { return len(group.State().Maps) }
		Eventually(maps, patience).Should(BeNumerically(">", 1))
		holder := holderOf(store)
		stops[holder]()
		// Another agent takes over, and follows the next shift of demand.
		before := maps()
		Eventually(func() int { return len(leases(store)) }, patience).Should(BeNumerically(">", 1))
		Expect(holderOf(store)).NotTo(Equal(holder))
		Eventually(maps, patience).Should(BeNumerically(">", before))
		Expect(group.State().MixedPasses).To(BeZero())
	})
})

func leases(store *standin.Store) [][]byte { return store.Records("leases") }

// holderOf returns the rank of the newest lease's holder.
func holderOf(store *standin.Store) int {
	all := leases(store)
	for rank := range groupRanks {
		if strings.Contains(string(all[len(all)-1]), fmt.Sprint("agent-", rank)) {
			return rank
		}
	}
	Fail("no holder")
	return -1
}

// listen serves a handler at an address until the spec ends.
func listen(address string, handler http.Handler) string {
	at, stop := serveAt(address, handler)
	DeferCleanup(stop)
	return at
}

// serveAt serves a handler at an address until stop is called.
func serveAt(address string, handler http.Handler) (at string, stop func()) {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}
