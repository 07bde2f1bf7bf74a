package quarantine

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"
)

const (
	// cutOffKept is how long after an attempt was cut off its server may be found to have
	// ended: registrations go after three missed heartbeats, five seconds at most.
	cutOffKept = 8 * time.Second
	// sameEnd is how far apart the same server's ends are at least, when it starts again
	// under the ID that it had; what several daemons saw of one end is closer together.
	sameEnd = 2 * time.Second
)

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
	about RequestInfo
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
func (t *Table) Admit(d Digest, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.request(d)
	v := t.decide(d, r, now)
	if v.State == Suspect && r.inProgress > 0 {
		v.State = Pending
	}
	if v.State == Healthy || v.State == Suspect {
		r.inProgress++
	}
	t.drop(d, r)
	return v
}

// Leave ends what Enter began.
func (t *Table) Release(d Digest) {
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
func (t *Table) Decision(d Digest, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[d]
	if r == nil {
		return Decision{}
	}
	return t.decide(d, r, now)
}

// CutOff notes that an attempt's connection to a server ended under it. It tells whether
// this is the server's only one that is undecided: then somebody has to find out.
func (t *Table) ConnectionLost(d Digest, about RequestInfo, server string, now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = !t.exitPending(server, now)
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
func (t *Table) ExitPending(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.exitPending(server, now)
}

func (t *Table) exitPending(server string, now time.Time) bool {
	for _, r := range t.requests {
		if c, found := r.cuts[server]; found && !c.alive && now.Sub(c.at) < undecidedTime {
			return true
		}
	}
	return false
}

// Alive notes that a server has lived on after what was cut off there up to a time.
func (t *Table) MarkAlive(server string, upTo time.Time) {
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
func (t *Table) MarkExited(server string, now time.Time) []Evidence {
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
		news = append(news, Evidence{Digest: d, Info: r.about, Server: name, ExitedAt: c.at})
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
func (t *Table) MarkServed(d Digest) []Evidence {
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
		news = append(news, Evidence{Digest: d, Info: r.about, Server: server, ExitedAt: e.at, Cleared: true})
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
		if now.Sub(e.ExitedAt) > longQuarantine {
			continue
		}
		r := t.request(e.Digest)
		old, known := r.ends[e.Server]
		if known && (old.cleared || !e.Cleared) {
			continue
		}
		if known {
			e.ExitedAt = old.at
		}
		if e.Info != (RequestInfo{}) {
			r.about = e.Info
		}
		t.setEnd(r, e.Digest, e.Server, end{at: e.ExitedAt, learned: now, cleared: e.Cleared})
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
				found = append(found, Evidence{Digest: d, Info: r.about, Server: server, ExitedAt: e.at, Cleared: e.cleared})
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
func (t *Table) QuarantineUntil(d Digest, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.request(d).ordered = until
}

// Release ends a request's quarantine, as the operators say. It returns what that clears.
func (t *Table) EndQuarantine(d Digest) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	r.ordered = time.Time{}
	return t.clear(d, r)
}

// Quarantined returns the requests that are quarantined because of servers' ends.
func (t *Table) Quarantined(now time.Time) map[Digest]Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[Digest]Decision{}
	for d, r := range t.requests {
		if len(r.endedServers()) < endsToQuarantine {
			continue
		}
		if v := t.decide(d, r, now); v.State == Quarantined {
			found[d] = v
		}
	}
	return found
}

// Announce tells whether a quarantined request has more ends than when it was asked last:
// it is news.
func (t *Table) MarkAnnounced(d Digest, v Decision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.request(d)
	if len(v.Servers) <= r.announced {
		return false
	}
	r.announced = len(v.Servers)
	return true
}

// Acquitted tells whether the evidence speaks for a request, though this table has all of
// the ends for which it was quarantined: they have been cleared, or others have turned out
// to share them. That its time is over doesn't: operators may have prolonged it.
func (t *Table) Cleared(d Digest, servers []string, now time.Time) bool {
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
	left := r.endedServers()
	if ended := t.count(r, left); ended != endsToQuarantine {
		return ended < endsToQuarantine
	}
	return now.Sub(r.newestLearned()) >= SettleTime && t.shared(d, left)
}
