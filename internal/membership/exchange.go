package membership

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/sirupsen/logrus"
)

// Exchange answers other daemons, and asks them. Its lock is a leaf.
type Exchange struct {
	members *Membership
	self    string
	seeds   []string
	client  *http.Client
	log     *logrus.Entry

	mu sync.Mutex
	// peers are control addresses, and when each was heard of.
	peers map[string]time.Time
}

type offsets struct{ operators, servers int64 }

// NewExchange returns the exchange of a daemon. self is its control address, or
// empty when it takes no calls.
func NewExchange(members *Membership, self string, seeds []string, client *http.Client, log *logrus.Entry) *Exchange {
	return &Exchange{
		members: members, self: self, seeds: seeds, client: client, log: log,
		peers: map[string]time.Time{},
	}
}

// SetSeeds changes the daemons that are asked first.
func (e *Exchange) SetSeeds(seeds []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seeds = seeds
}

// Exchange implements peerrpc.Membership. The asking side tells nothing but how
// far it knows the topics: a daemon that lacks something asks itself.
func (e *Exchange) Exchange(_ context.Context, r *peerrpc.ExchangeRequest) (*peerrpc.ExchangeReply, error) {
	if r.GetControl() != "" {
		e.heard(r.GetControl())
	}
	operators, servers := e.changes(offsets{r.GetOperatorsNext(), r.GetServersNext()})
	if r.GetServersOnly() {
		operators = nil
	}
	return &peerrpc.ExchangeReply{Operators: operators, Servers: servers, Peers: e.Peers()}, nil
}

// Ask takes in what a peer knows and this daemon lacks.
func (e *Exchange) Ask(ctx context.Context, peer string) error { return e.ask(ctx, peer, false) }

// AskServers takes in the registrations only: a large configuration would fill
// the link of a small VM.
func (e *Exchange) AskServers(ctx context.Context, peer string) error { return e.ask(ctx, peer, true) }

func (e *Exchange) ask(ctx context.Context, peer string, serversOnly bool) error {
	operators, servers := e.members.offsets()
	reply, err := peerrpc.NewMembershipProtobufClient("http://"+peer, e.client).Exchange(ctx, &peerrpc.ExchangeRequest{
		Control: e.self, OperatorsNext: operators, ServersNext: servers, ServersOnly: serversOnly,
	})
	if err != nil {
		return err
	}
	e.takeIn(reply.GetOperators(), reply.GetServers(), "peer "+peer)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[peer] = e.members.now()
	for _, other := range reply.GetPeers() {
		if _, listed := e.peers[other]; !listed && other != e.self {
			e.peers[other] = e.members.now()
		}
	}
	return nil
}

// changes returns what a peer lacks that knows both topics up to some offsets.
func (e *Exchange) changes(known offsets) (operators, servers *peerrpc.Topic) {
	e.members.mu.Lock()
	defer e.members.mu.Unlock()
	return encode(e.members.operators, known.operators), encode(e.members.servers, known.servers)
}

func encode(t *topic, from int64) *peerrpc.Topic {
	encoded := &peerrpc.Topic{Next: t.next}
	if t.next <= from {
		return encoded
	}
	if encoded.Whole = from < t.base; encoded.Whole {
		from = 0
	}
	for _, r := range t.since(from) {
		encoded.Records = append(encoded.Records, &peerrpc.Record{Key: r.Key, Value: r.Value, Offset: r.Offset})
	}
	return encoded
}

func (e *Exchange) takeIn(operators, servers *peerrpc.Topic, source string) {
	knownOperators, knownServers := e.members.offsets()
	if news(operators, knownOperators) {
		e.members.takeOperators(decode(operators), operators.GetNext(), operators.GetWhole(), source)
	}
	if news(servers, knownServers) {
		e.members.heardFromPeer()
		e.members.takeServers(decode(servers), servers.GetNext(), servers.GetWhole(), source)
	}
}

// news tells whether a peer's topic holds more than is known.
func news(t *peerrpc.Topic, known int64) bool {
	return t.GetNext() > known && (t.GetWhole() || len(t.GetRecords()) > 0)
}

func decode(t *peerrpc.Topic) []Record {
	records := make([]Record, 0, len(t.GetRecords()))
	for _, r := range t.GetRecords() {
		records = append(records, Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()})
	}
	return records
}

// peerForget is how long a peer that isn't heard of is kept.
const peerForget = 60 * time.Second

func (e *Exchange) heard(peer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[peer] = e.members.now()
}

// Peers returns the control addresses of known daemons, the seeds included.
func (e *Exchange) Peers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	now := e.members.now()
	for peer, heard := range e.peers {
		if now.Sub(heard) > peerForget {
			delete(e.peers, peer)
			continue
		}
		found = append(found, peer)
	}
	for _, seed := range e.seeds {
		if _, listed := e.peers[seed]; !listed && seed != e.self {
			found = append(found, seed)
		}
	}
	return found
}
