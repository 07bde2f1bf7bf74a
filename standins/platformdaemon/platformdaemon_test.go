// Package platformdaemon_test runs the platform daemons in process against test doubles of the
// store, of backend servers and of a group of engines that run in lock-step.
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
	testTimeout = 20 * time.Second

	// groupRanks, groupExperts and passTime configure the engine group.
	groupRanks   = 3
	groupExperts = 6
	passTime     = 5 * time.Millisecond
)

const (
	// firstTestPort is below the ephemeral port range.
	firstTestPort  = 21000
	portsPerDaemon = 10
)

// nextPort is the port at which freePorts starts to look.
var nextPort = firstTestPort

// freePorts returns the first of portsPerDaemon consecutive ports that are free on a loopback address.
func freePorts(ip string) int {
	for {
		base := nextPort
		nextPort += portsPerDaemon
		free := true
		for port := base; port < base+portsPerDaemon; port++ {
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

func discardLog() *logrus.Entry {
	logger, _ := logrustest.NewNullLogger()
	return logrus.NewEntry(logger)
}

func entrySettings(ip, store string) *platform.Settings {
	return entrySettingsAt(ip, freePorts(ip), store)
}

// entrySettingsAt returns the settings of an entry whose ports start at base.
func entrySettingsAt(ip string, base int, store string) *platform.Settings {
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, base+n) }
	return &platform.Settings{
		Daemon: "entry-" + ip, IP: ip, Zone: "z", Store: store, Path: "none",
		Callers: at(5), Readiness: at(6), Control: at(7), FirstPort: base,
		Grace: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 60, RetryWindow: 10 * time.Second,
	}
}

// readyStatus returns a function that gets the status of the readiness endpoint, or 0 without
// a response.
func readyStatus(s *platform.Settings) func() int {
	return func() int {
		response, err := http.Get("http://" + s.Readiness + "/ready")
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
}

// get sends a request with an API key and returns the status and body, or 0 and the error.
func get(s *platform.Settings, path, key string) (int, string) {
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

// configVersion returns a configuration of the operators' topic with the given API keys.
func configVersion(version int, keys string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"idempotent","timeout_ms":5000,"service":"s","max_attempts":2}],
	 "services":[{"name":"s","max_conns":50},{"name":"m","max_conns":50,"engine":{"capacity":12,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"sets":1,"experts":%d,"placements":4,"spare":2,"expert_share":0.85}}],
	 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":[%s]}]}`,
		version, groupExperts, keys)
}

// platformServer responds as the platform's servers do.
func platformServer(served *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Server-Stamp", "s")
		fmt.Fprintf(w, "for %s by %s", r.Header.Get("X-Tenant"), r.Header.Get("X-Expect-Instance"))
	})
}

// tokenTransport adds an operator's token to each request.
type tokenTransport struct{}

func (tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer token")
	return http.DefaultTransport.RoundTrip(r)
}

// apply submits the objects of a manifest and returns the verdict.
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

var _ = Describe("entry daemon", func() {
	var store *standin.Store
	var settings *platform.Settings
	var served atomic.Int64

	BeforeEach(func() {
		served.Store(0)
		store = standin.NewStore()
		settings = entrySettings("127.0.0.1", serveForSpec("127.0.0.1:0", store))
	})

	serveOne := func() {
		store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
		address := serveForSpec("127.0.0.1:0", platformServer(&served))
		store.Put("keyed.servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, address))
	}

	It("responds with 503 until it is configured, then serves", func() {
		startForSpec(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusServiceUnavailable))
		status, _ := get(settings, "/a/x", "k1")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		serveOne()
		Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusOK))
		Eventually(func() string {
			_, body := get(settings, "/a/x", "k1")
			return body
		}, testTimeout).Should(Equal("for t by i-1"))
	})

	It("rejects keys that a new configuration revokes", func() {
		serveOne()
		startForSpec(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		statusWith := func(key string) func() int {
			return func() int {
				status, _ := get(settings, "/a/x", key)
				return status
			}
		}
		Eventually(statusWith("k1"), testTimeout).Should(Equal(http.StatusOK))
		store.Put(platform.TopicOperators, "config", configVersion(2, `"k2"`))
		Eventually(statusWith("k1"), testTimeout).Should(Equal(http.StatusUnauthorized))
		Expect(statusWith("k2")()).To(Equal(http.StatusOK))
	})

	It("starts from a peer's state while the store is down", func() {
		serveOne()
		startForSpec(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusOK))
		store.SetFaults(standin.Faults{Down: true})
		second := entrySettings("127.0.0.2", settings.Store)
		second.Seeds = []string{settings.Control}
		startForSpec(platformdaemon.NewEntryDaemon(second, nil, discardLog()))
		Eventually(readyStatus(second), testTimeout).Should(Equal(http.StatusOK))
		status, _ := get(second, "/a/x", "k1")
		Expect(status).To(Equal(http.StatusOK))
	})

	It("routes by the operators' selectors, also after a start without the store", func() {
		serveOne()
		store.Put("keyed.servers", "i-2", fmt.Sprintf(`{"service":"s","address":%q,"zone":"east","capacity":6,"state":"ready"}`,
			serveForSpec("127.0.0.1:0", platformServer(&served))))
		operator, err := daemon.ParseOperator("ops:change:" + daemon.HashSecret("token"))
		Expect(err).NotTo(HaveOccurred())
		startForSpec(platformdaemon.NewEntryDaemon(settings, []daemon.Operator{operator}, discardLog()))
		Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusOK))
		servedBy := func(s *platform.Settings) func() string {
			return func() string {
				_, body := get(s, "/a/x", "k1")
				return body
			}
		}
		Eventually(servedBy(settings), testTimeout).Should(Equal("for t by i-1"), "the entry's own zone")
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
		Eventually(servedBy(settings), testTimeout).Should(Equal("for t by i-2"))
		explained, err := api.Explain(context.Background(), &rpc.ExplainRequest{Customer: "t", Path: "h.example/a/x"})
		Expect(err).NotTo(HaveOccurred())
		Expect(explained.Route).To(Equal("r > eastwards"))
		store.SetFaults(standin.Faults{Down: true})
		second := entrySettings("127.0.0.2", settings.Store)
		second.Seeds = []string{settings.Control}
		startForSpec(platformdaemon.NewEntryDaemon(second, nil, discardLog()))
		Eventually(readyStatus(second), testTimeout).Should(Equal(http.StatusOK))
		Expect(servedBy(second)()).To(Equal("for t by i-2"))
	})

	It("receives a new configuration from a peer when its own long poll hangs", func() {
		serveOne()
		startForSpec(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusOK))
		var registrationReads atomic.Int64
		hanging := serveForSpec("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		startForSpec(platformdaemon.NewEntryDaemon(second, nil, discardLog()))
		Eventually(readyStatus(second), testTimeout).Should(Equal(http.StatusOK))
		store.Put(platform.TopicOperators, "config", configVersion(2, `"k2"`))
		before := registrationReads.Load()
		Eventually(func() int {
			status, _ := get(second, "/a/x", "k2")
			return status
		}, testTimeout).Should(Equal(http.StatusOK))
		// Registrations are polled every 0.9 s, so this bounds the delay.
		Expect(registrationReads.Load() - before).To(BeNumerically("<=", 3))
	})

	It("finishes requests in flight when stopped, and is not ready meanwhile", func() {
		store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
		started, release := make(chan struct{}), make(chan struct{})
		address := serveForSpec("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(started)
			<-release
			platformServer(&served).ServeHTTP(w, r)
		}))
		store.Put("keyed.servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, address))
		stop := startForSpec(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusOK))
		statuses := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status, _ := get(settings, "/a/x", "k1")
			statuses <- status
		}()
		Eventually(started, testTimeout).Should(BeClosed())
		go func() {
			defer GinkgoRecover()
			Eventually(readyStatus(settings), testTimeout).Should(Equal(http.StatusServiceUnavailable))
			close(release)
		}()
		stop()
		Expect(statuses).To(Receive(Equal(http.StatusOK)))
	})
})

var _ = Describe("agent daemons", func() {
	It("elect a lease holder that rebalances experts, replace it when it stops, and never use two maps in a pass", func() {
		store := standin.NewStore()
		settings := entrySettings("127.0.0.1", serveForSpec("127.0.0.1:0", store))
		store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
		group := engine.NewGroup(engine.GroupOptions{Name: "g", Ranks: groupRanks, Experts: groupExperts, Layers: 1, PassTime: passTime})
		base := freePorts("127.0.0.20")
		stops := make([]func(), groupRanks)
		for rank := range groupRanks {
			ip := fmt.Sprintf("127.0.0.%d", 20+rank)
			address := serveForSpec(ip+":0", group.Handler(rank, http.NotFoundHandler()))
			store.Put("keyed.servers", fmt.Sprint("r", rank), fmt.Sprintf(
				`{"service":"m","address":%q,"zone":"z","capacity":12,"state":"ready","group":{"name":"g","epoch":1,"rank":%d,"state":"open"},"size":%d}`,
				address, rank, groupRanks))
			stops[rank] = startForSpec(platformdaemon.NewAgentDaemon(&platform.Settings{
				Daemon: fmt.Sprint("agent-", rank), IP: ip, Zone: "z", Store: settings.Store, Path: "none",
				FirstPort: base, Seeds: []string{settings.Control}, LocalServer: address, EnginesFence: true,
			}, discardLog()))
		}
		startForSpec(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go group.Run(ctx)
		maps := func() int { return len(group.State().Maps) }
		Eventually(maps, testTimeout).Should(BeNumerically(">", 1))
		holder := leaseHolder(store)
		stops[holder]()
		// Another agent claims the lease and follows the next shift of demand.
		before := maps()
		Eventually(func() int { return len(leaseRecords(store)) }, testTimeout).Should(BeNumerically(">", 1))
		Expect(leaseHolder(store)).NotTo(Equal(holder))
		Eventually(maps, testTimeout).Should(BeNumerically(">", before))
		Expect(group.State().MixedPasses).To(BeZero())
	})
})

func leaseRecords(store *standin.Store) [][]byte { return store.Records("leases") }

// leaseHolder returns the rank of the latest lease's holder.
func leaseHolder(store *standin.Store) int {
	records := leaseRecords(store)
	for rank := range groupRanks {
		if strings.Contains(string(records[len(records)-1]), fmt.Sprint("agent-", rank)) {
			return rank
		}
	}
	Fail("no lease holder")
	return -1
}

// serveForSpec serves a handler at an address until the spec ends.
func serveForSpec(address string, handler http.Handler) string {
	at, stop := serve(address, handler)
	DeferCleanup(stop)
	return at
}

// serve serves a handler at an address until stop is called.
func serve(address string, handler http.Handler) (at string, stop func()) {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }
}
