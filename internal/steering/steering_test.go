package steering

import (
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/replica"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestSteering(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "steering")
}

// manifest routes gold customers to the west by day and all other labelled customers to
// servers that are not canaries.
const manifest = `
kind: Service
name: writer
service: {protocol: engine, models: [m]}
---
kind: Customer
name: rozsa
labels: {tier: gold, fleet: florists}
customer: {}
---
kind: Customer
name: tulipan
labels: {fleet: florists}
customer: {}
---
kind: Route
name: gold-by-day
route: {priority: 5, service: writer, customers: "tier=gold", servers: "zone=west", windows: [{timezone: UTC, from: "08:00", to: "18:00"}]}
---
kind: Route
name: plain
route: {service: writer, customers: "fleet=florists", servers: "!canary"}
---
kind: Group
name: g1
labels: {canary: "yes"}
group: {service: writer, ranks: 1, experts: 1, layers: 1, slotsPerRank: 1}
---
kind: BackendServer
name: north
labels: {canary: "yes"}
backendServer: {service: writer, zone: north, address: "1.1.1.3:1", control: "1.1.1.3:2"}
---
kind: BackendServer
name: drained
backendServer: {service: writer, zone: west, address: "1.1.1.4:1", control: "1.1.1.4:2", draining: true}
`

var _ = Describe("Filter", func() {
	var rep *replica.Replica
	var s *Filter
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	registry := fleet.NewServers([]*fleet.Server{
		{ID: "west", Service: "writer", Zone: "west", Address: "1.1.1.1:1"},
		{ID: "east", Service: "writer", Zone: "east", Address: "1.1.1.2:1"},
		{ID: "north", Service: "writer", Zone: "north", Address: "1.1.1.3:1"},
		{ID: "drained", Service: "writer", Zone: "west", Address: "1.1.1.4:1"},
		{ID: "rank", Service: "writer", Zone: "east", Address: "1.1.1.5:1", Rank: &fleet.GroupRank{Group: "g1"}},
		{ID: "other", Service: "ledger", Zone: "west", Address: "1.1.1.6:1"},
	})

	apply := func(text string) {
		objects, err := config.ParseManifest([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		bundle := &config.Bundle{CommandID: text, Actor: "op"}
		for _, object := range objects {
			bundle.Changes = append(bundle.Changes, config.Change{
				Kind: object.Kind, Name: object.Name, Object: object, ExpectedRevision: config.AnyRevision,
			})
		}
		record := &config.Record{Format: config.FormatVersion, Kind: config.RecordChange, Bundle: bundle}
		data, err := record.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(rep.Apply(replica.Batch{Entries: []config.LogEntry{{Position: rep.Next(), Data: data}}})).To(Succeed())
		result, _ := rep.Result(text)
		Expect(result.Reason).To(BeEmpty())
		s.compile(rep.View())
	}

	BeforeEach(func() {
		rep = replica.New(time.Now)
		logger, _ := logrustest.NewNullLogger()
		s = New(rep, func() time.Time { return now }, logrus.NewEntry(logger))
	})

	allowed := func(service, customer string) ([]string, string) {
		servers, route := s.Allowed(registry, service, customer)
		ids := []string{}
		for _, server := range servers {
			ids = append(ids, server.ID)
		}
		return ids, route
	}

	It("is ready only after the replica has synced and its configuration is compiled", func() {
		s.compile(rep.View())
		Expect(s.Ready()).To(BeFalse())
		apply(manifest)
		s.ruleSet = nil
		Expect(s.Ready()).To(BeFalse())
		s.compile(rep.View())
		Expect(s.Ready()).To(BeTrue())
	})

	It("is ready when the log is empty", func() {
		s.compile(rep.View())
		Expect(rep.Apply(replica.Batch{})).To(Succeed())
		Expect(s.Ready()).To(BeTrue())
	})

	It("allows all servers of a service without routes", func() {
		ids, route := allowed("ledger", "rozsa")
		Expect(ids).To(ConsistOf("other"))
		Expect(route).To(BeEmpty())
		apply(manifest)
		ids, route = allowed("ledger", "rozsa")
		Expect(ids).To(ConsistOf("other"))
		Expect(route).To(BeEmpty())
	})

	DescribeTable("restricts the servers", func(hour int, customer string, want []string, wantRoute string) {
		now = time.Date(2026, 12, 2, hour, 0, 0, 0, time.UTC)
		apply(manifest)
		ids, route := allowed("writer", customer)
		Expect(ids).To(ConsistOf(want))
		Expect(route).To(Equal(wantRoute))
	},
		Entry("by the route of the highest priority", 12, "rozsa", []string{"west"}, "gold-by-day"),
		Entry("by the next one outside its window", 20, "rozsa", []string{"west", "east"}, "plain"),
		Entry("by the labels of customers", 12, "tulipan", []string{"west", "east"}, "plain"),
		Entry("to none for a customer that no route matches", 12, "stranger", []string{}, NoRoute),
		Entry("to none without a customer", 12, "", []string{}, NoRoute),
	)

	It("applies changes of the configuration and the registry", func() {
		now = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
		apply(manifest)
		ids, _ := allowed("writer", "rozsa")
		Expect(ids).To(ConsistOf("west", "east"))
		apply("kind: Route\nname: plain\nroute: {service: writer, servers: \"zone=east\"}\n")
		ids, _ = allowed("writer", "rozsa")
		Expect(ids).To(ConsistOf("east", "rank"))
		registry := fleet.NewServers([]*fleet.Server{{ID: "new", Service: "writer", Zone: "east", Address: "1.1.1.9:1"}})
		servers, _ := s.Allowed(registry, "writer", "rozsa")
		Expect(servers).To(HaveLen(1))
	})

	It("explains why a server is not allowed", func() {
		now = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)
		apply(manifest)
		route, reasons := s.Explain(registry, "writer", "rozsa")
		Expect(route).To(Equal("plain"))
		Expect(reasons).To(Equal(map[string]string{
			"west": "", "east": "", "north": "its labels don't match !canary", "rank": "its labels don't match !canary",
			"drained": "draining",
		}))
		_, reasons = s.Explain(registry, "writer", "stranger")
		Expect(reasons).To(HaveKeyWithValue("west", "the customer has no active route"))
	})
})
