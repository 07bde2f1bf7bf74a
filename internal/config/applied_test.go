package config

import (
	"fmt"

	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventEntry returns the audited event with a number, at a position.
func eventEntry(at storelog.Position, number int) LogEntry {
	data, err := (&Record{Format: FormatVersion, Kind: RecordEvent, Event: &Event{Actor: "h", Action: AuditMap, Object: fmt.Sprint("Group/", number)}}).Encode()
	Expect(err).NotTo(HaveOccurred())
	return LogEntry{Position: at, TimeMs: int64(number), Data: data}
}

var _ = Describe("the records that a state recognizes", func() {
	It("are bounded, and the newest ones", func() {
		const records = 5 * maxApplied
		state := NewState()
		for i := range records {
			Expect(state.Apply(eventEntry(storelog.Position(i), i))).To(Succeed())
			Expect(len(state.Applied)).To(BeNumerically("<=", 2*maxApplied*appliedSize))
		}
		var copied []LogEntry
		const first = records - maxApplied
		for i := first; i < records; i++ {
			copied = append(copied, eventEntry(storelog.NewPosition(1, int64(i)), i))
		}
		Expect(state.containedPrefix(copied)).To(Equal(maxApplied))
		Expect(state.containedPrefix(copied[:1])).To(Equal(1))
	})

	It("don't include records of other offsets or without data", func() {
		state := NewState()
		Expect(state.Apply(eventEntry(0, 1))).To(Succeed())
		Expect(state.Apply(LogEntry{Position: 1})).To(Succeed())
		Expect(state.containedPrefix([]LogEntry{eventEntry(storelog.NewPosition(1, 1), 1)})).To(BeZero())
		Expect(state.containedPrefix([]LogEntry{{Position: storelog.NewPosition(1, 1)}})).To(BeZero())
	})
})
