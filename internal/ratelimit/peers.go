package ratelimit

import "time"

const (
	// minRefreshInterval is the shortest interval between refresh messages to a peer while a
	// limit is in force. refreshPerPeer raises it with the number of peers, which bounds the
	// received messages to 50 per second.
	minRefreshInterval = 250 * time.Millisecond
	refreshPerPeer     = 20 * time.Millisecond
	// maxMissedRefreshes is the number of missed messages after which a peer is unresponsive,
	// refreshSlack the allowed delay of one message.
	maxMissedRefreshes = 3
	refreshSlack       = 200 * time.Millisecond
	// peerRetention is how long a peer without contact counts as one that may still send
	// requests: it may be partitioned, or gone.
	peerRetention = 2 * time.Minute
)

// peers are the other daemons that send requests to servers, by address.
type peers struct {
	all map[string]*peer
	// limitsSince is when the first limit came into force. Peers send no messages before it.
	limitsSince time.Time
	// lastLocal, lastShare and lastReachable are cached results as of countedAt.
	countedAt            time.Time
	lastLocal, lastShare float64
	lastReachable        int
}

// peer is another daemon.
type peer struct {
	// messageAt is the time of its last message, contactAt that of the last other contact.
	messageAt, contactAt time.Time
	// departed is the ID of the process that announced its departure, or 0.
	departed uint64
	// share is the fraction of limits that it reported, or 0.
	share float64
}

func (p *peers) get(address string) *peer {
	entry := p.all[address]
	if entry == nil {
		entry = &peer{}
		p.all[address] = entry
	}
	return entry
}

// refreshInterval returns the interval between refresh messages.
func (p *peers) refreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(len(p.all))*refreshPerPeer)
}

// shareCacheTime is how long the set of reachable peers is cached.
const shareCacheTime = 50 * time.Millisecond

// share returns the fraction of each limit that the reachable daemons may use, and their
// number including this one.
func (p *peers) share(now time.Time) (share float64, reachable int) {
	p.update(now)
	return p.lastShare, p.lastReachable
}

// localShare returns the fraction of each limit by local observation only.
func (p *peers) localShare(now time.Time) float64 {
	p.update(now)
	return p.lastLocal
}

// timeout returns the time without a message after which a peer is unresponsive.
func (p *peers) timeout() time.Duration { return maxMissedRefreshes*p.refreshInterval() + refreshSlack }

// PartitionExcess returns how long a network partition remains undetected, at the shortest
// refresh interval, and the maximum number of extra requests that a server with the limit, in
// requests per second, receives in that time: what the other side of the partition sends
// meanwhile, and what its bucket held.
func PartitionExcess(limit float64) (undetected time.Duration, extra float64) {
	undetected = maxMissedRefreshes*minRefreshInterval + refreshSlack
	return undetected, limit*(undetected+burstTime).Seconds() + minBurst + maxJitterRange/2
}

// update recounts the reachable peers, at most once per shareCacheTime. A new daemon may not
// know unreachable peers, so the share is at most the lowest one that a reachable peer
// reports.
func (p *peers) update(now time.Time) {
	if p.lastReachable != 0 && now.Sub(p.countedAt) < shareCacheTime && !now.Before(p.countedAt) {
		return
	}
	timeout := p.timeout()
	total, reachable, minShare := 1, 1, 1.0
	for address, peer := range p.all {
		if now.Sub(latest(peer.messageAt, peer.contactAt)) > peerRetention {
			delete(p.all, address)
			continue
		}
		if peer.departed != 0 {
			continue
		}
		total++
		if now.Sub(latest(peer.messageAt, p.limitsSince)) > timeout {
			continue
		}
		reachable++
		if peer.share > 0 {
			minShare = min(minShare, peer.share)
		}
	}
	p.countedAt, p.lastReachable, p.lastLocal = now, reachable, float64(reachable)/float64(total)
	p.lastShare = min(p.lastLocal, minShare)
}
