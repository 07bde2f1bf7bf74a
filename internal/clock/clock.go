// Package clock provides a clock that includes the time for which the VM was suspended. Go's
// monotonic clock excludes it.
package clock

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the minimum time between reads of the boot-time clock, and thus the
	// longest time for which Now may miss a suspension.
	checkInterval = 50 * time.Millisecond
	// minSuspension is the shortest suspension that is detected; less is drift of the clocks.
	minSuspension = 20 * time.Millisecond
)

// Clock is a process's clock. It is safe for concurrent use.
//
// Its times are valid for comparison with each other only: the time of day is ahead by the
// suspended time, and the runtime's timers and deadlines do not follow it.
type Clock struct {
	steady func() time.Time
	boot   func() (time.Duration, error)

	mu sync.Mutex // no other lock is taken while it is held
	// startSteady and startBoot are the readings at the start.
	startSteady time.Time
	startBoot   time.Duration
	checkedAt   time.Time
	suspended   time.Duration
	onResume    func(suspended time.Duration)
}

// New returns a clock of the system. If the system has no boot-time clock, it logs a warning
// and counts no suspensions.
func New(log *logrus.Entry) *Clock {
	c, err := NewFrom(time.Now, bootTime)
	if err != nil {
		log.WithError(err).Warn("VM suspensions are not detected")
	}
	return c
}

// NewFrom returns a clock based on a monotonic clock that stops during suspensions, and on the
// time since boot. With an error, the clock is valid but counts no suspensions.
func NewFrom(steady func() time.Time, boot func() (time.Duration, error)) (*Clock, error) {
	first, err := boot()
	now := steady()
	c := &Clock{steady: steady, boot: boot, startSteady: now, startBoot: first, checkedAt: now, onResume: func(time.Duration) {}}
	if err != nil {
		c.boot = func() (time.Duration, error) { return 0, err }
	}
	return c, err
}

// bootTime returns the time since the VM's boot, including suspensions.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errors.Wrap(err, "clock: read boot time")
	}
	return time.Duration(t.Nano()), nil
}

// OnResume sets a function that is called after each detected suspension with its length. Call
// it before the first Now.
func (c *Clock) OnResume(f func(suspended time.Duration)) { c.onResume = f }

// Now returns the current time, including suspensions.
func (c *Clock) Now() time.Time {
	now := c.steady()
	c.mu.Lock()
	before := c.suspended
	if now.Sub(c.checkedAt) >= checkInterval {
		c.checkSuspension(now)
	}
	suspended := c.suspended
	c.mu.Unlock()
	if suspended > before {
		c.onResume(suspended - before)
	}
	return now.Add(suspended)
}

// checkSuspension compares the clocks. If the boot time cannot be read, the monotonic clock
// alone counts.
func (c *Clock) checkSuspension(now time.Time) {
	c.checkedAt = now
	boot, err := c.boot()
	if err != nil {
		return
	}
	if gap := boot - c.startBoot - now.Sub(c.startSteady); gap >= c.suspended+minSuspension {
		c.suspended = gap
	}
}
