package ranks

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
)

func TestRanks(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ranks")
}

func quietLog() *logrus.Entry {
	logger, _ := logrustest.NewNullLogger()
	return logrus.NewEntry(logger)
}

// fakeEngine accepts and records every command.
type fakeEngine struct {
	mu       sync.Mutex
	commands []experts.Command
	counts   []float64
}

func (e *fakeEngine) Report(context.Context, string) (experts.RankReport, error) {
	return experts.RankReport{Group: "g", Epoch: 1, Rank: 1, Size: 2, Open: true, Pass: 9}, nil
}

func (e *fakeEngine) Counts(context.Context, string) (experts.Counts, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.counts {
		e.counts[i] += float64(i + 1)
	}
	return experts.Counts{Epoch: 1, Selections: append([]float64(nil), e.counts...)}, nil
}

func (e *fakeEngine) Experts(context.Context, string) ([][]int, error) { return [][]int{{1}}, nil }

func (e *fakeEngine) Execute(_ context.Context, _ string, command experts.Command) (experts.Result, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.commands = append(e.commands, command)
	return experts.Accepted, nil
}

func (e *fakeEngine) executed() []experts.Command {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]experts.Command(nil), e.commands...)
}

// portTries bounds the attempts of listenBoth.
const portTries = 100

// listenBoth listens on the same loopback port for UDP and TCP, as an agent does. A
// port that is free for one may be in use for the other.
func listenBoth() (net.PacketConn, net.Listener) {
	for range portTries {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		conn, err := net.ListenPacket("udp4", listener.Addr().String())
		if err == nil {
			return conn, listener
		}
		Expect(err).To(MatchError(syscall.EADDRINUSE))
		Expect(listener.Close()).To(Succeed())
	}
	Fail("no port is free for both UDP and TCP")
	return nil, nil
}

// newService returns the service of an agent that has read its engine's state.
func newService(engine *fakeEngine) *Service {
	agent := experts.NewAgent(engine, "", time.Now, quietLog())
	_, err := agent.RefreshReport(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return NewService(agent)
}

// lossyConn drops the first datagrams that are written.
type lossyConn struct {
	net.PacketConn
	mu   sync.Mutex
	drop int
}

func (c *lossyConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drop > 0 {
		c.drop--
		return len(data), nil
	}
	return c.PacketConn.WriteTo(data, to)
}

// fixedDirectory returns the endpoints of the only other rank.
type fixedDirectory struct{ endpoints Endpoints }

func (d fixedDirectory) Endpoints(string, int) (Endpoints, error) {
	if d.endpoints.Server == "" {
		return Endpoints{}, errors.New("not registered")
	}
	return d.endpoints, nil
}

func (d fixedDirectory) Parameters(string) (Parameters, bool) { return Parameters{}, false }

var _ = Describe("calls between agents", func() {
	const key = "secret"
	var engine *fakeEngine
	var responses *lossyConn
	var httpServer *httptest.Server
	var httpCalls int
	ctx := context.Background()

	// connect starts an agent and returns a holder's client of it with the given key.
	connect := func(clientKey string) *client {
		conn, listener := listenBoth()
		responses = &lossyConn{PacketConn: conn}
		service := newService(engine)
		calls := peerrpc.NewRanksServer(service)
		httpServer = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			httpCalls++
			calls.ServeHTTP(w, r)
		}))
		Expect(httpServer.Listener.Close()).To(Succeed())
		httpServer.Listener = listener
		httpServer.Start()
		listening, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- Serve(listening, responses, service, key, quietLog()) }()
		udp, err := newUDPClient("127.0.0.1", authenticator{key: []byte(clientKey)}, 100)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			httpServer.Close()
			udp.close()
			stop()
			Expect(<-ended).NotTo(HaveOccurred())
		})
		return &client{
			group: "g", udp: udp, http: http.DefaultClient, ownRank: 0, engine: engine, unresponsive: map[int]bool{}, lastEndpoints: map[int]Endpoints{}, mapTransfers: semaphore.NewWeighted(maxMapTransfers),
			directory: fixedDirectory{Endpoints{Server: "s", Agent: conn.LocalAddr().String()}},
		}
	}

	BeforeEach(func() { engine, httpCalls = &fakeEngine{counts: make([]float64, 6)}, 0 })

	bounded := func(d time.Duration) context.Context {
		ctx, cancel := context.WithTimeout(ctx, d)
		DeferCleanup(cancel)
		return ctx
	}

	It("return the state of a rank and the queried range of its counts", func() {
		c := connect(key)
		_, err := c.Observe(bounded(5*time.Second), 1, 4, experts.Query{})
		Expect(err).NotTo(HaveOccurred())
		observation, err := c.Observe(bounded(5*time.Second), 1, 4, experts.Query{From: 2, To: 5, Experts: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(observation.Report.Pass).To(Equal(int64(9)))
		Expect(observation.Counts).To(Equal(experts.Counts{Offset: 2, Selections: []float64{3, 4, 5}}))
		Expect(observation.Experts).To(Equal([][]int{{1}}))
		Expect(httpCalls).To(BeZero())
	})

	It("are resent when a datagram is lost", func() {
		c := connect(key)
		responses.mu.Lock()
		responses.drop = 2
		responses.mu.Unlock()
		result, err := c.SendCommand(bounded(10*time.Second), 1, experts.Command{Operation: experts.Hold, Pass: 3, Fence: 1}, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(experts.Accepted))
		Expect(len(engine.executed())).To(BeNumerically(">=", 3))
	})

	It("are rejected without the right key", func() {
		c := connect("another")
		_, err := c.SendCommand(bounded(200*time.Millisecond), 1, experts.Command{Operation: experts.Hold, Pass: 3, Fence: 1}, false)
		Expect(err).To(HaveOccurred())
		Expect(engine.executed()).To(BeEmpty())
	})

	It("go to an unresponsive agent's engine without waiting, and to the agent again once it responds", func() {
		c := connect(key)
		reachable := c.directory
		c.directory = fixedDirectory{Endpoints{Server: "s", Agent: "127.0.0.1:1", Engine: "127.0.0.1:2", ChecksFence: true}}
		observe := func() experts.Observation {
			observation, err := c.Observe(bounded(300*time.Millisecond), 1, 4, experts.Query{To: 6})
			Expect(err).NotTo(HaveOccurred())
			return observation
		}
		Expect(observe().Report.Pass).To(Equal(int64(9)), "reported by the engine")
		Expect(c.isUnresponsive(1)).To(BeTrue())
		c.directory = reachable
		Eventually(func() bool {
			observe()
			return c.isUnresponsive(1)
		}, "10s").Should(BeFalse())
		Expect(observe().Counts.Selections).NotTo(BeEmpty(), "only the agent returns counts")
	})

	It("go to the last known endpoints of a rank that isn't registered", func() {
		c := connect(key)
		_, err := c.Observe(bounded(5*time.Second), 1, 4, experts.Query{})
		Expect(err).NotTo(HaveOccurred())
		c.directory = fixedDirectory{}
		observation, err := c.Observe(bounded(5*time.Second), 1, 4, experts.Query{})
		Expect(err).NotTo(HaveOccurred())
		Expect(observation.Report.Pass).To(Equal(int64(9)))
		_, err = c.Observe(bounded(5*time.Second), 2, 4, experts.Query{})
		Expect(err).To(MatchError("not registered"))
	})

	It("are rejected by any other rank", func() {
		c := connect(key)
		_, err := c.Observe(bounded(5*time.Second), 2, 4, experts.Query{})
		Expect(err).To(MatchError(ContainSubstring("is rank 1")))
		result, err := c.SendCommand(bounded(5*time.Second), 2, experts.Command{Operation: experts.Arm, Pass: 3, Fence: 4}, false)
		Expect(err).To(MatchError(ContainSubstring("this is rank 1")))
		Expect(result).To(Equal(experts.Refused))
		Expect(engine.executed()).To(BeEmpty())
	})

	It("bypass the agent only if the engine checks fencing tokens", func() {
		c := connect(key)
		c.directory = fixedDirectory{Endpoints{Server: "s", Agent: "127.0.0.1:1", Engine: "127.0.0.1:2"}}
		_, err := c.SendCommand(bounded(200*time.Millisecond), 1, experts.Command{Operation: experts.Hold, Pass: 3, Fence: 1}, true)
		Expect(err).To(HaveOccurred())
		Expect(engine.executed()).To(BeEmpty())
		c.directory = fixedDirectory{Endpoints{Server: "s", Agent: "127.0.0.1:1", Engine: "127.0.0.1:2", ChecksFence: true}}
		result, err := c.SendCommand(bounded(200*time.Millisecond), 1, experts.Command{Operation: experts.Hold, Pass: 3, Fence: 1}, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(experts.Accepted))
	})

	prepare := func(c *client, version int64, lists [][][]int) {
		result, err := c.SendCommand(bounded(5*time.Second), 1, experts.Command{Operation: experts.Prepare, Epoch: 1, Version: version, Fence: 1, Map: lists}, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(experts.Accepted))
		commands := engine.executed()
		Expect(commands[len(commands)-1].Map).To(Equal(lists))
	}

	It("send maps as differences, but in full to an agent without the base", func() {
		c := connect(key)
		prepare(c, 1, [][][]int{{{0, 2, 1}, {1, 3}}})
		prepare(c, 2, [][][]int{{{0, 2}, {1, 3, 0}}})
		prepare(c, 2, [][][]int{{{0, 2}, {1, 3, 0}}})
		Expect(httpCalls).To(BeZero())
		// This agent has received version 2 only.
		behind := connect(key)
		behind.lastMap, behind.lastDifference = c.lastMap, c.lastDifference
		prepare(behind, 3, [][][]int{{{0, 2, 3}, {1, 3}}})
		Expect(httpCalls).To(Equal(1))
	})

	It("fail if the response to a command without a map reports an unknown base", func() {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		auth := authenticator{key: []byte(key)}
		go func() {
			buffer := make([]byte, maxSignedDatagram)
			n, from, err := conn.ReadFrom(buffer)
			data, ok := auth.verify(buffer[:n])
			var call peerrpc.RankCall
			if err != nil || !ok || proto.Unmarshal(data, &call) != nil {
				return
			}
			response, _ := proto.Marshal(&peerrpc.RankAnswer{Id: call.GetId(), Command: &peerrpc.CommandReply{BaseUnknown: true}})
			_, _ = conn.WriteTo(auth.sign(response), from)
		}()
		c := connect(key)
		c.directory = fixedDirectory{Endpoints{Server: "s", Agent: conn.LocalAddr().String()}}
		result, err := c.SendCommand(bounded(5*time.Second), 1, experts.Command{Operation: experts.Arm, Version: 4, Pass: 12, Fence: 4}, false)
		Expect(result).To(Equal(experts.NoResponse))
		Expect(err).To(MatchError(ContainSubstring("no map")))
	})

	It("send a map over HTTP if its difference doesn't fit into a datagram", func() {
		c := connect(key)
		lists := [][][]int{make([][]int, 2)}
		for expert := range 1500 {
			lists[0][(expert+1)%2] = append(lists[0][(expert+1)%2], expert)
		}
		prepare(c, 1, lists)
		Expect(httpCalls).To(Equal(1))
	})
})

var _ = Describe("an agent's service", func() {
	It("rejects a command with an invalid map difference", func() {
		engine := &fakeEngine{}
		service := newService(engine)
		for _, d := range []*peerrpc.MapDifference{
			{Base: 7, Sets: 1, Ranks: 2, Experts: 4},
			{Base: 0, Sets: 1, Ranks: 2, Experts: 4, Lists: []int32{9, 1, 1}},
			{Base: 0, Sets: 1, Ranks: 2, Experts: 4, Lists: []int32{0, 5, 1}},
			{Base: 0, Sets: 1, Ranks: 2, Experts: 4, Lists: []int32{0}},
			{Base: 0, Sets: 1, Ranks: 0, Experts: 4},
			{Base: 0, Sets: 1 << 20, Ranks: 1 << 20, Experts: 4},
		} {
			reply, err := service.Command(context.Background(), &peerrpc.CommandRequest{Group: "g", Rank: 1, Fence: 1, Epoch: 1, Version: 8, Difference: d})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.GetBaseUnknown()).To(BeTrue(), d.String())
		}
		Expect(engine.executed()).To(BeEmpty())
	})

	It("doesn't use a map of another holder as base", func() {
		service := newService(&fakeEngine{})
		fullMap := encodeMap([][][]int{{{0, 1}, {2, 3}}})
		_, err := service.Command(context.Background(), &peerrpc.CommandRequest{Group: "g", Rank: 1, Fence: 1, Epoch: 1, Version: 4, Map: fullMap})
		Expect(err).NotTo(HaveOccurred())
		next := &peerrpc.CommandRequest{Group: "g", Rank: 1, Fence: 2, Epoch: 1, Version: 5, Difference: &peerrpc.MapDifference{Base: 4, Sets: 1, Ranks: 2, Experts: 4}}
		reply, err := service.Command(context.Background(), next)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetBaseUnknown()).To(BeTrue())
	})
})

// FuzzDifference checks that applying any difference neither panics nor modifies the
// base, and that encoding the result and applying it again returns the same map.
func FuzzDifference(f *testing.F) {
	data, err := proto.Marshal(encodeDifference(versionedMap{lists: defaultMap(2, 3, 6)}, [][][]int{{{1, 0}, {2}, {3, 4, 5}}, {{0}, {1, 4}, {2, 3, 5}}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(strings.Repeat("\x2a\x01\x00", 4)))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d peerrpc.MapDifference
		if proto.Unmarshal(data, &d) != nil {
			return // invalid message
		}
		base := defaultMap(2, 3, 6)
		lists, ok := applyDifference(base, &d)
		if !ok {
			return
		}
		again, ok := applyDifference(base, encodeDifference(versionedMap{lists: base}, lists))
		if !ok || !equalMaps(again, lists) || !equalMaps(base, defaultMap(2, 3, 6)) {
			t.Fatalf("%v became %v after a round trip", lists, again)
		}
	})
}

func equalMaps(a, b [][][]int) bool {
	x, y := encodeMap(a), encodeMap(b)
	return proto.Equal(x, y)
}
