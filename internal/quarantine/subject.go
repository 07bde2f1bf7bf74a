package quarantine

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// evidenceSet is the evidence against requests, or against prompt parts.
type evidenceSet struct {
	subjects map[Digest]*subject
	// hash covers all evidence.
	hash uint64
}

// subject is a request, identified by its digest, or a prompt part. It holds what was observed about
// servers that exited while running the request, or requests with the part.
type subject struct {
	info RequestInfo
	// part is set for prompt parts.
	part *Part
	// inProgress counts the attempts of a request at this daemon that Admit permitted; admittedAt is
	// the table's change counter when the oldest of them was admitted.
	inProgress int
	admittedAt int64
	// losses are lost connections, exits the servers' exits, by server; nil until the first.
	losses map[string]connectionLoss
	exits  map[string]exit
	// announcedExits is the number of exits at the last MarkAnnounced.
	announcedExits int
	// probedAt is when this daemon last admitted a request with a part that is known to crash servers.
	probedAt time.Time
}

type connectionLoss struct {
	at time.Time
	// admittedAt is the table's change counter when the attempt was admitted; 0 if it wasn't.
	admittedAt int64
	// alive is set when the server is presumed alive.
	alive bool
	// customers and requests are those with a part.
	customers oneOrSeveral[string]
	requests  oneOrSeveral[Digest]
}

type exit struct {
	at time.Time
	// learnedAt is when this daemon learned of the exit.
	learnedAt time.Time
	cleared   bool
	// change is the table's change counter when this entry last changed, added when it was added.
	change, added int64
	// local is set if this daemon observed the exit.
	local bool
	// context is set for parts.
	context exitContext
}

// exitContext is what is known about a part when a server exits. It is only added to.
type exitContext struct {
	// vouched is set if a request with the part had completed shortly before, contrast if others of
	// the service had.
	vouched, contrast bool
	// customers and requests are those with the part that were in progress.
	customers oneOrSeveral[string]
	requests  oneOrSeveral[Digest]
}

// incriminating reports whether the exit sets the part apart from those of requests that complete.
func (c exitContext) incriminating() bool { return c.contrast && !c.vouched }

// merge returns the union of two contexts.
func (c exitContext) merge(other exitContext) exitContext {
	return exitContext{
		vouched: c.vouched || other.vouched, contrast: c.contrast || other.contrast,
		customers: c.customers.merge(other.customers), requests: c.requests.merge(other.requests),
	}
}

// oneOrSeveral is a set of one value, or of several that aren't told apart.
type oneOrSeveral[T comparable] struct {
	one     T
	several bool
}

func (s oneOrSeveral[T]) merge(other oneOrSeveral[T]) oneOrSeveral[T] {
	if s.several || other.several || s.one != other.one {
		return oneOrSeveral[T]{several: true}
	}
	return s
}

// include reports whether the set may include a value.
func (s oneOrSeveral[T]) include(value T) bool { return s.several || s.one == value }

func newEvidenceSet() evidenceSet { return evidenceSet{subjects: map[Digest]*subject{}} }

// get returns a subject, which is added if needed.
func (s *evidenceSet) get(d Digest) *subject {
	found := s.subjects[d]
	if found == nil {
		found = &subject{}
		s.subjects[d] = found
	}
	return found
}

// dropIfEmpty removes a subject without any state.
func (s *evidenceSet) dropIfEmpty(d Digest, sub *subject) {
	if sub.inProgress <= 0 && len(sub.losses) == 0 && len(sub.exits) == 0 {
		delete(s.subjects, d)
	}
}

// removeExit removes an exit and updates the hash.
func (s *evidenceSet) removeExit(d Digest, sub *subject, server string) {
	s.hash ^= hashOf(d, server, sub.exits[server])
	delete(sub.exits, server)
}

// hashOf returns the hash of one piece of evidence. That of evidence against a request is the same in
// all releases.
func hashOf(d Digest, server string, e exit) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(d[:]) // a hash never returns an error
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte(strconv.FormatBool(e.cleared)))
	if c := e.context; c != (exitContext{}) {
		for _, flag := range []bool{c.vouched, c.contrast, c.customers.several, c.requests.several} {
			_, _ = h.Write([]byte(strconv.FormatBool(flag)))
		}
		_, _ = h.Write(c.requests.one[:])
		_, _ = h.Write([]byte(c.customers.one))
	}
	return h.Sum64()
}

// setLoss stores a lost connection.
func (s *subject) setLoss(server string, loss connectionLoss) {
	if s.losses == nil {
		s.losses = map[string]connectionLoss{}
	}
	s.losses[server] = loss
}

// evidence returns the evidence of an exit for peers.
func (s *subject) evidence(d Digest, server string) Evidence {
	e := s.exits[server]
	return Evidence{Digest: d, Info: s.info, Server: server, ExitedAt: e.at, Cleared: e.cleared, Part: s.part, context: e.context}
}

// exitNumber separates a server's name from the number of its exit, if it exited more than once.
const exitNumber = "#"

// exitName returns the name under which the exit behind a lost connection is stored, and whether
// it is stored already. A server that restarts under the same ID can exit more than once: the
// attempt can't have been lost to an exit that was known when it was admitted. The order is that of
// knowledge, since clocks and the delays between daemons can't tell exits in quick succession apart.
func (s *subject) exitName(server string, loss connectionLoss) (name string, known bool) {
	name = server
	for n := 2; ; n++ {
		e, found := s.exits[name]
		if !found {
			return name, false
		}
		if e.added > loss.admittedAt && loss.at.Sub(e.at).Abs() < minExitGap {
			return name, true
		}
		name = server + exitNumber + strconv.Itoa(n)
	}
}

// hasExit reports whether an exit of another subject counts against this one too. Subjects number
// the exits of a server that restarts under its ID independently.
func (s *subject) hasExit(name string, at time.Time) bool {
	if e, found := s.exits[name]; found && !e.cleared {
		return true
	}
	server, _, _ := strings.Cut(name, exitNumber)
	for own, e := range s.exits {
		if base, _, _ := strings.Cut(own, exitNumber); !e.cleared && base == server && e.at.Sub(at).Abs() < minExitGap {
			return true
		}
	}
	return false
}

// exitedServers returns the servers whose exits count against the subject, sorted.
func (s *subject) exitedServers() []string {
	var servers []string
	for server, e := range s.exits {
		if !e.cleared {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// pendingLosses returns the number of lost connections of which it is unknown whether the server
// exited.
func (s *subject) pendingLosses(now time.Time) int {
	pending := 0
	for _, loss := range s.losses {
		if loss.isPending(now) {
			pending++
		}
	}
	return pending
}

func (l connectionLoss) isPending(now time.Time) bool {
	return !l.alive && now.Sub(l.at) < lossPendingTime
}

// exitedTogether reports whether all exits that count are within correlationWindow.
func (s *subject) exitedTogether() bool {
	newest := s.lastExit()
	for _, e := range s.exits {
		if !e.cleared && newest.Sub(e.at) > correlationWindow {
			return false
		}
	}
	return true
}

// lastLearned returns when this daemon last learned of an exit that counts.
func (s *subject) lastLearned() time.Time {
	var newest time.Time
	for _, e := range s.exits {
		if !e.cleared && e.learnedAt.After(newest) {
			newest = e.learnedAt
		}
	}
	return newest
}

// lastExit returns the time of the last exit that counts.
func (s *subject) lastExit() time.Time {
	var newest time.Time
	for _, e := range s.exits {
		if !e.cleared && e.at.After(newest) {
			newest = e.at
		}
	}
	return newest
}
