package replica

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("keeping the state", func() {
	It("follows a change at once, and other records from time to time", func() {
		now := time.Unix(1000, 0)
		k := snapshotSchedule{position: storelog.Unknown, configured: config.NoOffset, persistedAt: now}
		view := &config.View{Position: storelog.Unknown, Configured: config.NoOffset}
		Expect(k.due(now.Add(time.Hour), view)).To(BeFalse(), "nothing to keep")
		view = &config.View{Position: 0, Configured: 0}
		Expect(k.due(now, view)).To(BeTrue())
		k.recordPersisted(now, view)
		Expect(k.due(now.Add(time.Hour), view)).To(BeFalse())
		view = &config.View{Position: 4, Configured: 0}
		Expect(k.due(now.Add(maxPersistInterval-time.Second), view)).To(BeFalse())
		Expect(k.due(now.Add(maxPersistInterval), view)).To(BeTrue())
		k.recordPersisted(now.Add(maxPersistInterval), view)
		view = &config.View{Position: 5, Configured: 5}
		Expect(k.due(now.Add(maxPersistInterval), view)).To(BeTrue())
	})
})
