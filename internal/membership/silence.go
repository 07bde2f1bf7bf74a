package membership

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// readerConfigWait replaces configWait at the daemon that reads for its zone: a read may
	// stay silent although configurations come, as after a compaction of the topic, and
	// nothing else shows it. In three zones it costs 0.5 calls a second more.
	readerConfigWait = 5 * time.Second
	// doubtWait replaces it for doubtTime after anything that may have left a read silent:
	// one that failed, was cut or told that its records are gone, or that missed what a peer
	// knows. Stale answers of the store are some seconds old.
	doubtWait = 500 * time.Millisecond
	doubtTime = 10 * time.Second
	// peerAheadGrace is how long an own read may still be silent about what a peer has
	// told: reads of several daemons end some milliseconds apart.
	peerAheadGrace = 150 * time.Millisecond
)

// configSilence is what tells whether a read's silence can be believed.
type configSilence struct {
	// doubtUntil is the end of the doubt by the membership's clock, in nanoseconds since 1970.
	doubtUntil atomic.Int64
	// reading is the offset that the present read waits for.
	reading atomic.Int64
}

// doubt makes silence short-lived for a while.
func (f *Follower) doubt(cause error) {
	now := f.members.now()
	if !f.doubts(now) {
		f.log.WithFields(logrus.Fields{"cause": cause.Error(), "for_ms": doubtTime.Milliseconds()}).
			Info("silence of the store about configurations isn't believed for a while")
	}
	f.silence.doubtUntil.Store(now.Add(doubtTime).UnixNano())
}

func (f *Follower) doubts(now time.Time) bool { return now.UnixNano() < f.silence.doubtUntil.Load() }

// configPatience is how long the next read waits for a configuration.
func (f *Follower) configPatience() time.Duration {
	switch {
	case f.zone != nil && !f.zone.ReadsItself():
		return configWait
	case f.doubts(f.members.now()):
		return doubtWait
	default:
		return readerConfigWait
	}
}

// errMissedConfig ends a read that is silent about what a peer knows.
type errMissedConfig struct{}

// Error implements error.
func (errMissedConfig) Error() string { return "another daemon knows a newer configuration" }

// peerKnewMore ends the present read, unless it hears by itself of what a peer has just told.
func (f *Follower) peerKnewMore(next int64) {
	time.AfterFunc(peerAheadGrace, func() {
		if f.silence.reading.Load() < next {
			f.doubt(errMissedConfig{})
			wake(f.rereads)
		}
	})
}
