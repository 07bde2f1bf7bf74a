package membership

import (
	"context"
	"time"
)

const (
	// readerTimeout limits a pull from the zone's reader. It leaves time for a read of the store
	// within the time in which requests must stop going to a leaving server.
	readerTimeout = 200 * time.Millisecond
	// readerRetryDelay is how long a reader that failed or had stale registrations isn't used
	// again.
	readerRetryDelay = 5 * time.Second
)

// reader returns the daemon that reads the registrations for its zone: the one with the lowest
// address. peer is empty if that is this daemon; shared then reports whether the zone has other
// daemons. Daemons may disagree for a while, which only costs additional reads of the store.
func (e *Exchange) reader() (peer string, shared bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.members.now()
	lowest := e.self.Control
	for address, known := range e.peers {
		if known.zone != e.self.Zone || address == e.self.Control || now.Sub(known.lastSeen) > peerExpiry {
			continue
		}
		shared = true
		if address < lowest && now.After(known.avoidUntil) {
			lowest = address
		}
	}
	if lowest == e.self.Control {
		return "", shared
	}
	return lowest, shared
}

// ReadsForZone implements ZoneReader.
func (e *Exchange) ReadsForZone() bool {
	reader, shared := e.reader()
	return reader == "" && shared
}

// ReadsDirectly implements ZoneReader.
func (e *Exchange) ReadsDirectly() bool {
	reader, _ := e.reader()
	return reader == ""
}

// Refresh implements ZoneReader.
func (e *Exchange) Refresh(ctx context.Context, maxAge time.Duration) bool {
	reader, _ := e.reader()
	if reader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readerTimeout)
	defer cancel()
	err := e.Pull(ctx, reader)
	asOf := e.members.registrationsAsOf()
	if err == nil && e.members.now().Sub(asOf) <= maxAge {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.peers[reader]
	known.avoidUntil = e.members.now().Add(readerRetryDelay)
	e.peers[reader] = known
	e.log.WithError(err).WithField("peer", reader).WithField("age_ms", ageMs(e.members.now(), asOf)).
		Info("zone reader failed or stale: reading registrations from the store")
	return false
}
