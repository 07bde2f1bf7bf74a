package replica

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("persisting the state", func() {
	It("happens at once after a change, and periodically after other records", func() {
		now := time.Unix(1000, 0)
		schedule := snapshotSchedule{position: storelog.Unknown, configured: config.NoOffset, persistedAt: now}
		view := &config.View{Position: storelog.Unknown, Configured: config.NoOffset}
		Expect(schedule.due(now.Add(time.Hour), view)).To(BeFalse(), "nothing to persist")
		view = &config.View{Position: 0, Configured: 0}
		Expect(schedule.due(now, view)).To(BeTrue())
		schedule.recordPersisted(now, view)
		Expect(schedule.due(now.Add(time.Hour), view)).To(BeFalse())
		view = &config.View{Position: 4, Configured: 0}
		Expect(schedule.due(now.Add(maxPersistInterval-time.Second), view)).To(BeFalse())
		Expect(schedule.due(now.Add(maxPersistInterval), view)).To(BeTrue())
		schedule.recordPersisted(now.Add(maxPersistInterval), view)
		view = &config.View{Position: 5, Configured: 5}
		Expect(schedule.due(now.Add(maxPersistInterval), view)).To(BeTrue())
	})
})
