package membership

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// departureHold is how long a removed server isn't used again if only an older copy of the store
// lists it. The registry drops servers after three missed heartbeats.
const departureHold = 5 * time.Second

// departure records the removal of one incarnation of a server.
type departure struct {
	// key is the Server.Key of the incarnation.
	key string
	at  time.Time
}

// markDeparted removes a server and records its departure.
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

// reconcileOlderCopy corrects registrations from an older copy of the store by newer knowledge:
// leaving servers stay leaving, removed ones stay removed for a while, and missing ones get time to
// register again.
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

// newerValue returns the value of a record from an older copy of the store, or a newer one that is
// already known: nil if the server was removed recently.
func (m *Membership) newerValue(r Record) []byte {
	if len(r.Value) == 0 {
		return nil
	}
	listed, err := m.decoder.DecodeServer(r.Key, r.Value)
	if err != nil {
		return r.Value // applyServer rejects and logs it
	}
	log := m.log.WithField("server", r.Key).WithField("position", r.Position.String())
	known := m.servers.records[r.Key].Value
	if old := m.decoded[r.Key]; old != nil && len(known) > 0 && isLater(old, listed) {
		log.Info("registration is from an older copy of the store: keeping the newer one")
		return known
	}
	if d, gone := m.departed[r.Key]; gone && d.key == listed.Key() && m.now().Sub(d.at) <= departureHold {
		log.Info("older copy of the store lists a removed server: not used for now")
		m.suppressed[r.Key] = r
		return nil
	}
	return r.Value
}

// isLater reports whether registration a of a server was written after b. It is false if both
// belong to different incarnations or their order is unknown.
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

// releaseSuppressed uses a suppressed server again if the registry still lists it after
// departureHold. It reports whether the set of servers changed.
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
