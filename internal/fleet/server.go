package fleet

import "sort"

// GroupRank is a server's place in a group whose ranks run in lock-step.
type GroupRank struct {
	Group string
	// Epoch rises each time the group forms anew, with the default expert map.
	Epoch int64
	Rank  int
	Size  int
	// Open is false while the group can't run for want of a rank.
	Open bool
}

// Server is one incarnation of a backend server, as it registered itself.
type Server struct {
	// ID is the server's name in the registry. One that crashed may start again under it.
	ID string
	// Incarnation names this start of the server, where servers tell their starts apart;
	// empty otherwise. Two starts have no order: clocks may have been stepped back between.
	Incarnation string
	// Born is what the server says of that start itself, 0 where it doesn't.
	StartID int64
	Service string
	// Address is its IP:port. Another service may get it once this server is gone.
	Address  string
	Zone     string
	Capacity int
	// Leaving servers get no new requests.
	Leaving bool
	// Rank is nil for servers that are in no group.
	Rank *GroupRank
}

// Key is what is believed of the server is kept by: nothing of it holds for another start.
func (s *Server) Key() string {
	if s.Incarnation != "" {
		return s.Incarnation
	}
	return s.ID
}

// Servers is one state of the registry.
type Servers struct {
	byID      map[string]*Server
	byKey     map[string]*Server
	byService map[string][]*Server
	byAddress map[string]*Server
}

// NewServers indexes a state of the registry.
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

// supersedes tells whether of two servers at one address the first is the
// newer one, as far as that shows.
func supersedes(a, b *Server) bool {
	if a.Rank != nil && b.Rank != nil && a.Rank.Epoch != b.Rank.Epoch {
		return a.Rank.Epoch > b.Rank.Epoch
	}
	return b.Leaving && !a.Leaving
}

// At returns the server at an address, or nil.
func (s *Servers) ByAddress(address string) *Server { return s.byAddress[address] }

// Server returns a server by ID, or nil.
func (s *Servers) ByID(id string) *Server { return s.byID[id] }

// Started returns the server whose present start a key names, or nil.
func (s *Servers) ByKey(key string) *Server { return s.byKey[key] }

// Of returns the servers of a service, leaving ones included, ordered by ID.
func (s *Servers) OfService(service string) []*Server { return s.byService[service] }

// All returns the servers by ID.
func (s *Servers) All() map[string]*Server { return s.byID }
