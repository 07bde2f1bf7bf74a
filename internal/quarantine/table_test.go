package quarantine_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// about is the requests'.
var about = quarantine.NewRequestInfo("c", "/x?p=1")

func digest(n int) quarantine.Digest {
	return quarantine.DigestOf("c", "POST", "h", "/", []byte(fmt.Sprint(n)))
}

// ends cuts a request off at a server that then turns out to have ended.
func ends(t *quarantine.Table, d quarantine.Digest, server string, now time.Time) []quarantine.Evidence {
	t.ConnectionLost(d, about, server, now)
	return t.MarkExited(server, now)
}

var _ = Describe("a request", func() {
	var table *quarantine.Table
	d := digest(1)

	BeforeEach(func() { table = quarantine.NewTable() })

	state := func(now time.Time) quarantine.State { return table.Decision(d, now).State }

	It("is quarantined once two servers have ended under it, and not before", func() {
		Expect(state(start)).To(Equal(quarantine.Healthy))
		ends(table, d, "a", start)
		Expect(state(start)).To(Equal(quarantine.Suspect))
		ends(table, d, "b", start.Add(time.Second))
		Expect(table.Admit(d, start.Add(time.Second)).State).To(Equal(quarantine.Pending), "others may share its ends")
		settled := start.Add(time.Second + quarantine.SettleTime)
		Expect(state(settled)).To(Equal(quarantine.Quarantined))
		Expect(table.Decision(d, settled).Servers).To(Equal([]string{"a", "b"}))
		Expect(table.Admit(d, settled).State).To(Equal(quarantine.Quarantined))
		Expect(table.MarkAnnounced(d, table.Decision(d, settled))).To(BeTrue())
		Expect(table.MarkAnnounced(d, table.Decision(d, settled))).To(BeFalse())
	})

	It("that shares both ends with another is told from it by what follows", func() {
		sound, settled := digest(2), start.Add(quarantine.SettleTime)
		for _, server := range []string{"a", "b"} {
			table.ConnectionLost(sound, about, server, start)
			ends(table, d, server, start)
		}
		Expect(state(settled)).To(Equal(quarantine.Suspect))
		Expect(table.Decision(sound, settled).State).To(Equal(quarantine.Suspect))
		table.MarkServed(sound)
		Expect(state(settled)).To(Equal(quarantine.Quarantined), "the other has run to a good end")
		Expect(table.Decision(sound, settled).State).To(Equal(quarantine.Healthy))
	})

	It("that shares both ends with another is quarantined when a third server ends, and the other isn't", func() {
		sound, settled := digest(2), start.Add(quarantine.SettleTime)
		for _, server := range []string{"a", "b"} {
			table.ConnectionLost(sound, about, server, start)
			ends(table, d, server, start)
		}
		ends(table, d, "c", settled)
		Expect(state(settled)).To(Equal(quarantine.Quarantined))
		Expect(table.Decision(sound, settled).State).To(Equal(quarantine.Suspect))
	})

	It("that shares one end with it stays free, and so does one that was cut off elsewhere", func() {
		beside, elsewhere := digest(2), digest(3)
		table.ConnectionLost(beside, about, "a", start)
		table.ConnectionLost(elsewhere, about, "c", start)
		ends(table, d, "a", start)
		ends(table, d, "b", start.Add(time.Second))
		table.MarkAlive("c", start)
		Expect(table.Decision(beside, start.Add(time.Second)).State).To(Equal(quarantine.Suspect))
		Expect(table.Decision(elsewhere, start.Add(time.Second)).State).To(Equal(quarantine.Healthy))
	})

	It("that has run to a good end is cleared, and needs two more ends", func() {
		ends(table, d, "a", start)
		Expect(table.MarkServed(d)).To(HaveLen(1))
		Expect(state(start)).To(Equal(quarantine.Healthy))
		Expect(table.Cleared(d, []string{"a"}, start)).To(BeTrue())
		ends(table, d, "b", start.Add(time.Second))
		Expect(state(start.Add(time.Second))).To(Equal(quarantine.Suspect))
	})

	It("waits while it isn't known whether a second server has ended", func() {
		table.ConnectionLost(d, about, "a", start)
		Expect(state(start)).To(Equal(quarantine.Suspect), "one may be tried again")
		table.ConnectionLost(d, about, "b", start)
		Expect(table.Admit(d, start).State).To(Equal(quarantine.Pending))
		table.MarkAlive("a", start)
		Expect(state(start)).To(Equal(quarantine.Suspect))
		Expect(state(start.Add(5*time.Second))).To(Equal(quarantine.Healthy), "not for ever")
	})

	It("that is suspect runs once at a time", func() {
		ends(table, d, "a", start)
		Expect(table.Admit(d, start).State).To(Equal(quarantine.Suspect))
		Expect(table.Admit(d, start).State).To(Equal(quarantine.Pending))
		table.Release(d)
		Expect(table.Admit(d, start).State).To(Equal(quarantine.Suspect))
	})

	It("counts the ends of a server that starts again under its ID, each once", func() {
		ends(table, d, "a", start)
		ends(table, d, "a", start.Add(time.Millisecond))
		Expect(state(start)).To(Equal(quarantine.Suspect))
		ends(table, d, "a", start.Add(4*time.Second))
		Expect(state(start.Add(5 * time.Second))).To(Equal(quarantine.Quarantined))
	})

	It("isn't held to account for an end long after it was cut off", func() {
		table.ConnectionLost(d, about, "a", start)
		Expect(table.MarkExited("a", start.Add(time.Minute))).To(BeEmpty())
	})

	It("gets one more attempt after a first quarantine, and a day after a third end", func() {
		ends(table, d, "a", start.Add(-2*time.Second))
		ends(table, d, "b", start)
		later := table.Decision(d, start).Until
		Expect(later.Sub(start)).To(Equal(30 * time.Minute))
		Expect(table.Admit(d, later).State).To(Equal(quarantine.Suspect))
		ends(table, d, "c", later)
		Expect(table.Decision(d, later).Until.Sub(later)).To(Equal(24 * time.Hour))
	})

	It("isn't held to account for a failure that took other servers, too", func() {
		for i, server := range []string{"a", "b", "c"} {
			ends(table, d, server, start.Add(time.Duration(i)*10*time.Millisecond))
		}
		settled := start.Add(time.Second)
		Expect(state(settled)).To(Equal(quarantine.Quarantined))
		Expect(table.Cleared(d, []string{"a", "b", "c"}, settled)).To(BeFalse())
		ends(table, digest(2), "z", start.Add(100*time.Millisecond))
		Expect(state(settled)).To(Equal(quarantine.Suspect))
		table.QuarantineUntil(d, settled.Add(time.Minute))
		Expect(state(settled)).To(Equal(quarantine.Quarantined), "while the configuration says so")
		Expect(table.Cleared(d, []string{"a", "b", "c"}, settled)).To(BeTrue())
		Expect(table.Cleared(d, []string{"a", "b", "x"}, settled)).To(BeFalse(), "others know more")
		table.QuarantineUntil(d, time.Time{})
		Expect(table.Decision(digest(2), settled).State).To(Equal(quarantine.Suspect))
		ends(table, d, "e", start.Add(5*time.Second))
		Expect(state(start.Add(6*time.Second))).To(Equal(quarantine.Quarantined), "but for one that follows")
	})

	It("under which two servers ended together is kept from others for a short while", func() {
		ends(table, d, "a", start)
		ends(table, d, "b", start.Add(time.Second))
		later := table.Decision(d, start.Add(time.Second)).Until
		Expect(later.Sub(start)).To(Equal(31 * time.Second))
		Expect(table.Admit(d, later).State).To(Equal(quarantine.Suspect))
		ends(table, d, "c", later)
		Expect(table.Decision(d, later).Until.Sub(later)).To(Equal(24 * time.Hour))
	})

	It("isn't acquitted because its time is over: operators may have prolonged it", func() {
		ends(table, d, "a", start)
		ends(table, d, "b", start.Add(2*time.Second))
		both := []string{"a", "b"}
		Expect(table.Cleared(d, both, start.Add(time.Minute))).To(BeFalse())
		Expect(table.Cleared(d, both, start.Add(time.Hour))).To(BeFalse())
		table.MarkServed(d)
		Expect(table.Cleared(d, both, start.Add(time.Hour))).To(BeTrue())
	})

	It("is quarantined and released as the operators' configuration says", func() {
		table.QuarantineUntil(d, start.Add(time.Minute))
		Expect(state(start)).To(Equal(quarantine.Quarantined))
		Expect(state(start.Add(time.Minute))).To(Equal(quarantine.Healthy))
		ends(table, d, "a", start)
		ends(table, d, "b", start)
		Expect(table.Quarantined(start)).To(HaveKey(d))
		Expect(table.EndQuarantine(d)).To(HaveLen(2))
		Expect(state(start)).To(Equal(quarantine.Healthy))
		Expect(table.Quarantined(start)).To(BeEmpty())
	})

	It("is forgotten in the end, and the oldest first beyond a bound", func() {
		ends(table, d, "a", start)
		table.Admit(digest(2), start.Add(2*time.Hour))
		Expect(table.Hash()).To(BeZero())
		const many = 5000
		for i := range many {
			ends(table, digest(10+i), "s", start.Add(2*time.Hour+time.Duration(i)*time.Millisecond))
		}
		evidence, _ := table.Since(0)
		Expect(len(evidence)).To(And(BeNumerically("<=", 4096), BeNumerically(">=", 4096-4096/16)))
		Expect(table.Decision(digest(10), start.Add(2*time.Hour)).State).To(Equal(quarantine.Healthy))
		Expect(table.Decision(digest(10+many-1), start.Add(2*time.Hour)).State).To(Equal(quarantine.Suspect))
	})
})

var _ = It("a customer whose requests end many servers pushes nobody's out", func() {
	table := quarantine.NewTable()
	other := digest(1)
	for i, server := range []string{"a", "b"} {
		at := start.Add(time.Duration(i) * 2 * time.Second)
		table.ConnectionLost(other, quarantine.RequestInfo{Customer: "other"}, server, at)
		table.MarkExited(server, at)
	}
	for i := range 9000 {
		ends(table, digest(10+i), "s", start.Add(time.Duration(i)*time.Millisecond))
	}
	v := table.Decision(other, start.Add(time.Minute))
	Expect(v.State).To(Equal(quarantine.Quarantined))
	Expect(v.Info.Customer).To(Equal("other"))
	Expect(v.Since).To(Equal(start))
	Expect(table.Decision(digest(9009), start.Add(time.Minute)).Info.Path).To(Equal("/x"))
	Expect(quarantine.NewRequestInfo("c", "/"+strings.Repeat("x", 5000)).Path).To(HaveLen(200))
})

// Tables that hear all of each other's evidence agree, in whatever order and however
// often it comes, and no request is quarantined under which fewer than two servers ended.
var _ = It("tables agree in the end", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		const tables, requests, servers = 3, 3, 4
		all := make([]*quarantine.Table, tables)
		for i := range all {
			all[i] = quarantine.NewTable()
		}
		seen := map[quarantine.Digest]map[string]bool{}
		var pool []quarantine.Evidence
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			table := all[rapid.IntRange(0, tables-1).Draw(t, "table")]
			d := digest(rapid.IntRange(0, requests-1).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				server := fmt.Sprint("s", rapid.IntRange(0, servers-1).Draw(t, "server"))
				for _, e := range ends(table, d, server, now) {
					if seen[e.Digest] == nil {
						seen[e.Digest] = map[string]bool{}
					}
					seen[e.Digest][e.Server] = true
					pool = append(pool, e)
				}
			case 2:
				pool = append(pool, table.MarkServed(d)...)
			case 3:
				if len(pool) > 0 {
					table.Merge(pool[:rapid.IntRange(1, len(pool)).Draw(t, "heard")], now)
				}
			}
			now = now.Add(time.Second)
		}
		for range 2 { // what they tell each other goes round
			for _, table := range all {
				evidence, _ := table.Since(0)
				for _, other := range all {
					other.Merge(evidence, now)
				}
			}
		}
		for _, table := range all[1:] {
			if table.Hash() != all[0].Hash() {
				t.Fatalf("tables differ")
			}
			for n := range requests {
				a, b := all[0].Decision(digest(n), now), table.Decision(digest(n), now)
				if fmt.Sprint(a.Servers) != fmt.Sprint(b.Servers) {
					t.Fatalf("request %d: %v and %v", n, a.Servers, b.Servers)
				}
				if a.State == quarantine.Quarantined && len(seen[digest(n)]) < 2 {
					t.Fatalf("request %d is quarantined after %d ends", n, len(seen[digest(n)]))
				}
			}
		}
	})
})
