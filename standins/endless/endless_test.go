package endless

import (
	_ "embed"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/crowbridge/crowbridge/standins/harness"
)

// By hand: go test ./standins/endless -v -args -all
var all = flag.Bool("all", false, "all modes")

// modes returns the given ones, or all if that is set.
func modes(few ...Mode) []Mode {
	if *all {
		return slices.Concat(HeadModes, BodyModes)
	}
	return few
}

//go:embed configuration.json
var configuration string

const (
	// routeTimeout is that of all routes in the configuration, slack the time beyond it after which a
	// request counts as held.
	routeTimeout = 3 * time.Second
	slack        = 500 * time.Millisecond
	// callers send requests for loadTime.
	callers  = 100
	loadTime = 2 * time.Second
	// soundEvents is the number of events of a sound stream.
	soundEvents = 5
)

// soundServer responds as it should.
func soundServer() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a caller that has left needs no response
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSignature, "s")
		if isStream(r.URL.Path) {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		fmt.Fprint(w, soundBody(r.URL.Path))
	})
}

// soundBody returns the body that a path should have.
func soundBody(path string) string {
	if isStream(path) {
		return soundStream()
	}
	return "sound"
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/resumable/") || strings.HasPrefix(path, "/stream/")
}

func soundStream() string {
	var text strings.Builder
	for id := 1; id <= soundEvents; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: sound\n\n", id)
	}
	return text.String()
}

// counts are what callers saw.
type counts struct {
	total, served, failed, broken, wrong, held atomic.Int64
	longestMs                                  atomic.Int64
}

func (c *counts) String() string {
	return fmt.Sprintf("%d requests: %d served, %d failed, %d broken off, %d wrong and complete, %d held; longest %d ms",
		c.total.Load(), c.served.Load(), c.failed.Load(), c.broken.Load(), c.wrong.Load(), c.held.Load(), c.longestMs.Load())
}

// call sends a request and counts its response.
func (c *counts) call(client *http.Client, address, path, id string) {
	began := time.Now()
	c.total.Add(1)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("{}"))
	if err != nil {
		c.failed.Add(1)
		return
	}
	request.Host = "h.example"
	request.Header.Set(platform.HeaderRequestID, id)
	response, err := client.Do(request)
	defer func() {
		took := time.Since(began)
		if took > routeTimeout+slack {
			c.held.Add(1)
		}
		for {
			longest := c.longestMs.Load()
			if took.Milliseconds() <= longest || c.longestMs.CompareAndSwap(longest, took.Milliseconds()) {
				return
			}
		}
	}()
	if err != nil {
		c.broken.Add(1)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	tooLong := err == nil && len(body) == 1<<20
	_ = response.Body.Close() // read to its end, or given up
	switch {
	case err != nil || tooLong:
		c.broken.Add(1)
	case response.StatusCode != http.StatusOK:
		c.failed.Add(1)
	case string(body) == soundBody(path):
		c.served.Add(1)
	default:
		c.wrong.Add(1)
	}
}

// load sends requests from many callers at once.
func load(address string) *counts {
	var c counts
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	end := time.Now().Add(loadTime)
	for i := range callers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				path := []string{"/idempotent/x", "/resumable/x", "/stream/x", "/once/x"}[(i+n)%4]
				c.call(client, address, path, fmt.Sprintf("%d-%d", i, n))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return &c
}

// peakMemory returns the largest resident size of a process in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes << 10
		}
	}
	t.Fatal("no peak memory")
	return 0
}

func build(t *testing.T) string {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/crowbridge/crowbridge/cmd/...",
		"github.com/crowbridge/crowbridge/standins/cmd/standin").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return bin
}

// TestEntryOutlivesServerThatSendsWithoutEnd guards against memory, connections and requests that a server's endless bytes use up.
func TestEntryOutlivesServerThatSendsWithoutEnd(t *testing.T) {
	bin := build(t)
	for _, mode := range modes(HeaderLine, Informational, Chunks, UntilClose, Line, Comments) {
		t.Run(string(mode), func(t *testing.T) {
			broken, err := Start("127.0.0.1:0", mode, soundBody)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(broken.Close)
			sound := httptest.NewServer(soundServer())
			t.Cleanup(sound.Close)
			entry, err := harness.StartHostedEntry(bin, t.TempDir(), configuration, []string{broken.Address(), sound.Listener.Addr().String()})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(entry.Close)
			c := load(entry.Callers)
			t.Logf("%s; %d requests and %d MB by the broken server", c, broken.Requests(), broken.Sent()>>20)
			check(t, c, broken)
			checkMemory(t, "entry", entry.Process.PID(), harness.HostedMemory)
		})
	}
}

// TestSlowCallersOfEndlessResponses guards against memory and server connections that callers who hardly read use up.
func TestSlowCallersOfEndlessResponses(t *testing.T) {
	bin := build(t)
	for _, mode := range modes(Events) {
		t.Run(string(mode), func(t *testing.T) {
			broken, err := Start("127.0.0.1:0", mode, soundBody)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(broken.Close)
			entry, err := harness.StartHostedEntry(bin, t.TempDir(), configuration, []string{broken.Address()})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(entry.Close)
			for i := range callers {
				conn, err := net.Dial("tcp", entry.Callers)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = conn.Close() })
				fmt.Fprintf(conn, "POST /resumable/x HTTP/1.1\r\nHost: h.example\r\n%s: slow-%d\r\nContent-Length: 0\r\n\r\n", platform.HeaderRequestID, i)
			}
			deadline := time.Now().Add(routeTimeout)
			for broken.Requests() == 0 && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			if broken.Requests() == 0 {
				t.Error("the broken server got no request")
			}
			checkReleased(t, broken)
			checkMemory(t, "entry", entry.Process.PID(), harness.HostedMemory)
		})
	}
}

// TestAgentOutlivesEngineThatSendsWithoutEnd guards against memory and connections that the state of an endless engine uses up.
func TestAgentOutlivesEngineThatSendsWithoutEnd(t *testing.T) {
	bin := build(t)
	for _, mode := range modes(HeaderLine, Chunks) {
		t.Run(string(mode), func(t *testing.T) {
			broken, err := Start("127.0.0.1:0", mode, soundBody)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(broken.Close)
			dir := t.TempDir()
			entry, err := harness.StartHostedEntry(bin, dir, configuration, []string{broken.Address()})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(entry.Close)
			agent, err := entry.NewHostedAgent(bin, dir, broken.Address())
			if err != nil {
				t.Fatal(err)
			}
			if err := agent.Start(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(loadTime)
			t.Logf("%d requests and %d MB by the broken engine", broken.Requests(), broken.Sent()>>20)
			if broken.Requests() == 0 {
				t.Error("the broken engine got no request")
			}
			checkMemory(t, "agent", agent.PID(), harness.HostedMemory)
			if err := agent.Stop(); err != nil {
				t.Error(err)
			}
			checkReleased(t, broken)
		})
	}
}

// check reports what must not happen, whatever a server sends.
func check(t *testing.T, c *counts, broken *Server) {
	t.Helper()
	if broken.Requests() == 0 || c.served.Load() == 0 {
		t.Error("a server got no request")
	}
	if c.held.Load() > 0 {
		t.Error("requests were held beyond their time")
	}
	if c.wrong.Load() > 0 {
		t.Error("wrong responses looked complete")
	}
	checkReleased(t, broken)
}

// checkMemory reports a process whose memory has exceeded its limit.
func checkMemory(t *testing.T, name string, pid int, limit int64) {
	t.Helper()
	memory := peakMemory(t, pid)
	t.Logf("%s: peak memory %d MB", name, memory>>20)
	if memory > limit {
		t.Errorf("%s: peak memory is over %d MB", name, limit>>20)
	}
}

// checkReleased reports connections that outlast their requests.
func checkReleased(t *testing.T, broken *Server) {
	t.Helper()
	deadline := time.Now().Add(routeTimeout + slack)
	for broken.Open() > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if n := broken.Open(); n > 0 {
		t.Errorf("%d connections to the broken server are still open", n)
	}
}
