package membership

import (
	"errors"
	"time"

	"github.com/crowbridge/crowbridge/internal/longpoll"
	"github.com/crowbridge/crowbridge/internal/storelog"
)

// readerConfigPollTimeout replaces maxConfigPollTimeout at the zone's reader. A long poll can miss
// records without an error; a shorter one bounds the delay for the zone.
const readerConfigPollTimeout = 5 * time.Second

// errPeerAhead is the reason for distrusting a read that misses what a peer already has.
var errPeerAhead = errors.New("a peer has a newer configuration")

// revokeReadTrust shortens the long polls for configurations for a while.
func (f *Follower) revokeReadTrust(cause error) {
	if f.readTrust.Revoke(f.members.now()) {
		f.log.WithError(cause).WithField("confirmed_ms", f.members.ConfigAge().Milliseconds()).Info("empty reads of configurations not trusted for a while")
	}
}

// configPollTimeout returns how long the next read waits for a configuration. Only a daemon that
// reads directly needs the short timeout: the others pull from the zone's reader what their own
// read misses.
func (f *Follower) configPollTimeout() time.Duration {
	if f.zone != nil && !f.zone.ReadsDirectly() {
		return maxConfigPollTimeout
	}
	return f.readTrust.MaxWait(readerConfigPollTimeout, f.members.now())
}

// handlePeerAhead restarts the current read unless it catches up with the peer's position within a
// grace period.
func (f *Follower) handlePeerAhead(next storelog.Position) {
	time.AfterFunc(longpoll.PeerAheadGrace, func() {
		if storelog.Position(f.readPosition.Load()) < next {
			f.revokeReadTrust(errPeerAhead)
			signal(f.restartRead)
		}
	})
}
