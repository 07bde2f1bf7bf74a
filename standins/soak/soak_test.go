package soak

import (
	"os/exec"
	"strings"
	"testing"
	"time"
)

// regressions are the seeds that failed before, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{424, "the port of a restarting entry was in use, probably by another run that shared the port range"},
	{710, "an entry read past the end of a log that was restored from a backup shorter than what it had read"},
	{33, "two crashes of a server within two seconds counted as one, and a restarted entry ran what its peers had quarantined"},
	{10, "the drain timeout was shorter than the deadline of requests: requests whose responses were lost were aborted"},
}

// soakLength is short since CI runs one seed and the regressions.
const soakLength = 5 * time.Second

// TestSoak runs a fixed seed and the regressions.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/",
		"github.com/crowbridge/crowbridge/cmd/...", "github.com/crowbridge/crowbridge/standins/cmd/standin").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	seeds := []uint64{1}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		var log strings.Builder
		if err := Run(Options{Seed: seed, Length: soakLength, Bin: bin, Dir: t.TempDir(), Out: &log}); err != nil {
			t.Errorf("%v\n%s", err, log.String())
		}
	}
}
