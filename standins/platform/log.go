// Package platform is a small stand-in for the platform's services: the
// append-only log with limited retention, outages and lost answers, the lagging
// list of VMs, and the rate-limited weight store.
package platform

import (
	"context"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/pkg/errors"
)

// ErrDown is returned while the log has an outage.
var ErrDown = errors.New("log stand-in: outage")

// ErrLostAnswer is returned for a record that was taken while answers get lost.
var ErrLostAnswer = errors.New("log stand-in: answer lost")

// Log is an in-memory log. It implements the product's replica.Log, so tests
// can use it without a network.
type Log struct {
	mu      sync.Mutex
	first   int64
	entries []config.LogEntry
	grown   chan struct{}
	faults  Faults
	appends int64
	now     func() time.Time
}

// Faults are what can be wrong with the log.
type Faults struct {
	// Down refuses appends and reads.
	Down bool `json:"down"`
	// LoseAnswers takes records but reports an error.
	LoseAnswers bool `json:"loseAnswers"`
	// DelayMs slows every call.
	DelayMs int64 `json:"delayMs"`
	// Keep bounds the records kept; 0 keeps all.
	Keep int `json:"keep"`
}

// NewLog returns an empty log.
func NewLog(now func() time.Time) *Log {
	return &Log{grown: make(chan struct{}), now: now}
}

// SetFaults changes what is wrong.
func (l *Log) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	l.trim()
}

func (l *Log) trim() {
	if l.faults.Keep == 0 || len(l.entries) <= l.faults.Keep {
		return
	}
	drop := len(l.entries) - l.faults.Keep
	l.first += int64(drop)
	l.entries = append([]config.LogEntry(nil), l.entries[drop:]...)
}

// Append implements replica.Log.
func (l *Log) Append(_ context.Context, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, ErrDown
	}
	offset := l.first + int64(len(l.entries))
	l.entries = append(l.entries, config.LogEntry{Offset: offset, TimeMs: l.now().UnixMilli(), Data: data})
	l.appends++
	l.trim()
	close(l.grown)
	l.grown = make(chan struct{})
	if l.faults.LoseAnswers {
		return 0, ErrLostAnswer
	}
	return offset, nil
}

// Read implements replica.Log.
func (l *Log) Read(ctx context.Context, after int64, wait time.Duration) ([]config.LogEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		entries, grown, err := l.readNow(after)
		if err != nil || len(entries) > 0 || wait == 0 {
			return entries, err
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// maxRead bounds the records in one answer.
const maxRead = 1000

func (l *Log) readNow(after int64) ([]config.LogEntry, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return nil, nil, ErrDown
	}
	if after+1 < l.first {
		return nil, nil, replica.ErrGone
	}
	from := min(max(after+1-l.first, 0), int64(len(l.entries)))
	to := min(from+maxRead, int64(len(l.entries)))
	return append([]config.LogEntry(nil), l.entries[from:to]...), l.grown, nil
}

// First implements replica.Log.
func (l *Log) First(context.Context) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, ErrDown
	}
	return l.first, nil
}

// Appends returns how many records were taken.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *Log) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.faults.DelayMs) * time.Millisecond
}
