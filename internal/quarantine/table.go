package quarantine

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// endsToQuarantine is how many servers end under a request before it gets no other:
	// the fewest that tell it from the dozen sound requests that a server runs beside it.
	// Those have one end in common with it. One whose repeat runs beside its repeat again
	// has both: then none of the two is quarantined until the other has run to a good end
	// or a third server has ended. Without that, in one of six plays of four servers, three
	// entries and six callers whose attempts are repeated at once a sound request was.
	endsToQuarantine = 2
	// SettleTime is how long after a second end it's waited for others' news of who shares it:
	// datagrams take a few milliseconds, finding an end out up to a tenth of a second longer
	// at one entry than at another.
	SettleTime = 250 * time.Millisecond
	// firstQuarantine is how long a request is kept from servers that may have been
	// quarantined by ill luck: then one more attempt shows. After that it's for
	// longQuarantine: an attempt a day ends a server a day.
	firstQuarantine = 30 * time.Minute
	longQuarantine  = 24 * time.Hour
	// togetherTime is within which two ends may have one cause that is none of the request's:
	// a rack that fails takes two servers at which one request, asked for by many callers,
	// is in progress. Then it's kept for togetherQuarantine only, longer than such spells of
	// repeats last; if it ends a third server after that, it's known.
	togetherTime       = time.Second
	togetherQuarantine = 30 * time.Second
	// suspectTime is how long a single end is remembered: callers that repeat a request
	// do so within minutes, and each server that fails leaves a dozen sound ones suspect.
	suspectTime = time.Hour
	// cutOffKept is how long after an attempt was cut off its server may be found to have
	// ended: registrations go after three missed heartbeats, five seconds at most.
	cutOffKept = 8 * time.Second
	// undecidedTime is how long an attempt that was cut off counts against its request
	// before it's known whether its server ended: a probe answers sooner.
	undecidedTime = 1500 * time.Millisecond
	// sameEnd is how far apart the same server's ends are at least, when it starts again
	// under the ID that it had; what several daemons saw of one end is closer together.
	sameEnd = 2 * time.Second
	// mostRequests bounds the requests of which ends are remembered: some hundred bytes
	// each. A failing server leaves a dozen, and 960 fail or are replaced on a day.
	mostRequests = 4096
	// expiryPace is the time between looks for what is too old.
	expiryPace = 10 * time.Second
)

// State is what is held of a request.
type State int

// The states.
const (
	// Sound requests have run to no server's end, as far as is known.
	Sound State = iota
	// Suspect requests were in progress where a server ended: they run one at a time.
	Suspect
	// Undecided requests wait: it isn't known yet whether a second server ended, or
	// another attempt of a suspect one is in progress.
	Undecided
	// Quarantined requests get no server.
	Quarantined
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"sound", "suspect", "undecided", "quarantined"}[s]
}

// Verdict is what is held of a request, and why.
type Verdict struct {
	State State
	About About
	// Since is when the first server ended that counts.
	Since time.Time
	// Servers are those that ended under the request, sorted.
	Servers []string
	// Until is when a quarantine ends.
	Until time.Time
	// FoundHere counts the ends that this daemon saw itself.
	FoundHere int
}

// About is what operators are told of a request.
type About struct {
	Customer string
	// Path is without the query, at most pathBytes of it.
	Path string
}

// pathBytes bounds a path that is told to other daemons, in bytes.
const pathBytes = 200

// AboutRequest says what a request is about. uri is the path with the query.
func AboutRequest(customer, uri string) About {
	path, _, _ := strings.Cut(uri, "?")
	return About{Customer: customer, Path: path[:min(len(path), pathBytes)]}
}

// Evidence says that a server ended while a request was in progress there.
type Evidence struct {
	Digest Digest
	About  About
	Server string
	// At is when, by this daemon's clock.
	At time.Time
	// Cleared is set once the request has run to a good end, or was released by an
	// operator: the server's end no longer counts against it.
	Cleared bool
}

// Table is one daemon's memory of servers that ended under requests. Tables that hear of
// each other's evidence agree in the end, in whatever order and however often it comes:
// evidence is only added, and only becomes cleared. Safe for concurrent use.
type Table struct {
	mu       sync.Mutex // a leaf
	requests map[Digest]*request
	// changes counts the changes of evidence, hash is of all of it.
	changes   int64
	hash      uint64
	expiredAt time.Time
}

// request is what is known of one request.
type request struct {
	about About
	// inProgress are attempts of callers that run or wait here.
	inProgress int
	// cuts are attempts that were cut off, by server.
	cuts map[string]cut // nil while there are none
	ends map[string]end // nil while there are none
	// ordered is until when the operators' configuration quarantines the request.
	ordered time.Time
	// announced is the number of ends that Announce told of.
	announced int
}

type cut struct {
	at time.Time
	// alive is set when the server seems to live on.
	alive bool
}

type end struct {
	at time.Time
	// learned is when this daemon learned of it.
	learned time.Time
	cleared bool
	// change is the table's change that made it so.
	change int64
	// own is set when this daemon saw it.
	own bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{requests: map[Digest]*request{}} }

func (t *Table) request(d Digest) *request {
	r := t.requests[d]
	if r == nil {
		r = &request{}
		t.requests[d] = r
	}
	return r
}

// Empty tells whether nothing is known of any request: then all are sound, and there is no
// need to work out their digests.
func (t *Table) Empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests) == 0
}

// Enter asks whether a request may go to a server now. If it is sound or suspect it
// counts as in progress until Leave.
func (t *Table) Enter(d Digest, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.request(d)
	v := t.verdict(d, r, now)
	if v.State == Suspect && r.inProgress > 0 {
		v.State = Undecided
	}
	if v.State == Sound || v.State == Suspect {
		r.inProgress++
	}
	t.drop(d, r)
	return v
}

// Leave ends what Enter began.
func (t *Table) Leave(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	r.inProgress--
	t.drop(d, r)
}

// drop forgets a request of which nothing is known.
func (t *Table) drop(d Digest, r *request) {
	if r.inProgress <= 0 && len(r.cuts) == 0 && len(r.ends) == 0 && r.ordered.IsZero() {
		delete(t.requests, d)
	}
}

// Verdict tells what is held of a request.
func (t *Table) Verdict(d Digest, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return Verdict{}
	}
	return t.verdict(d, r, now)
}

func (t *Table) verdict(d Digest, r *request, now time.Time) Verdict {
	v := Verdict{About: r.about, Servers: r.endedServers()}
	for _, server := range v.Servers {
		e := r.ends[server]
		if e.own {
			v.FoundHere++
		}
		if v.Since.IsZero() || e.at.Before(v.Since) {
			v.Since = e.at
		}
	}
	v.Until = r.quarantinedUntil(t.count(r, v.Servers))
	if now.Before(r.ordered) {
		v.State, v.Until = Quarantined, later(v.Until, r.ordered)
		return v
	}
	v.State = t.stateByEvidence(d, r, v.Servers, now)
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stateByEvidence is what is held of a request under which some servers ended, apart from
// the operators' configuration.
func (t *Table) stateByEvidence(d Digest, r *request, servers []string, now time.Time) State {
	ended := t.count(r, servers)
	undecided := 0
	for _, c := range r.cuts {
		if !c.alive && now.Sub(c.at) < undecidedTime {
			undecided++
		}
	}
	switch {
	case ended == endsToQuarantine && now.Sub(r.newestLearned()) < SettleTime:
		return Undecided
	case now.Before(r.quarantinedUntil(ended)) && (ended > endsToQuarantine || !t.shared(d, servers)):
		return Quarantined
	case undecided > 0 && ended+undecided >= endsToQuarantine:
		return Undecided
	case ended+undecided > 0:
		return Suspect
	default:
		return Sound
	}
}

// count is how many of a request's ends count against it: those that came together, while
// another server ended with them at which it wasn't in progress, have one cause that isn't
// the request. A rack or zone fails so; on a played day with a failure of a whole rack a
// request whose attempt was repeated at once had two of the rack's four ends.
func (t *Table) count(r *request, servers []string) int {
	if len(servers) < endsToQuarantine {
		return len(servers)
	}
	byTime := slices.Clone(servers)
	slices.SortFunc(byTime, func(a, b string) int { return r.ends[a].at.Compare(r.ends[b].at) })
	counted := 0
	for first := 0; first < len(byTime); {
		from := r.ends[byTime[first]].at
		next := first + 1
		for next < len(byTime) && r.ends[byTime[next]].at.Sub(from) <= togetherTime {
			next++
		}
		if next-first > 1 && t.endedElsewhere(r, from) {
			counted++
		} else {
			counted += next - first
		}
		first = next
	}
	return counted
}

// endedElsewhere tells whether a server ended about a time at which a request has no end.
func (t *Table) endedElsewhere(r *request, at time.Time) bool {
	for _, other := range t.requests {
		for server, e := range other.ends {
			if _, own := r.ends[server]; !own && e.at.Sub(at).Abs() <= togetherTime {
				return true
			}
		}
	}
	return false
}

// shared tells whether another request has all of a request's ends: either may be to blame.
func (t *Table) shared(d Digest, servers []string) bool {
other:
	for other, r := range t.requests {
		if other == d {
			continue
		}
		for _, server := range servers {
			if e, found := r.ends[server]; !found || e.cleared {
				continue other
			}
		}
		return true
	}
	return false
}

// endedServers are the servers whose ends count against the request.
func (r *request) endedServers() []string {
	var servers []string
	for server, e := range r.ends {
		if !e.cleared {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// quarantinedUntil is when the request's quarantine ends or ended, by the ends that count;
// zero without one.
func (r *request) quarantinedUntil(ended int) time.Time {
	switch {
	case ended > endsToQuarantine:
		return r.newestEnd().Add(longQuarantine)
	case ended == endsToQuarantine && r.endedTogether():
		return r.newestEnd().Add(togetherQuarantine)
	case ended == endsToQuarantine:
		return r.newestEnd().Add(firstQuarantine)
	default:
		return time.Time{}
	}
}

// endedTogether tells whether all ends that count came within togetherTime.
func (r *request) endedTogether() bool {
	newest := r.newestEnd()
	for _, e := range r.ends {
		if !e.cleared && newest.Sub(e.at) > togetherTime {
			return false
		}
	}
	return true
}

// CutOff notes that an attempt's connection to a server ended under it. It tells whether
// this is the server's only one that is undecided: then somebody has to find out.
func (t *Table) CutOff(d Digest, about About, server string, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.undecided(server, now)
	r := t.request(d)
	r.about = about
	if r.cuts == nil {
		r.cuts = map[string]cut{}
	}
	r.cuts[server] = cut{at: now}
	return first
}

// Undecided tells whether attempts were cut off at a server of which it isn't known
// whether it ended.
func (t *Table) Undecided(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.undecided(server, now)
}

func (t *Table) undecided(server string, now time.Time) bool {
	for _, r := range t.requests {
		if c, found := r.cuts[server]; found && !c.alive && now.Sub(c.at) < undecidedTime {
			return true
		}
	}
	return false
}

// Alive notes that a server has lived on after what was cut off there up to a time.
func (t *Table) Alive(server string, upTo time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.requests {
		if c, found := r.cuts[server]; found && !c.at.After(upTo) {
			c.alive = true
			r.cuts[server] = c
		}
	}
}

// Ended notes that a server has ended. It returns the evidence against the requests whose
// attempts were cut off there shortly before.
func (t *Table) Ended(server string, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Evidence
	for d, r := range t.requests {
		c, found := r.cuts[server]
		if !found {
			continue
		}
		delete(r.cuts, server)
		if now.Sub(c.at) > cutOffKept {
			t.drop(d, r)
			continue
		}
		name, known := r.endOf(server, c.at)
		if known {
			continue
		}
		t.setEnd(r, d, name, end{at: c.at, learned: now, own: true})
		news = append(news, Evidence{Digest: d, About: r.about, Server: name, At: c.at})
	}
	t.bound()
	return news
}

// endOf returns the name under which a server's end at a time is remembered, and whether
// it is already. A server that starts again under the ID that it had ends more than once.
func (r *request) endOf(server string, at time.Time) (name string, known bool) {
	name = server
	for n := 2; ; n++ {
		e, found := r.ends[name]
		if !found {
			return name, false
		}
		if at.Sub(e.at).Abs() < sameEnd {
			return name, true
		}
		name = server + "#" + strconv.Itoa(n)
	}
}

// setEnd puts one end into place.
func (t *Table) setEnd(r *request, d Digest, server string, e end) {
	if old, found := r.ends[server]; found {
		t.hash ^= hashOf(d, server, old.cleared)
	}
	t.changes++
	e.change = t.changes
	if r.ends == nil {
		r.ends = map[string]end{}
	}
	r.ends[server] = e
	t.hash ^= hashOf(d, server, e.cleared)
}

func hashOf(d Digest, server string, cleared bool) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(d[:]) // a hash can't fail
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte(strconv.FormatBool(cleared)))
	return h.Sum64()
}

// Served notes that a request has run to a good end: it ends no servers. It returns what
// that clears.
func (t *Table) Served(d Digest) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return nil
	}
	clear(r.cuts)
	return t.clear(d, r)
}

func (t *Table) clear(d Digest, r *request) []Evidence {
	var news []Evidence
	for server, e := range r.ends {
		if e.cleared {
			continue
		}
		e.cleared = true
		t.setEnd(r, d, server, e)
		news = append(news, Evidence{Digest: d, About: r.about, Server: server, At: e.at, Cleared: true})
	}
	t.drop(d, r)
	return news
}

// Merge takes in other daemons' evidence and returns what of it was new.
func (t *Table) Merge(evidence []Evidence, now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Evidence
	for _, e := range evidence {
		if now.Sub(e.At) > longQuarantine {
			continue
		}
		r := t.request(e.Digest)
		old, known := r.ends[e.Server]
		if known && (old.cleared || !e.Cleared) {
			continue
		}
		if known {
			e.At = old.at
		}
		if e.About != (About{}) {
			r.about = e.About
		}
		t.setEnd(r, e.Digest, e.Server, end{at: e.At, learned: now, cleared: e.Cleared})
		news = append(news, e)
	}
	t.bound()
	return news
}

// Since returns the evidence that changed after a change of this table, and its newest
// change.
func (t *Table) Since(change int64) ([]Evidence, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Evidence
	for d, r := range t.requests {
		for server, e := range r.ends {
			if e.change > change {
				found = append(found, Evidence{Digest: d, About: r.about, Server: server, At: e.at, Cleared: e.cleared})
			}
		}
	}
	return found, t.changes
}

// Hash is equal for tables with the same evidence.
func (t *Table) Hash() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hash
}

// Order quarantines a request until a time, as the operators' configuration says.
func (t *Table) Order(d Digest, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request(d).ordered = until
}

// Release ends a request's quarantine, as the operators say. It returns what that clears.
func (t *Table) Release(d Digest) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	r.ordered = time.Time{}
	return t.clear(d, r)
}

// Quarantined returns the requests that are quarantined because of servers' ends.
func (t *Table) Quarantined(now time.Time) map[Digest]Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[Digest]Verdict{}
	for d, r := range t.requests {
		if len(r.endedServers()) < endsToQuarantine {
			continue
		}
		if v := t.verdict(d, r, now); v.State == Quarantined {
			found[d] = v
		}
	}
	return found
}

// Announce tells whether a quarantined request has more ends than when it was asked last:
// it is news.
func (t *Table) Announce(d Digest, v Verdict) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	if len(v.Servers) <= r.announced {
		return false
	}
	r.announced = len(v.Servers)
	return true
}

// Acquitted tells whether a request isn't quarantined by the evidence, though this table
// has all of the ends for which it was: they have been cleared, or others have turned out
// to share them.
func (t *Table) Acquitted(d Digest, servers []string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil || len(servers) == 0 {
		return false
	}
	for _, server := range servers {
		if _, found := r.ends[server]; !found {
			return false
		}
	}
	return t.stateByEvidence(d, r, r.endedServers(), now) < Undecided
}

// expire forgets what is too old, from time to time.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryPace {
		return
	}
	t.expiredAt = now
	for d, r := range t.requests {
		maps.DeleteFunc(r.cuts, func(_ string, c cut) bool { return now.Sub(c.at) > cutOffKept })
		kept := suspectTime
		if len(r.endedServers()) >= endsToQuarantine {
			kept = longQuarantine
		}
		for server, e := range r.ends {
			if now.Sub(e.at) > kept {
				t.forget(d, r, server)
			}
		}
		if now.After(r.ordered) {
			r.ordered = time.Time{}
		}
		t.drop(d, r)
	}
}

func (t *Table) forget(d Digest, r *request, server string) {
	t.hash ^= hashOf(d, server, r.ends[server].cleared)
	delete(r.ends, server)
}

// bound forgets ends beyond mostRequests, a part of all at once, so that not each new one
// has to look for the oldest: first of customers that have more than their share of the
// table, so that nobody can push out what is known of others, those of quarantined requests
// last, the oldest first.
func (t *Table) bound() {
	if len(t.requests) <= mostRequests {
		return
	}
	var aged []agedRequest
	customers := map[string]int{}
	for d, r := range t.requests {
		if len(r.ends) > 0 {
			aged = append(aged, agedRequest{
				digest: d, customer: r.about.Customer, newest: r.newestEnd(), quarantined: len(r.endedServers()) >= endsToQuarantine,
			})
			customers[r.about.Customer]++
		}
	}
	if len(aged) <= mostRequests {
		return
	}
	for i, a := range aged {
		aged[i].overShare = customers[a.customer] > mostRequests/len(customers)
	}
	slices.SortFunc(aged, agedRequest.compare)
	for _, a := range aged[:len(aged)-mostRequests+mostRequests/forgottenPart] {
		r := t.requests[a.digest]
		for server := range r.ends {
			t.forget(a.digest, r, server)
		}
		t.drop(a.digest, r)
	}
}

// forgottenPart is the part of mostRequests that is forgotten at once.
const forgottenPart = 16

// agedRequest is a request with what decides when it's forgotten.
type agedRequest struct {
	digest   Digest
	customer string
	newest   time.Time
	// overShare is set where the customer has more than its share of the table.
	overShare, quarantined bool
}

func (a agedRequest) compare(b agedRequest) int {
	if a.overShare != b.overShare {
		if a.overShare {
			return -1
		}
		return 1
	}
	if a.quarantined != b.quarantined {
		if b.quarantined {
			return -1
		}
		return 1
	}
	return a.newest.Compare(b.newest)
}

// newestLearned is when this daemon learned of such an end last.
func (r *request) newestLearned() time.Time {
	var newest time.Time
	for _, e := range r.ends {
		if !e.cleared && e.learned.After(newest) {
			newest = e.learned
		}
	}
	return newest
}

// newestEnd is when a server last ended under the request, as far as that counts against it.
func (r *request) newestEnd() time.Time {
	var newest time.Time
	for _, e := range r.ends {
		if !e.cleared && e.at.After(newest) {
			newest = e.at
		}
	}
	return newest
}
