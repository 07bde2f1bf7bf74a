package membership

import (
	"errors"
	"time"

	"github.com/crowbridge/crowbridge/internal/longpoll"
	"github.com/crowbridge/crowbridge/internal/storelog"
)

// readerConfigWait replaces configWait at the daemon that reads for its zone: a read may
// be deaf without anything that shows it. In three zones it costs 0.5 calls a second
// more, a tenth of what 8 entries and 16 agents made on a quiet day (286 to 315).
const readerConfigPollTimeout = 5 * time.Second

// errMissed ends a read that is silent about what a peer knows.
var errPeerAhead = errors.New("another daemon knows a newer configuration")

// doubt makes reads for configurations short for a while.
func (f *Follower) revokeReadTrust(cause error) {
	if f.readTrust.Revoke(f.members.now()) {
		f.log.WithError(cause).WithField("confirmed_ms", f.members.ConfigAge().Milliseconds()).Info("the store's silence about configurations isn't believed for a while")
	}
}

// configPatience is how long the next read waits for a configuration. The others of a zone
// hear from its reader, at each exchange, what a deaf read of their own misses.
func (f *Follower) configPollTimeout() time.Duration {
	if f.zone != nil && !f.zone.ReadsDirectly() {
		return maxConfigPollTimeout
	}
	return f.readTrust.MaxWait(readerConfigPollTimeout, f.members.now())
}

// peerKnewMore ends the present read, unless it hears by itself of what a peer has just told.
func (f *Follower) handlePeerAhead(next storelog.Position) {
	time.AfterFunc(longpoll.PeerAheadGrace, func() {
		if storelog.Position(f.readPosition.Load()) < next {
			f.revokeReadTrust(errPeerAhead)
			signal(f.restartRead)
		}
	})
}
