// Package platformdaemon runs crowbridge's daemons on the users' platform: it wires
// the platform's adapter, the membership, the request pipeline and the expert
// maps into the processes of entry VMs and of the VMs beside model engines.
package platformdaemon

import (
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// logQueue is how many lines may wait to be written.
	logQueue = 512
	// logPerSecond bounds the lines written; what is over is counted and left out.
	logPerSecond = 200
	// memoryPart is the part of a process's memory that the Go runtime may use before
	// it collects harder; the rest is for stacks and unread bytes of connections.
	memoryPart = 0.7
)

// boundedWriter passes lines on without ever blocking the writer. Lines over
// the rate or over what can wait are counted and dropped.
type boundedWriter struct {
	lines   chan []byte
	now     func() time.Time
	second  int64
	written int
}

var droppedLines = metrics.NewCounter("crowbridge_log_lines_dropped_total")

func newBoundedWriter(w io.Writer, now func() time.Time) *boundedWriter {
	b := &boundedWriter{lines: make(chan []byte, logQueue), now: now}
	go func() {
		for line := range b.lines {
			_, _ = w.Write(line) // there is nowhere to tell
		}
	}()
	return b
}

// Write implements io.Writer. The logger calls it under its lock.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if second := b.now().Unix(); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written++; b.written > logPerSecond {
		droppedLines.Inc()
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		droppedLines.Inc()
	}
	return len(line), nil
}

// NewLogger returns a structured logger to standard output.
func NewLogger(daemon, zone string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(newBoundedWriter(os.Stdout, time.Now))
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return logger.WithFields(logrus.Fields{"daemon": daemon, "zone": zone})
}

// limitMemory keeps the Go runtime below the process's limit.
func limitMemory(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(megabytes<<20)))
	}
}
