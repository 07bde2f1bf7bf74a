package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/sirupsen/logrus"
)

// WatchEra logs each return of the store from an older copy, and serves its era as a metric.
func MonitorEra(eras *storelog.EraTracker, log *logrus.Entry) {
	metrics.GetOrCreateGauge(`crowbridge_store_era`, func() float64 { return float64(eras.Newest()) })
	eras.OnAdvance(func(before, now int64) {
		log.WithFields(logrus.Fields{"era": now, "before": before}).
			Warn("the store has come back from an older copy: all that is kept there is read anew")
	})
}
