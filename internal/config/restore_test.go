package config

import (
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// appendRestore applies the records that carry a state over into an era.
func appendRestore(s, carried *State, era int64) {
	records, err := EncodeRestore(carried, era, carried.Position)
	Expect(err).NotTo(HaveOccurred())
	for _, record := range records {
		Expect(s.Apply(LogEntry{Position: s.Position + 1, TimeMs: 1, Data: record})).To(Succeed())
	}
}

var _ = Describe("a state that is carried over into another era", func() {
	older, newer := NewState(), NewState()
	applyManifest(older, "1", "kind: Customer\nname: c\ncustomer: {weight: 1}\n", 0)
	applyManifest(newer, "2", "kind: Customer\nname: c\ncustomer: {weight: 2}\n", 0)
	weight := func(s *State) int { return s.View().Get(KindCustomer, "c").Customer.Weight }

	It("replaces those of earlier eras", func() {
		s := NewState()
		s.EnterEra(storelog.NewPosition(2, -1))
		appendRestore(s, older, 1)
		Expect(weight(s)).To(Equal(1))
		appendRestore(s, newer, 2)
		Expect(weight(s)).To(Equal(2))
	})

	It("isn't replaced by one of an earlier era that is added late", func() {
		s := NewState()
		s.EnterEra(storelog.NewPosition(2, -1))
		appendRestore(s, newer, 2)
		appendRestore(s, older, 1)
		Expect(weight(s)).To(Equal(2))
	})
})
