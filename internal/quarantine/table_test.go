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

// info describes the requests.
var info = quarantine.NewRequestInfo("c", "/x?p=1")

func digest(n int) quarantine.Digest {
	return quarantine.DigestOf("c", "POST", "h", "/", []byte(fmt.Sprint(n)))
}

// exitUnderRequest loses the request's connection to a server that is then found to have
// exited.
func exitUnderRequest(t *quarantine.Table, d quarantine.Digest, server string, now time.Time) []quarantine.Evidence {
	t.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: info}, server, now)
	return t.MarkExited(server, now)
}

var _ = Describe("a request", func() {
	var table *quarantine.Table
	d := digest(1)

	BeforeEach(func() { table = quarantine.NewTable() })

	state := func(now time.Time) quarantine.State { return table.Decision(d, now).State }

	It("is quarantined after two server exits, and not before", func() {
		Expect(state(start)).To(Equal(quarantine.Healthy))
		exitUnderRequest(table, d, "a", start)
		Expect(state(start)).To(Equal(quarantine.Suspect))
		exitUnderRequest(table, d, "b", start.Add(time.Second))
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, start.Add(time.Second)).State).To(Equal(quarantine.Pending), "other requests may share its exits")
		settled := start.Add(time.Second + quarantine.SettleTime)
		Expect(state(settled)).To(Equal(quarantine.Quarantined))
		Expect(table.Decision(d, settled).Servers).To(Equal([]string{"a", "b"}))
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, settled).State).To(Equal(quarantine.Quarantined))
		Expect(table.MarkAnnounced(d, table.Decision(d, settled))).To(BeTrue())
		Expect(table.MarkAnnounced(d, table.Decision(d, settled))).To(BeFalse())
	})

	It("that shares both exits with another is quarantined when the other completes", func() {
		unrelated, settled := digest(2), start.Add(quarantine.SettleTime)
		for _, server := range []string{"a", "b"} {
			table.RecordConnectionLoss(quarantine.Fingerprint{Digest: unrelated, Info: info}, server, start)
			exitUnderRequest(table, d, server, start)
		}
		Expect(state(settled)).To(Equal(quarantine.Suspect))
		Expect(table.Decision(unrelated, settled).State).To(Equal(quarantine.Suspect))
		table.RecordSuccess(quarantine.Fingerprint{Digest: unrelated})
		Expect(state(settled)).To(Equal(quarantine.Quarantined), "the other request completed")
		Expect(table.Decision(unrelated, settled).State).To(Equal(quarantine.Healthy))
	})

	It("that shares both exits with another is quarantined alone after a third exit", func() {
		unrelated, settled := digest(2), start.Add(quarantine.SettleTime)
		for _, server := range []string{"a", "b"} {
			table.RecordConnectionLoss(quarantine.Fingerprint{Digest: unrelated, Info: info}, server, start)
			exitUnderRequest(table, d, server, start)
		}
		exitUnderRequest(table, d, "c", settled)
		Expect(state(settled)).To(Equal(quarantine.Quarantined))
		Expect(table.Decision(unrelated, settled).State).To(Equal(quarantine.Suspect))
	})

	// Otherwise entries send both to one server again, and its exit tells them no more apart.
	It("that shares an exit with others is assigned a server of its own, at all tables the same", func() {
		const sharing = 4
		other := quarantine.NewTable()
		for n := range sharing {
			table.RecordConnectionLoss(quarantine.Fingerprint{Digest: digest(n), Info: info}, "b", start)
		}
		other.Merge(table.MarkExited("b", start), start)
		assigned, ofTwo := map[string]bool{}, map[string]bool{}
		for n := range sharing {
			order := table.Decision(digest(n), start).Isolation.Order([]string{"e", "d", "c", "b", "a"})
			Expect(order).To(HaveLen(5))
			Expect(order[4]).To(Equal("b"), "it may not be back")
			Expect(other.Decision(digest(n), start).Isolation.Order([]string{"a", "b", "c", "d", "e"})).To(Equal(order))
			assigned[order[0]] = true
			ofTwo[table.Decision(digest(n), start).Isolation.Order([]string{"b", "a"})[0]] = true
		}
		Expect(assigned).To(HaveLen(sharing))
		Expect(ofTwo).To(HaveLen(2))
		for n := range 2 {
			table.RecordConnectionLoss(quarantine.Fingerprint{Digest: digest(n), Info: info}, "c", start.Add(2*time.Second))
		}
		table.MarkExited("c", start.Add(2*time.Second))
		settled := start.Add(3 * time.Second)
		Expect([]int{table.Decision(digest(0), settled).Isolation.Index, table.Decision(digest(1), settled).Isolation.Index}).
			To(ConsistOf(0, 1), "those that share both exits come first")
		Expect(table.Decision(digest(0), start).Isolation.Order(nil)).To(BeEmpty())
	})

	It("that shares one exit, or lost its connection to a live server, is not quarantined", func() {
		concurrent, survivor := digest(2), digest(3)
		table.RecordConnectionLoss(quarantine.Fingerprint{Digest: concurrent, Info: info}, "a", start)
		table.RecordConnectionLoss(quarantine.Fingerprint{Digest: survivor, Info: info}, "c", start)
		exitUnderRequest(table, d, "a", start)
		exitUnderRequest(table, d, "b", start.Add(time.Second))
		table.MarkAlive("c", start)
		Expect(table.Decision(concurrent, start.Add(time.Second)).State).To(Equal(quarantine.Suspect))
		Expect(table.Decision(survivor, start.Add(time.Second)).State).To(Equal(quarantine.Healthy))
	})

	It("that completes is cleared, and needs two more exits", func() {
		exitUnderRequest(table, d, "a", start)
		Expect(table.RecordSuccess(quarantine.Fingerprint{Digest: d})).To(HaveLen(1))
		Expect(state(start)).To(Equal(quarantine.Healthy))
		Expect(table.Cleared(d, []string{"a"}, start)).To(BeTrue())
		exitUnderRequest(table, d, "b", start.Add(time.Second))
		Expect(state(start.Add(time.Second))).To(Equal(quarantine.Suspect))
	})

	It("is pending while it is unknown whether a second server exited", func() {
		table.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: info}, "a", start)
		Expect(state(start)).To(Equal(quarantine.Suspect), "one loss permits a retry")
		table.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: info}, "b", start)
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, start).State).To(Equal(quarantine.Pending))
		table.MarkAlive("a", start)
		Expect(state(start)).To(Equal(quarantine.Suspect))
		Expect(state(start.Add(5*time.Second))).To(Equal(quarantine.Healthy), "the pending state expires")
	})

	It("that is suspect runs one attempt at a time", func() {
		exitUnderRequest(table, d, "a", start)
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, start).State).To(Equal(quarantine.Suspect))
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, start).State).To(Equal(quarantine.Pending))
		table.Done(d)
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, start).State).To(Equal(quarantine.Suspect))
	})

	It("has each exit of a server that restarts under its ID counted once", func() {
		exitUnderRequest(table, d, "a", start)
		exitUnderRequest(table, d, "a", start.Add(time.Millisecond))
		Expect(state(start)).To(Equal(quarantine.Suspect))
		exitUnderRequest(table, d, "a", start.Add(4*time.Second))
		Expect(state(start.Add(5 * time.Second))).To(Equal(quarantine.Quarantined))
	})

	// The restart takes less time than two daemons' reports of one exit may be apart.
	It("is quarantined when a server crashes again within two seconds, at the same table or at another", func() {
		first, second := start, start.Add(900*time.Millisecond)
		settled := second.Add(time.Second)
		crash := func(t *quarantine.Table, at time.Time) []quarantine.Evidence {
			t.Admit(quarantine.Fingerprint{Digest: d}, at)
			defer t.Done(d)
			return exitUnderRequest(t, d, "a", at.Add(10*time.Millisecond))
		}
		evidence := crash(table, first)
		Expect(state(settled)).To(Equal(quarantine.Suspect))
		other := quarantine.NewTable()
		other.Merge(evidence, first)
		table.Merge(crash(other, second), second)
		for _, t := range []*quarantine.Table{table, other} {
			Expect(t.Decision(d, settled).Servers).To(Equal([]string{"a", "a#2"}))
			Expect(t.Decision(d, settled).State).To(Equal(quarantine.Quarantined))
		}
	})

	It("has one crash counted once that two entries see under attempts in progress together", func() {
		other := quarantine.NewTable()
		table.Admit(quarantine.Fingerprint{Digest: d}, start)
		other.Admit(quarantine.Fingerprint{Digest: d}, start)
		crashed := start.Add(time.Second)
		evidence := exitUnderRequest(table, d, "a", crashed)
		other.Merge(evidence, crashed)
		table.Merge(exitUnderRequest(other, d, "a", crashed.Add(time.Second)), crashed)
		for _, t := range []*quarantine.Table{table, other} {
			Expect(t.Decision(d, start.Add(5*time.Second)).State).To(Equal(quarantine.Suspect))
		}
	})

	It("gets no evidence from an exit long after it lost its connection", func() {
		table.RecordConnectionLoss(quarantine.Fingerprint{Digest: d, Info: info}, "a", start)
		Expect(table.MarkExited("a", start.Add(time.Minute))).To(BeEmpty())
	})

	It("gets one attempt after a first quarantine, and a day's quarantine after a third exit", func() {
		exitUnderRequest(table, d, "a", start.Add(-2*time.Second))
		exitUnderRequest(table, d, "b", start)
		later := table.Decision(d, start).Until
		Expect(later.Sub(start)).To(Equal(30 * time.Minute))
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, later).State).To(Equal(quarantine.Suspect))
		exitUnderRequest(table, d, "c", later)
		Expect(table.Decision(d, later).Until.Sub(later)).To(Equal(24 * time.Hour))
	})

	It("is only suspect when a server without it exited at the same time", func() {
		for i, server := range []string{"a", "b", "c"} {
			exitUnderRequest(table, d, server, start.Add(time.Duration(i)*10*time.Millisecond))
		}
		settled := start.Add(time.Second)
		Expect(state(settled)).To(Equal(quarantine.Quarantined))
		Expect(table.Cleared(d, []string{"a", "b", "c"}, settled)).To(BeFalse())
		exitUnderRequest(table, digest(2), "z", start.Add(100*time.Millisecond))
		Expect(state(settled)).To(Equal(quarantine.Suspect))
		table.QuarantineUntil(d, "", settled.Add(time.Minute))
		Expect(state(settled)).To(Equal(quarantine.Quarantined), "quarantined by configuration")
		Expect(table.Cleared(d, []string{"a", "b", "c"}, settled)).To(BeTrue())
		Expect(table.Cleared(d, []string{"a", "b", "x"}, settled)).To(BeFalse(), "other daemons know more exits")
		table.QuarantineUntil(d, "", time.Time{})
		Expect(table.Decision(digest(2), settled).State).To(Equal(quarantine.Suspect))
		exitUnderRequest(table, d, "e", start.Add(5*time.Second))
		Expect(state(start.Add(6*time.Second))).To(Equal(quarantine.Quarantined), "a later exit counts")
	})

	It("is quarantined only briefly when two servers exited together", func() {
		exitUnderRequest(table, d, "a", start)
		exitUnderRequest(table, d, "b", start.Add(time.Second))
		later := table.Decision(d, start.Add(time.Second)).Until
		Expect(later.Sub(start)).To(Equal(31 * time.Second))
		Expect(table.Admit(quarantine.Fingerprint{Digest: d}, later).State).To(Equal(quarantine.Suspect))
		exitUnderRequest(table, d, "c", later)
		Expect(table.Decision(d, later).Until.Sub(later)).To(Equal(24 * time.Hour))
	})

	It("is not cleared by the end of its quarantine, which operators may have extended", func() {
		exitUnderRequest(table, d, "a", start)
		exitUnderRequest(table, d, "b", start.Add(2*time.Second))
		both := []string{"a", "b"}
		Expect(table.Cleared(d, both, start.Add(time.Minute))).To(BeFalse())
		Expect(table.Cleared(d, both, start.Add(time.Hour))).To(BeFalse())
		table.RecordSuccess(quarantine.Fingerprint{Digest: d})
		Expect(table.Cleared(d, both, start.Add(time.Hour))).To(BeTrue())
	})

	It("is quarantined and released by the operators' configuration", func() {
		table.QuarantineUntil(d, "", start.Add(time.Minute))
		Expect(state(start)).To(Equal(quarantine.Quarantined))
		Expect(state(start.Add(time.Minute))).To(Equal(quarantine.Healthy))
		exitUnderRequest(table, d, "a", start)
		exitUnderRequest(table, d, "b", start)
		Expect(table.Quarantined(start)).To(HaveKey(d))
		Expect(table.EndQuarantine(d)).To(HaveLen(2))
		Expect(state(start)).To(Equal(quarantine.Healthy))
		Expect(table.Quarantined(start)).To(BeEmpty())
	})

	It("expires, and the oldest ones are evicted first when the table is full", func() {
		exitUnderRequest(table, d, "a", start)
		table.Admit(quarantine.Fingerprint{Digest: digest(2)}, start.Add(2*time.Hour))
		Expect(table.Hash()).To(BeZero())
		const many = 5000
		for i := range many {
			exitUnderRequest(table, digest(10+i), "s", start.Add(2*time.Hour+time.Duration(i)*time.Millisecond))
		}
		evidence, _ := table.Since(0)
		Expect(len(evidence)).To(And(BeNumerically("<=", 4096), BeNumerically(">=", 4096-4096/16)))
		Expect(table.Decision(digest(10), start.Add(2*time.Hour)).State).To(Equal(quarantine.Healthy))
		Expect(table.Decision(digest(10+many-1), start.Add(2*time.Hour)).State).To(Equal(quarantine.Suspect))
	})
})

// Daemons of different releases exchange evidence until the hashes agree.
var _ = It("the hash of evidence against requests is that of earlier releases, whatever is known of parts", func() {
	table := quarantine.NewTable()
	d := quarantine.DigestOf("c", "POST", "h", "/", []byte("x"))
	f := quarantine.NewFingerprint(d, quarantine.RequestInfo{Customer: "c", Path: "/"}, "m", promptParts{"5c"})
	crash(table, "a", start, f)
	Expect(table.Hash()).To(Equal(uint64(0xf8419f3223246d89)))
	Expect(table.PartsHash()).NotTo(BeZero())
})

var _ = It("evidence about other customers survives a customer whose requests crash many servers", func() {
	table := quarantine.NewTable()
	other := digest(1)
	for i, server := range []string{"a", "b"} {
		at := start.Add(time.Duration(i) * 2 * time.Second)
		table.RecordConnectionLoss(quarantine.Fingerprint{Digest: other, Info: quarantine.RequestInfo{Customer: "other"}}, server, at)
		table.MarkExited(server, at)
	}
	for i := range 9000 {
		exitUnderRequest(table, digest(10+i), "s", start.Add(time.Duration(i)*time.Millisecond))
	}
	v := table.Decision(other, start.Add(time.Minute))
	Expect(v.State).To(Equal(quarantine.Quarantined))
	Expect(v.Info.Customer).To(Equal("other"))
	Expect(v.Since).To(Equal(start))
	Expect(table.Decision(digest(9009), start.Add(time.Minute)).Info.Path).To(Equal("/x"))
	Expect(quarantine.NewRequestInfo("c", "/"+strings.Repeat("x", 5000)).Path).To(HaveLen(200))
})

// Tables that exchange all evidence must converge regardless of order and repetition, and no
// request may be quarantined after fewer than two server exits.
var _ = It("tables that exchange evidence converge, and quarantine no request after fewer than two exits", func() {
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
				for _, e := range exitUnderRequest(table, d, server, now) {
					if seen[e.Digest] == nil {
						seen[e.Digest] = map[string]bool{}
					}
					seen[e.Digest][e.Server] = true
					pool = append(pool, e)
				}
			case 2:
				pool = append(pool, table.RecordSuccess(quarantine.Fingerprint{Digest: d})...)
			case 3:
				if len(pool) > 0 {
					table.Merge(pool[:rapid.IntRange(1, len(pool)).Draw(t, "received")], now)
				}
			}
			now = now.Add(time.Second)
		}
		for range 2 { // exchange all evidence, twice for transitive updates
			for _, table := range all {
				evidence, _ := table.Since(0)
				for _, other := range all {
					other.Merge(evidence, now)
				}
			}
		}
		for _, table := range all[1:] {
			if table.Hash() != all[0].Hash() {
				t.Fatalf("table hashes differ")
			}
			for n := range requests {
				a, b := all[0].Decision(digest(n), now), table.Decision(digest(n), now)
				if fmt.Sprint(a.Servers) != fmt.Sprint(b.Servers) {
					t.Fatalf("request %d: exited servers %v and %v", n, a.Servers, b.Servers)
				}
				if a.State == quarantine.Quarantined && len(seen[digest(n)]) < 2 {
					t.Fatalf("request %d is quarantined after %d exits", n, len(seen[digest(n)]))
				}
			}
		}
	})
})
