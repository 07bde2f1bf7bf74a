package engine

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
)

// FaultsPath is the path of the control endpoint that sets a server's Faults.
const FaultsPath = "/faults"

// Faults are random faults of a server's responses.
type Faults struct {
	// Seed determines the draws.
	Seed uint64 `json:"seed"`
	// BreakPercent is the percentage of streams that break off.
	BreakPercent int `json:"break"`
	// FailPercent is the percentage of failed resumptions of streams and of failed plain calls.
	FailPercent int `json:"fail"`
	// UnframedPercent is the percentage of responses whose body ends with the connection alone.
	UnframedPercent int `json:"unframed"`
	// EmptyPercent is the percentage of resumptions that end in order without an event, among those
	// that don't fail.
	EmptyPercent int `json:"empty"`
}

// FaultCounts counts the faults of a server since its faults were last set.
type FaultCounts struct {
	Broken   int `json:"broken"`
	Failed   int `json:"failed"`
	Unframed int `json:"unframed"`
	Empty    int `json:"empty"`
}

// FaultInjector draws the faults of one server. The zero value draws none.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
	counts FaultCounts
	// random draws breaks and failures, form all else, so that neither changes the other's draws.
	random, form *rand.Rand
}

// ServeHTTP sets the faults and responds with the counts of the ones before.
func (f *FaultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(f.counts) // fails if the client disconnected
	f.faults, f.counts = faults, FaultCounts{}
	f.random, f.form = rand.New(rand.NewPCG(faults.Seed, 0)), rand.New(rand.NewPCG(faults.Seed, 1))
}

// drawPercent draws whether something of the given probability happens.
func drawPercent(random *rand.Rand, percent int) bool {
	return random != nil && random.IntN(100) < percent
}

// DrawFailure draws whether the next call fails.
func (f *FaultInjector) DrawFailure() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !drawPercent(f.random, f.faults.FailPercent) {
		return false
	}
	f.counts.Failed++
	return true
}

// NotResumed is the body of a failed resumption.
const NotResumed = `{"object":"error","message":"not resumed"}` + "\n\n"

// drawFailedResumption draws whether the next resumption fails. It returns a function that writes the
// response, or nil.
func (f *FaultInjector) drawFailedResumption() func(w http.ResponseWriter) {
	if !f.DrawFailure() {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	status := []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusOK}[f.random.IntN(3)]
	return func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, NotResumed) // fails if the caller disconnected
	}
}

// drawEmptyResumption draws whether the next resumption ends in order without an event.
func (f *FaultInjector) drawEmptyResumption() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !drawPercent(f.form, f.faults.EmptyPercent) {
		return false
	}
	f.counts.Empty++
	return true
}

// drawFraming draws whether the next response has neither chunks nor a length, and sets its header.
func (f *FaultInjector) drawFraming(header http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if drawPercent(f.form, f.faults.UnframedPercent) {
		f.counts.Unframed++
		header.Set("Transfer-Encoding", "identity") // net/http then closes the connection after the body
	}
}

// drawBreak draws whether and how the next stream breaks off. It returns the last token of the
// stream, and a function that breaks it off before the next event, or nil.
func (f *FaultInjector) drawBreak(after, tokens int) (lastToken int, breakOff func(w http.ResponseWriter, next string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after > tokens || !drawPercent(f.random, f.faults.BreakPercent) {
		return tokens, nil
	}
	f.counts.Broken++
	lastToken = after + f.random.IntN(tokens-after+1)
	insideEvent := f.random.IntN(2) == 0
	cutPercent := f.form.IntN(100)
	end := []func(w http.ResponseWriter){resetConnection, closeConnection, endBody}[f.random.IntN(3)]
	return lastToken, func(w http.ResponseWriter, next string) {
		if insideEvent {
			_, _ = io.WriteString(w, next[:1+(len(next)-1)*cutPercent/100])
			_ = http.NewResponseController(w).Flush() // fails if the caller disconnected
		}
		end(w)
	}
}

// resetConnection resets the connection of a response.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		closeConnection(w)
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it, the connection is closed
	}
	_ = conn.Close()
}

// closeConnection closes the connection of a response inside its body.
func closeConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

// endBody ends a response as if it were complete.
func endBody(http.ResponseWriter) {}
