package dispatch

import "time"

// slotTimeWeight is the weight of the newest sample in the smoothed time for which requests hold a slot.
const slotTimeWeight = 0.05

// recordSlotTime records for how long a request held a slot of its service.
func (b *Balancer) recordSlotTime(service string, held time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.slotTimes[service]; known > 0 {
		held = known + time.Duration(slotTimeWeight*float64(held-known))
	}
	b.slotTimes[service] = held
}

// slotTime returns how long requests hold a slot of a service on average, or 0 if unknown.
func (b *Balancer) slotTime(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slotTimes[service]
}

// nextTurn returns how long a refused caller of a service should wait that could begin after earliest: until
// those that were refused before have had a slot. Slots get free at the rate at which requests end, for this
// entry's part of the callers; if allFree is set, they are all free once the wait is over. A turn later than
// the caller heeds isn't kept for it.
func (b *Balancer) nextTurn(service string, slots int, earliest, heeded time.Duration, allFree bool, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.slotTimes[service]
	if held <= 0 || slots <= 0 {
		return earliest
	}
	interval := held * time.Duration(max(b.policy.Entries, 1)) / time.Duration(slots)
	next, begin := b.turns[service], now.Add(earliest)
	if next.Before(begin) {
		next = begin
	}
	turn := next
	if allFree {
		turn = turn.Add(-held)
	}
	if turn.Before(begin) {
		turn = begin
	}
	if wait := turn.Sub(now); wait > heeded {
		return wait
	}
	b.turns[service] = next.Add(interval)
	return turn.Sub(now)
}
