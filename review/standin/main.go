// Command reviewstandin runs the script cases of the independent review: it plays the platform's
// store, the backend servers and the clients, and starts entries as the deploy file does.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// recorder writes what was sent, answered and run to a file, with the time since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// test is one run of a case.
type test struct {
	*recorder
	// dir is a temporary folder.
	dir string
	// trouble is unset if the disruption is left out.
	trouble bool
}

func main() { os.Exit(run()) }

func run() (code int) {
	cases := map[string]func(*test) int{"registrations": registrationsCase, "drain": drainCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstandin registrations|drain RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	t := &test{recorder: &recorder{file: file, started: time.Now()}, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if failure := recover(); failure != nil {
			t.log("not run: %v", failure)
			fmt.Fprintln(os.Stderr, failure)
			code = exitNotRun
		}
	}()
	return cases[os.Args[1]](t)
}

// conclude records and returns the outcome.
func (t *test) conclude(broken bool, format string, args ...any) int {
	outcome, code := "held", exitHeld
	if broken {
		outcome, code = "BROKEN", exitBroken
	}
	message := fmt.Sprintf(format, args...)
	t.log("the rule is %s: %s", outcome, message)
	fmt.Printf("%s: %s\n", outcome, message)
	return code
}

// sleepUntil waits for a time.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }
