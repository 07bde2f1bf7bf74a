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

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 5 * time.Second

// WatchSettings calls apply with each changed state of the settings file, on
// SIGHUP or when the file is seen to differ. A file that can't be read changes
// nothing. What needs a restart (addresses, ports) is named in the log.
func WatchSettings(ctx context.Context, current *platform.Settings, log *logrus.Entry, apply func(*platform.Settings)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsPoll)
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
			log.WithError(err).Error("settings not reloaded: the old ones stay in force")
			continue
		}
		if reflect.DeepEqual(changed, current) {
			if signalled {
				log.Info("settings reloaded: nothing has changed")
			}
			continue
		}
		log.WithField("needs_restart", needsRestart(current, changed)).Info("settings reloaded")
		current = changed
		apply(changed)
	}
}

// needsRestart tells whether something changed that a running process can't take over.
func needsRestart(a, b *platform.Settings) bool {
	return a.Callers != b.Callers || a.Readiness != b.Readiness || a.Control != b.Control || a.IP != b.IP ||
		a.FirstPort != b.FirstPort || a.Store != b.Store || a.LocalServer != b.LocalServer
}
