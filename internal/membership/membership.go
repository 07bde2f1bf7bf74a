package membership

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/sirupsen/logrus"
)

// Decoder turns the platform's records into the project's types.
type Decoder interface {
	DecodeConfig(data []byte) (*fleet.Config, error)
	DecodeServer(id string, data []byte) (*fleet.Server, error)
	// ConfigKey is the key of the configuration among the operators' records.
	ConfigKey() string
}

// outageGrace is how long after the store's return a server whose registration
// lapsed meanwhile is kept: living ones register again within two seconds.
const outageGrace = 2300 * time.Millisecond

// Membership is the daemon's copy. Invariant: the configuration's version never
// falls. Its lock is a leaf. Safe for concurrent use.
type Membership struct {
	decoder Decoder
	now     func() time.Time
	log     *logrus.Entry

	mu        sync.Mutex
	operators *topic
	servers   *topic
	decoded   map[string]*fleet.Server
	// lapsed are servers whose registration went away around an outage of the
	// store, and when they are to be taken as gone.
	lapsed map[string]time.Time
	// away is set from a failed call to the store until the first read that succeeds
	// has been taken in. peerNews is set when another daemon knew newer registrations
	// meanwhile: then the store was away for this daemon only, and nothing lapsed.
	away, peerNews bool
	onServers      []func(*fleet.Servers)

	config  atomic.Pointer[fleet.Config]
	present atomic.Pointer[fleet.Servers]
}

// New returns an empty copy.
func New(decoder Decoder, now func() time.Time, log *logrus.Entry) *Membership {
	return &Membership{
		decoder: decoder, now: now, log: log,
		operators: newTopic(), servers: newTopic(),
		decoded: map[string]*fleet.Server{}, lapsed: map[string]time.Time{},
	}
}

// Config returns the configuration in force, or nil while none is known.
func (m *Membership) Config() *fleet.Config { return m.config.Load() }

// Servers returns the registered servers, or nil while they aren't known.
func (m *Membership) Servers() *fleet.Servers { return m.present.Load() }

// OnServers calls f at each change of the servers. Call it before the copy is
// filled.
func (m *Membership) OnServers(f func(*fleet.Servers)) { m.onServers = append(m.onServers, f) }

// offsets returns up to where both topics are known.
func (m *Membership) offsets() (operators, servers int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operators.next, m.servers.next
}

// takeOperators takes in operators' records. whole says that they are the
// newest of every key.
func (m *Membership) takeOperators(records []Record, next int64, whole bool, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	take := m.operators.take
	if whole {
		take = m.operators.replace
	}
	known, met := m.operators.records[m.decoder.ConfigKey()]
	for _, r := range records {
		if r.Key == m.decoder.ConfigKey() && (!met || r.Offset > known.Offset) {
			m.adopt(r, source)
		}
	}
	take(records, next)
}

// adopt puts a configuration in force if it is newer and well-formed.
func (m *Membership) adopt(r Record, source string) {
	log := m.log.WithFields(logrus.Fields{"offset": r.Offset, "source": source})
	if len(r.Value) == 0 {
		log.Warn("configuration deleted: the last one stays in force")
		return
	}
	config, err := m.decoder.DecodeConfig(r.Value)
	if err != nil {
		log.WithError(err).Error("configuration refused: the last one stays in force")
		return
	}
	if old := m.config.Load(); old != nil && old.Version >= config.Version {
		return
	}
	m.config.Store(config)
	log.WithField("version", config.Version).Info("configuration in force")
}

// takeServers takes in registrations.
func (m *Membership) takeServers(records []Record, next int64, whole bool, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	take := m.servers.take
	if whole {
		take = m.servers.replace
	}
	first := m.present.Load() == nil
	changed := false
	for _, id := range take(records, next) {
		changed = m.applyServer(id, source) || changed
	}
	if changed = m.expire() || changed; changed || first {
		m.publish()
	}
}

// applyServer takes one changed registration over. It returns whether anything
// but a heartbeat happened.
func (m *Membership) applyServer(id, source string) bool {
	r := m.servers.records[id]
	log := m.log.WithFields(logrus.Fields{"server": id, "offset": r.Offset, "source": source})
	old := m.decoded[id]
	if len(r.Value) == 0 {
		return m.remove(id, old, log)
	}
	delete(m.lapsed, id)
	server, err := m.decoder.DecodeServer(id, r.Value)
	if err != nil {
		log.WithError(err).Error("registration refused: the last one stays")
		return false
	}
	if old != nil && equal(old, server) {
		return false
	}
	m.decoded[id] = server
	log.WithFields(logrus.Fields{
		"address": server.Address, "leaving": server.Leaving, "rank": describe(server.Rank),
	}).Info("server registered")
	return true
}

func describe(rank *fleet.GroupRank) any {
	if rank == nil {
		return nil
	}
	return *rank
}

func equal(a, b *fleet.Server) bool {
	sameRank := (a.Rank == nil) == (b.Rank == nil) && (a.Rank == nil || *a.Rank == *b.Rank)
	x, y := *a, *b
	x.Rank, y.Rank = nil, nil
	return sameRank && x == y
}

func (m *Membership) remove(id string, old *fleet.Server, log *logrus.Entry) bool {
	if old == nil {
		return false
	}
	if m.away && !m.peerNews && !old.Leaving {
		m.lapsed[id] = m.now().Add(outageGrace)
		log.Info("registration lapsed while the store was away: kept for now")
		return false
	}
	delete(m.decoded, id)
	log.Info("server gone")
	return true
}

// expire takes lapsed servers as gone whose time is over.
func (m *Membership) expire() bool {
	changed := false
	for id, until := range m.lapsed {
		if m.now().After(until) {
			delete(m.lapsed, id)
			delete(m.decoded, id)
			m.log.WithField("server", id).Info("server gone: not registered again after the store's outage")
			changed = true
		}
	}
	return changed
}

func (m *Membership) publish() {
	list := make([]*fleet.Server, 0, len(m.decoded))
	for _, server := range m.decoded {
		list = append(list, server)
	}
	servers := fleet.NewServers(list)
	m.present.Store(servers)
	for _, f := range m.onServers {
		f(servers)
	}
}

// storeFailed notes that the store couldn't be reached.
func (m *Membership) storeFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.away {
		m.away, m.peerNews = true, false
	}
}

// storeReached notes that a read has been taken in.
func (m *Membership) storeReached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = false
}

// heardFromPeer notes that another daemon knew newer registrations.
func (m *Membership) heardFromPeer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerNews = true
}
