package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/intake"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const headerTimeout = 10 * time.Second

// Listen listens at a TCP address. Its error contains the name of the setting that holds the address.
func Listen(setting, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "setting %s: %q", setting, address)
}

// ServeHTTP serves handler on the listener until the context ends, then waits at most grace for the
// requests in flight.
func ServeHTTP(ctx context.Context, listener net.Listener, handler http.Handler, grace time.Duration) error {
	return serve(ctx, &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}, listener, grace)
}

// ServeCallers is ServeHTTP for a listener that bounds what callers make the process hold. The handler finds its
// connection by intake.ConnOf.
func ServeCallers(ctx context.Context, listener *intake.Listener, handler http.Handler, grace time.Duration) error {
	return serve(ctx, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ConnContext: intake.WithConn, ConnState: intake.StateChanged,
	}, listener, grace)
}

func serve(ctx context.Context, server *http.Server, listener net.Listener, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := server.Shutdown(stopCtx); err != nil {
		return errors.Wrap(server.Close(), "close server after the grace period")
	}
	return nil
}

// MetricsHandler returns a handler for metrics, liveness, readiness and changes of the log level.
func MetricsHandler(ready func() bool, logger *logrus.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("PUT /loglevel/{level}", func(w http.ResponseWriter, r *http.Request) {
		level, err := logrus.ParseLevel(r.PathValue("level"))
		if err != nil {
			http.Error(w, fmt.Sprintf("level: %q: use error, warn, info or debug", r.PathValue("level")), http.StatusBadRequest)
			return
		}
		logger.SetLevel(level)
	})
	return mux
}

// ExportOutcomeCounts exports the counts that read returns as metrics.
func ExportOutcomeCounts(read func() outcome.Counts) {
	gauge := func(name string, of func(outcome.Counts) int64) {
		metrics.GetOrCreateGauge(name, func() float64 { return float64(of(read())) })
	}
	gauge(`crowbridge_requests_accepted_total`, func(c outcome.Counts) int64 { return c.Accepted })
	gauge(`crowbridge_requests_total{outcome="answered"}`, func(c outcome.Counts) int64 { return c.Answered })
	gauge(`crowbridge_requests_total{outcome="not-run"}`, func(c outcome.Counts) int64 { return c.NotRun })
	gauge(`crowbridge_requests_total{outcome="unknown"}`, func(c outcome.Counts) int64 { return c.Unknown })
	gauge(`crowbridge_requests_in_flight`, func(c outcome.Counts) int64 { return c.InFlight })
}

// timestampFormat is RFC 3339 with milliseconds, since lines of several daemons are compared.
const timestampFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger of the given level that writes JSON.
func NewLogger(level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Errorf("setting log-level: %q: use error, warn, info or debug", level)
	}
	logger := logrus.New()
	logger.SetLevel(parsed)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timestampFormat})
	return logger, nil
}
