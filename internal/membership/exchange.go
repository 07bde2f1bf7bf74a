package membership

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

// Exchange serves the pulls of other daemons and pulls from them. It is safe for concurrent use; no
// other lock is acquired while its lock is held.
type Exchange struct {
	members *Membership
	self    Peer
	seeds   []string
	client  *http.Client
	log     *logrus.Entry
	// crashes, configuration and eras are optional.
	crashes       CrashExchange
	configuration ConfigReplica
	eras          *storelog.EraTracker

	mu    sync.Mutex
	peers map[string]peerState
}

// CrashExchange exchanges evidence of servers that crashed while they ran requests.
type CrashExchange interface {
	// Digest returns a digest of what this daemon already has, to be sent to the peer at an address.
	Digest(peer string) *peerrpc.CrashesKnown
	// Delta returns the evidence that a daemon with the given digest lacks.
	Delta(digest *peerrpc.CrashesKnown) *peerrpc.CrashNews
	// ApplyDelta merges the evidence that the peer at an address returned.
	ApplyDelta(peer string, delta *peerrpc.CrashNews)
}

// ConfigReplica is this daemon's replica of the configuration log.
type ConfigReplica interface {
	// Next returns the position after the last known record.
	Next() storelog.Position
	// ObservePeerPosition records the next position of a peer.
	ObservePeerPosition(next storelog.Position)
}

// Peer is a daemon: its control address, which is empty if it accepts no calls, and its
// availability zone.
type Peer struct{ Control, Zone string }

// peerState is the state that is kept for each peer address.
type peerState struct {
	// zone is empty until the peer itself has been contacted.
	zone string
	// lastSeen is when the peer was last contacted, or first listed by another peer.
	lastSeen time.Time
	// avoidUntil is the time until which the peer isn't used as the zone's reader after a failure.
	avoidUntil time.Time
}

// positions holds the next position of each topic.
type positions struct{ operators, servers storelog.Position }

// NewExchange returns the Exchange of the daemon self.
func NewExchange(members *Membership, self Peer, seeds []string, client *http.Client, log *logrus.Entry) *Exchange {
	return &Exchange{
		members: members, self: self, seeds: seeds, client: client, log: log,
		peers: map[string]peerState{},
	}
}

// SetCrashes adds evidence of crashes to the exchange. It must be called before the first call or
// pull.
func (e *Exchange) SetCrashes(crashes CrashExchange) { e.crashes = crashes }

// SetConfiguration adds the position of the configuration log to the exchange. It must be called
// before the first call or pull.
func (e *Exchange) SetConfiguration(c ConfigReplica) { e.configuration = c }

// SetEras sets the tracker of the eras that peers report. It must be called before the first call
// or pull.
func (e *Exchange) SetEras(eras *storelog.EraTracker) { e.eras = eras }

// observeEra records the era of a peer's position, unless the peer reports no era or hasn't read
// the topic yet.
func (e *Exchange) observeEra(era *int64, next int64) {
	if e.eras != nil && era != nil && next > storelog.Unknown.Offset() {
		e.eras.Observe(*era)
	}
}

// SetSeeds replaces the configured peer addresses.
func (e *Exchange) SetSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// Exchange implements peerrpc.Membership. The request describes what the caller has, by positions
// and a digest; data flows only to the caller.
func (e *Exchange) Exchange(_ context.Context, r *peerrpc.ExchangeRequest) (*peerrpc.ExchangeReply, error) {
	if r.GetControl() != "" {
		e.recordContact(Peer{Control: r.GetControl(), Zone: r.GetZone()})
	}
	now := e.members.now()
	reply := &peerrpc.ExchangeReply{
		Peers: e.Peers(), Zone: e.self.Zone, ServersAgeMs: ageMs(now, e.members.registrationsAsOf()), OperatorsAgeMs: ageMs(now, e.members.configAsOf()),
	}
	if e.configuration != nil {
		next := e.configuration.Next()
		reply.ConfigurationNext, reply.ConfigurationEra = next.Offset(), proto.Int64(next.Era())
	}
	e.observeEra(r.OperatorsEra, r.GetOperatorsNext())
	e.observeEra(r.ServersEra, r.GetServersNext())
	operators, servers := e.changesSince(r)
	reply.Servers = servers
	if !r.GetServersOnly() {
		reply.Operators = operators
	}
	if e.crashes != nil && r.GetCrashes() != nil {
		reply.Crashes = e.crashes.Delta(r.GetCrashes())
	}
	for id, remaining := range e.members.pendingLapses() {
		reply.Lapses = append(reply.Lapses, &peerrpc.Lapse{Key: id, RemainingMs: remaining.Milliseconds()})
	}
	return reply, nil
}

// ageMs returns the age of a time in milliseconds, rounded up, or 0 for the zero time.
func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds() + 1
}

// Pull requests from the peer what this daemon lacks and merges it.
func (e *Exchange) Pull(ctx context.Context, peer string) error { return e.pull(ctx, peer, false) }

// PullServers is like Pull but leaves the configuration out, since a large one would saturate the
// link of a small VM.
func (e *Exchange) PullServers(ctx context.Context, peer string) error {
	return e.pull(ctx, peer, true)
}

func (e *Exchange) pull(ctx context.Context, peer string, serversOnly bool) error {
	known := e.members.positions()
	requestedAt := e.members.now()
	request := &peerrpc.ExchangeRequest{
		Control: e.self.Control, Zone: e.self.Zone, ServersOnly: serversOnly,
		OperatorsNext: known.operators.Offset(), OperatorsEra: proto.Int64(known.operators.Era()),
		ServersNext: known.servers.Offset(), ServersEra: proto.Int64(known.servers.Era()),
		ConfigurationVersion: proto.Int64(e.members.version()),
	}
	if e.crashes != nil {
		request.Crashes = e.crashes.Digest(peer)
	}
	reply, err := peerrpc.NewMembershipProtobufClient("http://"+peer, e.client).Exchange(ctx, request)
	if err != nil {
		return err
	}
	if e.crashes != nil {
		e.crashes.ApplyDelta(peer, reply.GetCrashes())
	}
	if e.configuration != nil {
		e.configuration.ObservePeerPosition(storelog.NewPosition(reply.GetConfigurationEra(), reply.GetConfigurationNext()))
	}
	e.mergeReply(reply, requestedAt, "peer "+peer)
	e.recordContact(Peer{Control: peer, Zone: reply.GetZone()})
	for _, other := range reply.GetPeers() {
		e.addPeer(other)
	}
	return nil
}

// changesSince returns the records that the caller lacks.
func (e *Exchange) changesSince(r *peerrpc.ExchangeRequest) (operators, servers *peerrpc.Topic) {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	operators = encode(e.members.operators, peerPosition(r.GetOperatorsNext(), r.OperatorsEra, e.members.operators))
	if r.ConfigurationVersion != nil {
		e.addNewerConfig(operators, r.GetConfigurationVersion())
	}
	return operators, encode(e.members.servers, peerPosition(r.GetServersNext(), r.ServersEra, e.members.servers))
}

// peerPosition returns the position up to which a peer knows a topic. A peer that reports no era is
// assumed to be in this daemon's era.
func peerPosition(next int64, era *int64, t *topic) storelog.Position {
	if era == nil && next > storelog.Unknown.Offset() {
		return storelog.NewPosition(t.next.Era(), next)
	}
	if era == nil {
		return storelog.Unknown
	}
	return storelog.NewPosition(*era, next)
}

// addNewerConfig adds the current configuration to the records of the operators' topic if it is
// newer than the caller's. Positions can't show that, since the caller may have read an older copy
// of the store.
func (e *Exchange) addNewerConfig(topic *peerrpc.Topic, version int64) {
	config := e.members.config.Load()
	key := e.members.decoder.ConfigKey()
	if config == nil || config.Version <= version || slices.ContainsFunc(topic.GetRecords(), func(r *peerrpc.Record) bool { return r.GetKey() == key }) {
		return
	}
	at := e.members.operators.records[key].Position
	topic.Records = append(topic.Records, &peerrpc.Record{Key: key, Value: e.members.currentConfigRecord, Offset: at.Offset()})
}

func encode(t *topic, from storelog.Position) *peerrpc.Topic {
	encoded := &peerrpc.Topic{Next: t.next.Offset(), Era: proto.Int64(t.next.Era())}
	if t.next <= from {
		return encoded
	}
	if encoded.Whole = from < t.snapshotNext; encoded.Whole {
		from = storelog.Unknown
	}
	for _, r := range t.changedSince(from) {
		encoded.Records = append(encoded.Records, &peerrpc.Record{Key: r.Key, Value: r.Value, Offset: r.Position.Offset()})
	}
	return encoded
}

// mergeReply merges the reply to a request that was sent at requestedAt.
func (e *Exchange) mergeReply(reply *peerrpc.ExchangeReply, requestedAt time.Time, source string) {
	operators, servers := reply.GetOperators(), reply.GetServers()
	for _, topic := range []*peerrpc.Topic{operators, servers} {
		if topic != nil {
			e.observeEra(topic.Era, topic.GetNext())
		}
	}
	known := e.members.positions()
	operatorsNext, serversNext := topicNext(operators), topicNext(servers)
	if len(operators.GetRecords()) > 0 || operatorsNext > known.operators {
		e.members.mergeOperators(decode(operators), operatorsNext, operators.GetWhole(), source)
	}
	if operatorsNext > known.operators {
		e.members.onPeerAhead(operatorsNext)
	}
	if age := reply.GetOperatorsAgeMs(); age > 0 && operatorsNext >= known.operators {
		e.members.confirmOperators(requestedAt.Add(-time.Duration(age) * time.Millisecond))
	}
	if serversNext < known.servers || serversNext == storelog.Unknown {
		return
	}
	update := serverUpdate{
		records: decode(servers), next: serversNext, full: servers.GetWhole(), source: source,
		lapses: make(map[string]time.Duration, len(reply.GetLapses())),
	}
	if age := reply.GetServersAgeMs(); age > 0 {
		update.asOf = requestedAt.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, lapse := range reply.GetLapses() {
		update.lapses[lapse.GetKey()] = time.Duration(lapse.GetRemainingMs()) * time.Millisecond
	}
	if serversNext > known.servers && len(update.lapses) == 0 {
		e.members.markPeerAhead()
	}
	e.members.mergeServers(update)
}

// topicNext returns the position after the records of an encoded topic.
func topicNext(t *peerrpc.Topic) storelog.Position {
	return storelog.NewPosition(t.GetEra(), t.GetNext())
}

func decode(t *peerrpc.Topic) []Record {
	records := make([]Record, 0, len(t.GetRecords()))
	for _, r := range t.GetRecords() {
		records = append(records, Record{Key: r.GetKey(), Value: r.GetValue(), Position: storelog.NewPosition(t.GetEra(), r.GetOffset())})
	}
	return records
}

// peerExpiry is how long a peer is kept after it was last seen.
const peerExpiry = 60 * time.Second

// recordContact records a call from or to a peer.
func (e *Exchange) recordContact(peer Peer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.peers[peer.Control]
	known.zone, known.lastSeen = peer.Zone, e.members.now()
	e.peers[peer.Control] = known
}

// addPeer adds a daemon that a peer listed.
func (e *Exchange) addPeer(peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, listed := e.peers[peer]; !listed && peer != e.self.Control {
		e.peers[peer] = peerState{lastSeen: e.members.now()}
	}
}

// LastContacts maps the control addresses of the daemons that were contacted directly to the time
// of the last contact.
func (e *Exchange) LastContacts() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	contacts := make(map[string]time.Time, len(e.peers))
	for peer, known := range e.peers {
		if known.zone != "" {
			contacts[peer] = known.lastSeen
		}
	}
	return contacts
}

// Peers returns the control addresses of all known daemons and the seeds, without this daemon's. It
// removes expired ones.
func (e *Exchange) Peers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	now := e.members.now()
	for peer, known := range e.peers {
		if now.Sub(known.lastSeen) > peerExpiry {
			delete(e.peers, peer)
			continue
		}
		found = append(found, peer)
	}
	for _, seed := range e.seeds {
		if _, listed := e.peers[seed]; !listed && seed != e.self.Control {
			found = append(found, seed)
		}
	}
	return found
}
