// Package clock tells times that count what a VM was suspended, which the steady clock
// that Go's times are compared by does not.
package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// lookPace is how long, by the steady clock, a look at the clock that counts suspensions
	// holds: as soon after a suspension as that all times are right again. 20 looks a second
	// at most, and none while nobody asks for the time.
	lookPace = 50 * time.Millisecond
	// leastSuspension is how much the clocks may drift apart without one.
	leastSuspension = 20 * time.Millisecond
)

// Clock is a process's. Safe for concurrent use.
//
// Its times are for comparing with each other only: their time of day is ahead by what the
// VM was suspended, and the runtime's timers and deadlines don't know them.
type Clock struct {
	steady func() time.Time
	boot   func() (time.Duration, error)

	mu sync.Mutex // a leaf
	// startSteady and startBoot are what both showed at the start.
	startSteady time.Time
	startBoot   time.Duration
	lookedAt    time.Time
	suspended   time.Duration
	onResume    func(suspended time.Duration)
}

// New returns a clock of the system. Where the system doesn't tell what suspensions take,
// it says so once and counts none.
func New(log *logrus.Entry) *Clock {
	c, err := NewFrom(time.Now, bootTime)
	if err != nil {
		log.WithError(err).Warn("suspensions of the VM aren't noticed")
	}
	return c
}

// NewFrom returns a clock of two others: one that stands still while the VM is suspended, and
// one that tells the time since the VM's start. With an error it counts no suspensions.
func NewFrom(steady func() time.Time, boot func() (time.Duration, error)) (*Clock, error) {
	first, err := boot()
	now := steady()
	c := &Clock{steady: steady, boot: boot, startSteady: now, startBoot: first, lookedAt: now, onResume: func(time.Duration) {}}
	if err != nil {
		c.boot = func() (time.Duration, error) { return 0, err }
	}
	return c, err
}

// bootTime is the time since the VM's start, suspensions included.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "clock: boot time")
	}
	return time.Duration(t.Nano()), nil
}

// OnWake calls f after each suspension that is noticed, with how long it was. Call it
// before the first Now.
func (c *Clock) OnResume(f func(suspended time.Duration)) { c.onResume = f }

// Now returns a time that counts suspensions.
func (c *Clock) Now() time.Time {
	now := c.steady()
	c.mu.Lock()
	before := c.suspended
	if now.Sub(c.lookedAt) >= lookPace {
		c.look(now)
	}
	suspended := c.suspended
	c.mu.Unlock()
	if suspended > before {
		c.onResume(suspended - before)
	}
	return now.Add(suspended)
}

// look compares the clocks. A boot time that can't be read is one that doesn't go on: the
// steady clock alone counts then.
func (c *Clock) look(now time.Time) {
	c.lookedAt = now
	boot, err := c.boot()
	if err != nil {
		return // it could be read at the start; nothing here can mend it
	}
	if gap := boot - c.startBoot - now.Sub(c.startSteady); gap >= c.suspended+leastSuspension {
		c.suspended = gap
	}
}
