package soak

import (
	"os/exec"
	"strings"
	"testing"
	"time"
)

// regressions are the seeds that ever failed, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{424, "the port of an entry that was to start again was in use, by whom wasn't seen; another soak and tests shared its range"},
	{710, "an entry read past the end of a log that had come back shorter than what it knew of the former one"},
	{10, "a planned stop's bound was shorter than the requests' deadline: four requests whose answers were lost were cut off"},
}

// soakLength is short: CI runs one seed and the regressions.
const soakLength = 5 * time.Second

// TestSoak runs a fixed seed and those that once failed.
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
