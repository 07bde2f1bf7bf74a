package clock

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// vm is a VM's clocks.
type vm struct {
	steady time.Time
	boot   time.Duration
}

func (v *vm) runs(d time.Duration)      { v.steady, v.boot = v.steady.Add(d), v.boot+d }
func (v *vm) suspended(d time.Duration) { v.boot += d }

func newVM(t *testing.T) (*vm, *Clock) {
	v := &vm{steady: time.Now(), boot: time.Hour}
	c, err := NewFrom(func() time.Time { return v.steady }, func() (time.Duration, error) { return v.boot, nil })
	if err != nil {
		t.Fatal(err)
	}
	return v, c
}

func TestTimeGoesOnWhileSuspended(t *testing.T) {
	g := NewWithT(t)
	v, c := newVM(t)
	var woke []time.Duration
	c.OnResume(func(d time.Duration) { woke = append(woke, d) })
	began := c.Now()
	v.runs(time.Second)
	g.Expect(c.Now().Sub(began)).To(Equal(time.Second))
	v.suspended(5 * time.Second)
	v.runs(lookPace)
	g.Expect(c.Now().Sub(began)).To(Equal(6*time.Second + lookPace))
	g.Expect(c.Now().Sub(began)).To(Equal(6*time.Second + lookPace))
	g.Expect(woke).To(Equal([]time.Duration{5 * time.Second}))
	v.suspended(time.Second)
	v.runs(lookPace)
	g.Expect(c.Now().Sub(began)).To(Equal(7*time.Second + 2*lookPace))
	g.Expect(woke).To(HaveLen(2))
}

func TestNeitherDriftNorFreezeIsASuspension(t *testing.T) {
	g := NewWithT(t)
	v, c := newVM(t)
	c.OnResume(func(d time.Duration) { t.Errorf("woke after %v", d) })
	began := c.Now()
	v.suspended(leastSuspension - 1) // as clocks drift
	v.runs(5 * time.Second)          // a process that stands still while its VM runs
	g.Expect(c.Now().Sub(began)).To(Equal(5 * time.Second))
}

func TestTimeNeverGoesBack(t *testing.T) {
	g := NewWithT(t)
	v, c := newVM(t)
	v.suspended(time.Second)
	v.runs(lookPace)
	before := c.Now()
	v.boot -= 500 * time.Millisecond
	v.runs(lookPace)
	g.Expect(c.Now().Sub(before)).To(Equal(lookPace))
}

func TestClockThatCannotSeeSuspensionsIsSteady(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	c, err := NewFrom(func() time.Time { return now }, func() (time.Duration, error) { return 0, errors.New("no such clock") })
	g.Expect(err).To(HaveOccurred())
	began := c.Now()
	now = now.Add(time.Minute)
	g.Expect(c.Now().Sub(began)).To(Equal(time.Minute))
}

func TestSystemClock(t *testing.T) {
	c := New(logrus.NewEntry(logrus.New()))
	if before := c.Now(); c.Now().Before(before) {
		t.Error("time went back")
	}
}
