package ratelimit

import "time"

const (
	// refreshLeast is the time between messages to each other daemon while a limit is in
	// force, refreshEach what each daemon adds to it: the messages of all to all are kept
	// to 50 a second at each.
	refreshLeast = 250 * time.Millisecond
	refreshEach  = 20 * time.Millisecond
	// silentRefreshes is how many messages a daemon may have missed before it counts as
	// silent, silentSlack what one may take on its way.
	silentRefreshes = 3
	silentSlack     = 200 * time.Millisecond
	// forgetPeer is how long a daemon that is no longer heard of counts as one that may
	// still send: it may be cut off, or gone for good.
	forgetPeer = 2 * time.Minute
)

// peers are the other daemons that send to servers, by address.
type peers struct {
	all map[string]*peer
	// since is when the first limit came into force: before it nobody tells anything.
	since time.Time
	// lastOwn, lastPart and lastHeard are what was found at partAt.
	partAt            time.Time
	lastOwn, lastPart float64
	lastHeard         int
}

// peer is one of them.
type peer struct {
	// heard is when it told of limits last, met when it was heard of in another way.
	heard, met time.Time
	// left is the process that said it sends nothing more.
	left uint64
	// part is the part of limits that it told; 0 when it told none.
	part float64
}

func (p *peers) at(address string) *peer {
	known := p.all[address]
	if known == nil {
		known = &peer{}
		p.all[address] = known
	}
	return known
}

// refresh is the time between messages to each of them.
func (p *peers) refresh() time.Duration {
	return max(refreshLeast, time.Duration(len(p.all))*refreshEach)
}

// partHolds is for how long it isn't counted anew which daemons are heard: each choice asks.
const partHolds = 50 * time.Millisecond

// part is the part of each limit that this daemon and those that it hears may use, and
// their number.
func (p *peers) part(now time.Time) (part float64, heard int) {
	p.look(now)
	return p.lastPart, p.lastHeard
}

// own is the part of each limit by what this daemon knows itself.
func (p *peers) own(now time.Time) float64 {
	p.look(now)
	return p.lastOwn
}

// silence is after how long without a message a daemon counts as silent.
func (p *peers) silence() time.Duration { return silentRefreshes*p.refresh() + silentSlack }

// CutAdds is what a cut adds to what a server with a limit gets, once and at most: what the other
// side sends until it's noticed that it's silent, and what its bucket held.
func PartitionExcess(limit float64) (noticed time.Duration, most float64) {
	noticed = silentRefreshes*refreshLeast + silentSlack
	return noticed, limit*(noticed+burstTime).Seconds() + leastBurst + mostSpread/2
}

// look counts anew which daemons are heard, if that was long ago. A daemon that is new may not
// know of those that can't be heard: it uses no more than the others that it hears.
func (p *peers) look(now time.Time) {
	if p.lastHeard != 0 && now.Sub(p.partAt) < partHolds && !now.Before(p.partAt) {
		return
	}
	silence := p.silence()
	known, heard, least := 1, 1, 1.0
	for address, other := range p.all {
		if now.Sub(latest(other.heard, other.met)) > forgetPeer {
			delete(p.all, address)
			continue
		}
		if other.left != 0 {
			continue
		}
		known++
		if now.Sub(latest(other.heard, p.since)) > silence {
			continue
		}
		heard++
		if other.part > 0 {
			least = min(least, other.part)
		}
	}
	p.partAt, p.lastHeard, p.lastOwn = now, heard, float64(heard)/float64(known)
	p.lastPart = min(p.lastOwn, least)
}
