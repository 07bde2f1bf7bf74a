package membership

import (
	"context"
	"time"
)

const (
	// readerTimeout bounds a question to a zone's reader: a call within a zone takes
	// less than a millisecond, some tens on a slow VM. What is left of the time within
	// which requests must stop going to a leaving server is for a read of the store.
	readerTimeout = 200 * time.Millisecond
	// readerPause is how long a reader that failed or was stale isn't asked again: a few
	// reads of the store, and as long as most VMs take to come back.
	readerRetryDelay = 5 * time.Second
)

// reader returns the daemon that reads the registrations for all of its zone: the
// one with the first address. It is empty when that is this daemon; shared tells
// whether others of the zone may ask it then. Daemons may disagree for a while,
// which costs reads of the store and no more.
func (e *Exchange) reader() (peer string, shared bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.members.now()
	first := e.self.Control
	for address, known := range e.peers {
		if known.zone != e.self.Zone || address == e.self.Control || now.Sub(known.lastSeen) > peerExpiry {
			continue
		}
		shared = true
		if address < first && now.After(known.avoidUntil) {
			first = address
		}
	}
	if first == e.self.Control {
		return "", shared
	}
	return first, shared
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
		Info("zone reader failed or is stale: registrations are read from the store")
	return false
}
