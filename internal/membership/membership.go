package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/storelog"
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
	// refused are the entries that name no server to use.
	invalid map[string]bool
	// away is set from a failed call to the store until the first read that succeeds
	// has been taken in. peerNews is set when another daemon knew newer registrations
	// meanwhile: then the store was away for this daemon only, and nothing lapsed.
	storeUnreachable, peerAhead bool
	onServers                   []func(*fleet.Servers)
	// inForce is the record of the configuration in force.
	currentConfigRecord []byte
	// departed are servers that went away lately, held those of them that are listed again
	// by an older copy of the store.
	departed   map[string]departure
	suppressed map[string]Record
	// onPeerConfig is called with the position up to which another daemon knew the
	// operators' topic, when that is more than was known here.
	onPeerAhead func(next storelog.Position)
	// serversAsOf is a time at which nothing newer had been registered.
	serversAsOf time.Time
	// operatorsAsOf is the same for the operators' topic, as far as reads can be believed.
	operatorsAsOf time.Time

	config         atomic.Pointer[fleet.Config]
	currentServers atomic.Pointer[fleet.Servers]
}

// New returns an empty copy.
func New(decoder Decoder, now func() time.Time, log *logrus.Entry) *Membership {
	return &Membership{
		decoder: decoder, now: now, log: log,
		operators: newTopic(), servers: newTopic(),
		onPeerAhead: func(storelog.Position) {},
		departed:    map[string]departure{}, suppressed: map[string]Record{},
		decoded: map[string]*fleet.Server{}, lapsed: map[string]time.Time{}, invalid: map[string]bool{},
	}
}

// Config returns the configuration in force, or nil while none is known.
func (m *Membership) Config() *fleet.Config { return m.config.Load() }

// Servers returns the registered servers, or nil while they aren't known.
func (m *Membership) Servers() *fleet.Servers { return m.currentServers.Load() }

// OnServers calls f at each change of the servers. Call it before the copy is
// filled.
func (m *Membership) OnServers(f func(*fleet.Servers)) { m.onServers = append(m.onServers, f) }

// positions returns up to where both topics are known.
func (m *Membership) positions() positions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return positions{m.operators.next, m.servers.next}
}

// version returns that of the configuration in force, or 0.
func (m *Membership) version() int64 {
	if config := m.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// takeOperators takes in operators' records. whole says that they are the
// newest of every key. A newer configuration counts wherever it lies in the topic: versions
// order configurations also after the store has come back from an older copy.
func (m *Membership) mergeOperators(records []Record, next storelog.Position, full bool, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records = m.dropUnreadable(records, source)
	merge := m.operators.merge
	if full {
		merge = m.operators.mergeSnapshot
	}
	for _, r := range records {
		if r.Key == m.decoder.ConfigKey() {
			m.applyConfig(r, source)
		}
	}
	if next.Era() < m.operators.next.Era() {
		return
	}
	for _, key := range merge(records, next) {
		m.operators.markChanged(key)
	}
	m.keepCurrentConfigRecord()
}

// propagateInForce puts the configuration in force in the place of an older one, for others to
// be told.
func (m *Membership) keepCurrentConfigRecord() {
	key := m.decoder.ConfigKey()
	r, listed := m.operators.records[key]
	if listed && m.currentConfigRecord != nil {
		r.Value = m.currentConfigRecord
		m.operators.records[key] = r
	}
}

// confirmOperators notes a time at which nothing newer than what is known had been written
// to the operators' topic.
func (m *Membership) confirmOperators(asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.operatorsAsOf) {
		m.operatorsAsOf = asOf
	}
}

// neverConfirmed is the age of a configuration of which nothing has been heard.
const neverConfirmed = 365 * 24 * time.Hour

// ConfigAge is how long ago it was last confirmed that there is no newer configuration.
func (m *Membership) ConfigAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.operatorsAsOf.IsZero() {
		return neverConfirmed
	}
	return m.now().Sub(m.operatorsAsOf)
}

// confirmed returns a time at which the operators' topic was as it is known; zero when none is.
func (m *Membership) configAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operatorsAsOf
}

// readable leaves out records that can't be read, with a line for each: records are read
// once, but for the newest of each key.
func (m *Membership) dropUnreadable(records []Record, source string) []Record {
	return slices.DeleteFunc(records, func(r Record) bool {
		if r.Unreadable == "" {
			return false
		}
		m.log.WithFields(logrus.Fields{"key": r.Key, "position": r.Position.String(), "source": source, "cause": r.Unreadable}).
			Warn("record left out: it can't be read")
		return true
	})
}

// adopt puts a configuration in force if it is newer and well-formed.
func (m *Membership) applyConfig(r Record, source string) {
	log := m.log.WithFields(logrus.Fields{"position": r.Position.String(), "source": source})
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
		if old.Version > config.Version {
			log.WithFields(logrus.Fields{"version": config.Version, "in_force": old.Version}).Info("older configuration left out")
		}
		return
	}
	m.config.Store(config)
	m.currentConfigRecord = r.Value
	log.WithField("version", config.Version).Info("configuration in force")
}

// registrations are records of servers to be taken in.
type serverUpdate struct {
	records []Record
	// next is the position up to which they are known; whole says that they are the
	// newest of every key.
	next storelog.Position
	full bool
	// asOf is a time at which nothing newer had been registered; zero when unknown.
	asOf   time.Time
	source string
	// lapses are the deleted ones that the source keeps, and for how long still.
	lapses map[string]time.Duration
}

// takeServers takes in registrations.
func (m *Membership) mergeServers(r serverUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	merge := m.servers.merge
	if r.full {
		merge = m.servers.mergeSnapshot
	}
	if r.next >= m.servers.next && r.asOf.After(m.serversAsOf) {
		m.serversAsOf = r.asOf
	}
	first := m.currentServers.Load() == nil
	changed := false
	r.records = m.dropUnreadable(r.records, r.source)
	newEra := r.full && r.next.Era() > m.servers.next.Era()
	if newEra {
		m.reconcileOlderCopy(&r)
	}
	for _, id := range merge(r.records, r.next) {
		changed = m.applyServer(id, r) || changed
	}
	if newEra {
		m.servers.limitPropagation(r.records)
	}
	if changed = m.expireLapsed() || changed; changed || first {
		m.publish()
	}
}

// asOf returns a time at which nothing newer than the known registrations had been
// registered; zero while none are known.
func (m *Membership) registrationsAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serversAsOf
}

// applyServer takes one changed registration over. It returns whether anything
// but a heartbeat happened.
func (m *Membership) applyServer(id string, from serverUpdate) bool {
	r := m.servers.records[id]
	log := m.log.WithFields(logrus.Fields{"server": id, "position": r.Position.String(), "source": from.source})
	old := m.decoded[id]
	if len(r.Value) == 0 {
		delete(m.invalid, id)
		m.servers.markChanged(id)
		return m.removeServer(id, old, from.lapses[id], log)
	}
	server, err := m.decoder.DecodeServer(id, r.Value)
	if err != nil {
		return m.rejectServer(id, old, err, log)
	}
	delete(m.invalid, id)
	delete(m.suppressed, id)
	_, lapsed := m.lapsed[id]
	delete(m.lapsed, id)
	if same := old != nil && sameRegistration(old, server); same && !lapsed {
		return false
	}
	m.servers.markChanged(id)
	m.decoded[id] = server
	log.WithFields(logrus.Fields{
		"address": server.Address, "start": server.Key(), "leaving": server.Leaving, "rank": rankField(server.Rank),
	}).Info("server registered")
	return true
}

// refuse takes an entry that names no server to use: it says so once, and what was
// registered there before no longer counts.
func (m *Membership) rejectServer(id string, old *fleet.Server, err error, log *logrus.Entry) bool {
	m.servers.markChanged(id)
	if !m.invalid[id] {
		m.invalid[id] = true
		log.WithError(err).Error("registration refused: it names no server to use")
	}
	delete(m.decoded, id)
	delete(m.lapsed, id)
	return old != nil
}

func rankField(rank *fleet.GroupRank) any {
	if rank == nil {
		return nil
	}
	return *rank
}

func sameRegistration(a, b *fleet.Server) bool {
	sameRank := (a.Rank == nil) == (b.Rank == nil) && (a.Rank == nil || *a.Rank == *b.Rank)
	x, y := *a, *b
	x.Rank, y.Rank = nil, nil
	return sameRank && x == y
}

// remove takes a server as gone, or keeps it for a while if it may only have lapsed:
// for as long as the source of the news does, or because the store was away.
func (m *Membership) removeServer(id string, old *fleet.Server, grace time.Duration, log *logrus.Entry) bool {
	if old == nil {
		return false
	}
	if grace == 0 && m.storeUnreachable && !m.peerAhead {
		grace = outageGrace
	}
	if old.Leaving {
		grace = 0
	}
	if grace > 0 {
		m.lapsed[id] = m.now().Add(grace)
		log.Info("registration lapsed while the store was away: kept for now")
		return false
	}
	m.markDeparted(id, old)
	log.Info("server gone")
	return true
}

// expire takes lapsed servers as gone whose time is over.
func (m *Membership) expireLapsed() bool {
	changed := false
	for id, until := range m.lapsed {
		if m.now().After(until) {
			delete(m.lapsed, id)
			m.markDeparted(id, m.decoded[id])
			m.log.WithField("server", id).Info("server gone: not registered again after the store's outage")
			changed = true
		}
	}
	return m.releaseSuppressed() || changed
}

func (m *Membership) publish() {
	list := make([]*fleet.Server, 0, len(m.decoded))
	for _, server := range m.decoded {
		list = append(list, server)
	}
	servers := fleet.NewServers(list)
	m.currentServers.Store(servers)
	for _, f := range m.onServers {
		f(servers)
	}
}

// storeFailed notes that the store couldn't be reached.
func (m *Membership) markStoreUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.storeUnreachable {
		m.storeUnreachable, m.peerAhead = true, false
	}
}

// storeReached notes that a read has been taken in.
func (m *Membership) markStoreReachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeUnreachable = false
}

// heardFromPeer notes that another daemon knew newer registrations.
func (m *Membership) markPeerAhead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerAhead = true
}

// keptLapses returns the deleted registrations that are kept, and for how long still.
func (m *Membership) pendingLapses() map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := make(map[string]time.Duration, len(m.lapsed))
	for id, until := range m.lapsed {
		if remaining := until.Sub(m.now()); remaining > 0 {
			pending[id] = remaining
		}
	}
	return pending
}
