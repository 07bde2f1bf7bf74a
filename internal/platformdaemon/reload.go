package platformdaemon

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/sirupsen/logrus"
)

// settingsPollInterval is the time between reads of the settings file, which may change
// without a signal.
const settingsPollInterval = 5 * time.Second

// WatchSettings calls apply with the new settings after each change of the settings file,
// on SIGHUP or when a poll finds one, until the context ends. An invalid file is logged and
// ignored. The log says whether an address or port has changed, which needs a restart.
func WatchSettings(ctx context.Context, current *platform.Settings, log *logrus.Entry, apply func(*platform.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-hangup:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		changed, err := platform.LoadSettings(current.Path)
		if err != nil {
			log.WithError(err).Error("settings not reloaded; keeping the previous ones")
			continue
		}
		if reflect.DeepEqual(changed, current) {
			if signalled {
				log.Info("settings reloaded: no changes")
			}
			continue
		}
		log.WithField("needs_restart", needsRestart(current, changed)).Info("settings reloaded")
		current = changed
		apply(changed)
	}
}

// needsRestart reports whether an address or port differs, which a running process can't
// apply.
func needsRestart(a, b *platform.Settings) bool {
	return a.Callers != b.Callers || a.Readiness != b.Readiness || a.Control != b.Control || a.IP != b.IP ||
		a.FirstPort != b.FirstPort || a.Store != b.Store || a.LocalServer != b.LocalServer
}
