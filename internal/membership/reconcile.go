package membership

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// departureHold is how long a server that went away isn't used again because an older copy
// of the store lists it: the registry drops servers that are silent for three heartbeats.
const departureHold = 5 * time.Second

// departure is the end of a server's registration.
type departure struct {
	// start is the key of the server's start that went away.
	key string
	at  time.Time
}

// markGone takes a server as gone.
func (m *Membership) markDeparted(id string, server *fleet.Server) {
	delete(m.decoded, id)
	if server != nil {
		m.departed[id] = departure{key: server.Key(), at: m.now()}
	}
	for other, d := range m.departed {
		if m.now().Sub(d.at) > departureHold {
			delete(m.departed, other)
		}
	}
}

// reconcile amends registrations that come from an older copy of the store by what is known
// to be newer: who leaves goes on leaving, who has gone stays away for a while, and who is
// missing has the time to register again.
func (m *Membership) reconcileOlderCopy(r *serverUpdate) {
	if r.lapses == nil {
		r.lapses = map[string]time.Duration{}
	}
	present := make(map[string]bool, len(r.records))
	for i, record := range r.records {
		r.records[i].Value = m.newerValue(record)
		present[record.Key] = len(record.Value) == 0 || len(r.records[i].Value) > 0
	}
	for id, server := range m.decoded {
		if !present[id] && !server.Leaving {
			r.lapses[id] = max(r.lapses[id], outageGrace)
		}
	}
}

// newerValue returns the value of a record of an older copy, or what is known to be newer.
func (m *Membership) newerValue(r Record) []byte {
	if len(r.Value) == 0 {
		return nil
	}
	listed, err := m.decoder.DecodeServer(r.Key, r.Value)
	if err != nil {
		return r.Value // is refused, and said so, where it's taken in
	}
	log := m.log.WithField("server", r.Key).WithField("position", r.Position.String())
	known := m.servers.records[r.Key].Value
	if old := m.decoded[r.Key]; old != nil && len(known) > 0 && isLater(old, listed) {
		log.Info("the store's copy is older than what is known of the server: that stays")
		return known
	}
	if d, gone := m.departed[r.Key]; gone && d.key == listed.Key() && m.now().Sub(d.at) <= departureHold {
		log.Info("the store's copy lists a server that has gone: not used for now")
		m.suppressed[r.Key] = r
		return nil
	}
	return r.Value
}

// later tells whether a registration of one start of a server was written after another.
func isLater(a, b *fleet.Server) bool {
	if a.Key() != b.Key() {
		return false
	}
	if a.Leaving != b.Leaving {
		return a.Leaving
	}
	if a.Rank == nil || b.Rank == nil {
		return false
	}
	if a.Rank.Epoch != b.Rank.Epoch {
		return a.Rank.Epoch > b.Rank.Epoch
	}
	return !a.Rank.Open && b.Rank.Open
}

// releaseHeld uses servers again that the registry still lists though they were taken as
// gone. It returns whether there are any.
func (m *Membership) releaseSuppressed() bool {
	released := false
	for id, r := range m.suppressed {
		if m.now().Sub(m.departed[id].at) <= departureHold {
			continue
		}
		delete(m.suppressed, id)
		if known := m.servers.records[id]; known.Position != r.Position {
			continue
		}
		m.servers.records[id] = r
		released = m.applyServer(id, serverUpdate{source: sourceStore}) || released
	}
	return released
}
