package endless

import (
	"context"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/loadgen"
)

const (
	// productMemory is the limit of an agent and of an entry: what their settings let responses in
	// progress take (max-answer for each of max-concurrency), and 128 MB.
	productMemory   = productAnswer*productRunning + 128<<20
	productAnswer   = 4 << 20
	productRunning  = 8
	productDeadline = 3 * time.Second
	productLoad     = 4 * time.Second
	productTokens   = 5
)

// TestProductOutlivesServersThatSendWithoutEnd guards against the same behind the product's own agents and entries.
func TestProductOutlivesServersThatSendWithoutEnd(t *testing.T) {
	bin := build(t)
	for _, mode := range modes(HeaderLine, Chunks, Line) {
		t.Run(string(mode), func(t *testing.T) {
			cluster, err := harness.New(harness.Layout{
				Zones: []string{"a"}, EntriesPerZone: 1, EnginesPerZone: 2, PlainPerZone: 2,
				StepTime: 6 * time.Millisecond, KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: productDeadline + time.Second,
				AgentArgs: []string{"--max-answer", "4194304"}, EntryArgs: []string{"--max-answer", "4194304"},
			}, bin, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(cluster.KillAll)
			if err := cluster.Start(); err != nil {
				t.Fatal(err)
			}
			broken := map[string]*Server{}
			for _, s := range cluster.Servers {
				if s.Name != "engine-a-1" && s.Name != "plain-a-1" {
					continue
				}
				if err := cluster.Processes["backend-"+s.Name].Kill(); err != nil {
					t.Fatal(err)
				}
				if broken[s.Name], err = Start(s.BackendAddress(), mode, soundBody); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(broken[s.Name].Close)
			}
			report, err := loadgen.Run(context.Background(), loadgen.Options{
				Entries: cluster.CallerAddresses(), Keys: cluster.Keys, Rate: 60, Duration: productLoad, Tokens: productTokens,
				PlainPercent: 50, StreamPercent: 30, UnkeyedPercent: 30, DeadlineMs: int(productDeadline / time.Millisecond), MaxRetries: 1,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			checkProduct(t, mode, cluster, broken, report)
		})
	}
}

// checkProduct reports what must not happen, whatever a server sends. A whole response that more bytes
// follow is a server's own, also where a caller wants a stream.
func checkProduct(t *testing.T, mode Mode, cluster *harness.Cluster, broken map[string]*Server, report *loadgen.Report) {
	if report.Answered == 0 || report.NoResponse > 0 || report.FalseEnds > 0 && mode != BeyondLength {
		t.Error("requests were left without a response, or a stream ended that isn't complete")
	}
	for name, server := range broken {
		if server.Requests() == 0 {
			t.Errorf("%s got no request", name)
		}
		checkReleased(t, server)
	}
	for _, name := range []string{"entry-a-1", "agent-engine-a-1", "agent-plain-a-1"} {
		checkMemory(t, name, cluster.Processes[name].PID(), productMemory)
	}
}
