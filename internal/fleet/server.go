package fleet

import "sort"

// GroupRank is a server's rank in a group that runs in lock-step.
type GroupRank struct {
	Group string
	// Epoch increases each time the group forms again, with the default expert map.
	Epoch int64
	Rank  int
	Size  int
	// Open is false while the group can't run because a rank is missing.
	Open bool
}

// Server is the registration of one incarnation of a backend server.
type Server struct {
	// ID is the server's name in the registry. A restarted server may reuse it.
	ID string
	// Incarnation identifies a start of the server, or is empty if servers don't report it.
	// Incarnations have no order, since clocks may be stepped back between them.
	Incarnation string
	// StartID is the server's own identifier of its start, or 0 if it reports none.
	StartID int64
	Service string
	// Address is IP:port. Another service may reuse it after the server is removed.
	Address string
	Zone    string
	// Capacity is the number of requests that fully utilize the server.
	Capacity int
	// Leaving servers get no new requests.
	Leaving bool
	// Rank is nil for servers outside groups.
	Rank *GroupRank
}

// Key returns the key under which state about the server is kept. State of one incarnation doesn't
// apply to another.
func (s *Server) Key() string {
	if s.Incarnation != "" {
		return s.Incarnation
	}
	return s.ID
}

// Servers is a snapshot of the registry.
type Servers struct {
	byID      map[string]*Server
	byKey     map[string]*Server
	byService map[string][]*Server
	byAddress map[string]*Server
}

// NewServers indexes a snapshot of the registry.
func NewServers(list []*Server) *Servers {
	s := &Servers{byID: make(map[string]*Server, len(list)), byKey: make(map[string]*Server, len(list)), byService: map[string][]*Server{}, byAddress: map[string]*Server{}}
	for _, server := range list {
		s.byID[server.ID] = server
		s.byKey[server.Key()] = server
		if old := s.byAddress[server.Address]; old == nil || supersedes(server, old) {
			s.byAddress[server.Address] = server
		}
		s.byService[server.Service] = append(s.byService[server.Service], server)
	}
	for _, servers := range s.byService {
		sort.Slice(servers, func(i, j int) bool { return servers[i].ID < servers[j].ID })
	}
	return s
}

// supersedes reports whether server a is known to be newer than b at the same address.
func supersedes(a, b *Server) bool {
	if a.Rank != nil && b.Rank != nil && a.Rank.Epoch != b.Rank.Epoch {
		return a.Rank.Epoch > b.Rank.Epoch
	}
	return b.Leaving && !a.Leaving
}

// ByAddress returns the newest known server at an address, or nil.
func (s *Servers) ByAddress(address string) *Server { return s.byAddress[address] }

// ByID returns a server by ID, or nil.
func (s *Servers) ByID(id string) *Server { return s.byID[id] }

// ByKey returns the server with a Server.Key, or nil.
func (s *Servers) ByKey(key string) *Server { return s.byKey[key] }

// OfService returns the servers of a service, including leaving ones, sorted by ID.
func (s *Servers) OfService(service string) []*Server { return s.byService[service] }

// All returns all servers by ID.
func (s *Servers) All() map[string]*Server { return s.byID }
