// Package platformdaemon implements the daemons that run on the users' platform: the
// entry, which serves callers, and the agent, which runs on the VM of a model engine.
package platformdaemon

import (
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// maxQueuedLines bounds the lines waiting to be written.
	maxQueuedLines = 512
	// maxLinesPerSecond bounds the lines written; excess lines are counted and dropped.
	maxLinesPerSecond = 200
	// flushTimeout bounds the time that the end of the process waits for the log's output.
	flushTimeout = 100 * time.Millisecond
)

// boundedWriter writes lines in the background and never blocks its caller. Lines that
// exceed the rate or the queue are counted and dropped.
type boundedWriter struct {
	lines chan []byte
	// flushes receives requests to report that all lines queued before have been written.
	flushes chan chan struct{}
	now     func() time.Time
	// unlimited is set once the rate no longer applies.
	unlimited atomic.Bool
	// written counts the lines of the Unix second.
	second  int64
	written int
	dropped atomic.Int64
}

var droppedLines = metrics.NewCounter("crowbridge_log_lines_dropped_total")

func newBoundedWriter(w io.Writer, now func() time.Time) *boundedWriter {
	b := &boundedWriter{lines: make(chan []byte, maxQueuedLines), flushes: make(chan chan struct{}), now: now}
	go b.run(w)
	return b
}

// run writes the queued lines. A failure of the log output can't be logged.
func (b *boundedWriter) run(w io.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line)
		case flushed := <-b.flushes:
			for len(b.lines) > 0 {
				_, _ = w.Write(<-b.lines)
			}
			if n := b.dropped.Load(); n > 0 {
				_, _ = fmt.Fprintf(w, `{"level":"warning","msg":"log lines dropped","lines":%d}`+"\n", n)
			}
			close(flushed)
		}
	}
}

// Write implements io.Writer. The logger calls it under its lock.
func (b *boundedWriter) Write(line []byte) (int, error) {
	if second := b.now().Unix(); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written++; b.written > maxLinesPerSecond && !b.unlimited.Load() {
		b.drop()
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *boundedWriter) drop() {
	b.dropped.Add(1)
	droppedLines.Inc()
}

// flush returns when the lines queued so far have been written, or after flushTimeout. Then
// the output doesn't accept them, and the process ends without.
func (b *boundedWriter) flush() {
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	flushed := make(chan struct{})
	select {
	case b.flushes <- flushed:
	case <-timer.C:
		return
	}
	select {
	case <-flushed:
	case <-timer.C:
	}
}

// liftLogRate makes the log accept any number of lines per second, as many as are queued, so
// that the lines of a planned stop are complete.
func liftLogRate(log *logrus.Entry) {
	if writer, ok := log.Logger.Out.(*boundedWriter); ok {
		writer.unlimited.Store(true)
	}
}

// flushLog writes the queued lines of a logger. It is called last before the process ends.
func flushLog(log *logrus.Entry) {
	if writer, ok := log.Logger.Out.(*boundedWriter); ok {
		writer.flush()
	}
}

// NewLogger returns a logger that writes JSON lines to standard output.
func NewLogger(daemon, zone string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(newBoundedWriter(os.Stdout, time.Now))
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "15:04:05.000"})
	return logger.WithFields(logrus.Fields{"daemon": daemon, "zone": zone})
}
