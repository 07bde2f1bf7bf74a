package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// fakeVM simulates a VM's clocks.
type fakeVM struct {
	steady time.Time
	boot   time.Duration
}

func (v *fakeVM) run(d time.Duration)     { v.steady, v.boot = v.steady.Add(d), v.boot+d }
func (v *fakeVM) suspend(d time.Duration) { v.boot += d }

func newVM(t *testing.T) (*fakeVM, *Clock) {
	v := &fakeVM{steady: time.Now(), boot: time.Hour}
	c, err := NewFrom(func() time.Time { return v.steady }, func() (time.Duration, error) { return v.boot, nil })
	if err != nil {
		t.Fatal(err)
	}
	return v, c
}

func TestTimeAdvancesWhileSuspended(t *testing.T) {
	g := NewWithT(t)
	v, c := newVM(t)
	var resumed []time.Duration
	c.OnResume(func(d time.Duration) { resumed = append(resumed, d) })
	start := c.Now()
	v.run(time.Second)
	g.Expect(c.Now().Sub(start)).To(Equal(time.Second))
	v.suspend(5 * time.Second)
	v.run(checkInterval)
	g.Expect(c.Now().Sub(start)).To(Equal(6*time.Second + checkInterval))
	g.Expect(c.Now().Sub(start)).To(Equal(6*time.Second + checkInterval))
	g.Expect(resumed).To(Equal([]time.Duration{5 * time.Second}))
	v.suspend(time.Second)
	v.run(checkInterval)
	g.Expect(c.Now().Sub(start)).To(Equal(7*time.Second + 2*checkInterval))
	g.Expect(resumed).To(HaveLen(2))
}

func TestDriftAndPausesAreNotSuspensions(t *testing.T) {
	g := NewWithT(t)
	v, c := newVM(t)
	c.OnResume(func(d time.Duration) { t.Errorf("unexpected resume after %v", d) })
	start := c.Now()
	v.suspend(minSuspension - 1) // clock drift
	v.run(5 * time.Second)       // a paused process on a running VM
	g.Expect(c.Now().Sub(start)).To(Equal(5 * time.Second))
}

func TestTimeNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	v, c := newVM(t)
	v.suspend(time.Second)
	v.run(checkInterval)
	before := c.Now()
	v.boot -= 500 * time.Millisecond
	v.run(checkInterval)
	g.Expect(c.Now().Sub(before)).To(Equal(checkInterval))
}

func TestClockWithoutBootTimeIsSteady(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c, err := NewFrom(func() time.Time { return now }, func() (time.Duration, error) { return 0, errors.New("no such clock") })
	g.Expect(err).To(HaveOccurred())
	start := c.Now()
	now = now.Add(time.Minute)
	g.Expect(c.Now().Sub(start)).To(Equal(time.Minute))
}

func TestSystemClockNeverDecreases(t *testing.T) {
	c := New(logrus.NewEntry(logrus.New()))
	if before := c.Now(); c.Now().Before(before) {
		t.Error("time decreased")
	}
}
