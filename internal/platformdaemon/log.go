// Package platformdaemon implements the daemons that run on the users' platform: the
// entry, which serves callers, and the agent, which runs on the VM of a model engine.
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
	// maxQueuedLines bounds the lines waiting to be written.
	maxQueuedLines = 512
	// maxLinesPerSecond bounds the lines written; excess lines are counted and dropped.
	maxLinesPerSecond = 200
	// memoryLimitFraction is the Go runtime's soft limit as a fraction of the process's
	// memory limit; the rest is for thread stacks and socket buffers.
	memoryLimitFraction = 0.7
)

// boundedWriter writes lines in the background and never blocks its caller. Lines that
// exceed the rate or the queue are counted and dropped.
type boundedWriter struct {
	lines chan []byte
	now   func() time.Time
	// written counts the lines of the Unix second.
	second  int64
	written int
}

var droppedLines = metrics.NewCounter("crowbridge_log_lines_dropped_total")

func newBoundedWriter(w io.Writer, now func() time.Time) *boundedWriter {
	b := &boundedWriter{lines: make(chan []byte, maxQueuedLines), now: now}
	go func() {
		for line := range b.lines {
			_, _ = w.Write(line) // a failure of the log output can't be logged
		}
	}()
	return b
}

// Write implements io.Writer. The logger calls it under its lock.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if second := b.now().Unix(); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written++; b.written > maxLinesPerSecond {
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

// NewLogger returns a logger that writes JSON lines to standard output.
func NewLogger(daemon, zone string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(newBoundedWriter(os.Stdout, time.Now))
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return logger.WithFields(logrus.Fields{"daemon": daemon, "zone": zone})
}

// limitMemory sets the Go runtime's soft memory limit for a process limit in MiB; 0 means
// none.
func limitMemory(megabytes int64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes<<20)))
	}
}
