package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/sirupsen/logrus"
)

// MonitorEra logs each restore of the store from an older copy and exports its era as a metric.
func MonitorEra(eras *storelog.EraTracker, log *logrus.Entry) {
	metrics.GetOrCreateGauge(`crowbridge_store_era`, func() float64 { return float64(eras.Newest()) })
	eras.OnAdvance(func(before, now int64) {
		log.WithFields(logrus.Fields{"era": now, "before": before}).
			Warn("store restored from an older copy: rereading all its data")
	})
}
