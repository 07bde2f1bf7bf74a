package selector

import (
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSelector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "selector")
}

// newTestIndex compiles a manifest.
func newTestIndex(manifest string) *Index {
	objects, err := config.ParseManifest([]byte(manifest))
	Expect(err).NotTo(HaveOccurred())
	bundle := &config.Bundle{CommandID: "1"}
	for _, o := range objects {
		bundle.Changes = append(bundle.Changes, config.Change{Kind: o.Kind, Name: o.Name, Object: o})
	}
	data, err := (&config.Record{Format: 1, Kind: config.RecordChange, Bundle: bundle}).Encode()
	Expect(err).NotTo(HaveOccurred())
	state := config.NewState()
	Expect(state.Apply(config.LogEntry{Position: 0, Data: data})).To(Succeed())
	Expect(state.Results["1"].Reason).To(BeEmpty())
	index, err := NewIndex(state.View())
	Expect(err).NotTo(HaveOccurred())
	return index
}

const testManifest = `
kind: Customer
name: gold
labels: {tier: gold}
customer: {}
---
kind: Customer
name: plain
customer: {}
---
kind: Service
name: writer
service: {protocol: engine, models: [m, m2]}
---
kind: Service
name: api
service: {protocol: plain, pathPrefix: /api}
---
kind: BackendServer
name: east
labels: {side: east}
backendServer: {service: writer, zone: a, address: "10.0.0.1:1", control: "10.0.0.1:2"}
---
kind: BackendServer
name: west
labels: {side: west}
backendServer: {service: writer, zone: b, address: "10.0.0.2:1", control: "10.0.0.2:2"}
---
kind: Route
name: gold-by-day
route: {priority: 10, service: writer, customers: "tier in (gold)", servers: "side=east", models: [m], windows: [{timezone: Europe/Budapest, days: [Mon, Tue, Wed, Thu, Fri], from: "08:00", to: "18:00"}]}
---
kind: Route
name: rest
route: {service: writer, servers: "side notin (east)"}
---
kind: Route
name: api
route: {service: api}
`

var _ = Describe("routes", func() {
	day := time.Date(2026, 6, 1, 10, 0, 0, 0, time.UTC) // a Monday
	night := time.Date(2026, 6, 1, 20, 0, 0, 0, time.UTC)

	It("are selected by customer, model, time and priority", func() {
		x := newTestIndex(testManifest)
		Expect(x.RouteForModel(x.Customer("gold"), "m", day).Name).To(Equal("gold-by-day"))
		Expect(x.RouteForModel(x.Customer("gold"), "m", night).Name).To(Equal("rest"))
		Expect(x.RouteForModel(x.Customer("gold"), "m2", day).Name).To(Equal("rest"))
		Expect(x.RouteForModel(x.Customer("plain"), "m", day).Name).To(Equal("rest"))
		Expect(x.RouteForModel(x.Customer("plain"), "other", day)).To(BeNil())
	})

	It("contain the servers that match their selector", func() {
		x := newTestIndex(testManifest)
		route := x.RouteForModel(x.Customer("gold"), "m", day)
		Expect(route.Servers).To(HaveLen(1))
		Expect(route.Servers[0].Name).To(Equal("east"))
		Expect(x.Explain(route)).To(HaveKeyWithValue("west", ContainSubstring("side=east")))
	})

	It("provide the same homes at any time of day", func() {
		x := newTestIndex(testManifest)
		homes := x.HomeServers(x.Customer("gold"), "writer")
		Expect(homes).To(HaveLen(2))
		Expect(x.HomeServers(x.Customer("plain"), "writer")).To(HaveLen(1))
		Expect(x.RouteForModel(x.Customer("gold"), "m", day).Servers).NotTo(Equal(x.RouteForModel(x.Customer("gold"), "m", night).Servers))
	})

	It("match paths on segment boundaries", func() {
		x := newTestIndex(testManifest)
		Expect(x.RouteForPath(x.Customer("plain"), "/api/x", day)).NotTo(BeNil())
		Expect(x.RouteForPath(x.Customer("plain"), "/api", day)).NotTo(BeNil())
		Expect(x.RouteForPath(x.Customer("plain"), "/apix", day)).To(BeNil())
	})
})

var _ = DescribeTable("a time window",
	func(w config.Window, at string, open bool) {
		compiled, err := newWindow(w)
		Expect(err).NotTo(HaveOccurred())
		now, err := time.Parse(time.RFC3339, at)
		Expect(err).NotTo(HaveOccurred())
		Expect(compiled.contains(now)).To(Equal(open))
	},
	Entry("opens on the minute", office, "2026-06-01T06:00:00Z", true),
	Entry("is closed a second before", office, "2026-06-01T05:59:59Z", false),
	Entry("closes on the minute", office, "2026-06-01T16:00:00Z", false),
	Entry("is closed on other days", office, "2026-06-07T10:00:00Z", false),
	Entry("follows winter time", office, "2026-01-05T07:00:00Z", true),
	Entry("is closed at the summer opening hour in winter", office, "2026-01-05T06:30:00Z", false),
	Entry("past midnight belongs to the day on which it started", overnight, "2026-06-06T01:00:00Z", true),
	Entry("past midnight is closed after an unlisted day", overnight, "2026-06-05T01:00:00Z", false),
	// 29 March 2026: 02:00 becomes 03:00 in Budapest; 25 October 2026: 03:00 becomes 02:00.
	Entry("starting in a skipped hour opens right after it", earlyMorning, "2026-03-29T01:00:00Z", true),
	Entry("is open in the first pass of a repeated hour", earlyMorning, "2026-10-25T00:45:00Z", true),
	Entry("is open in the second pass of a repeated hour", earlyMorning, "2026-10-25T01:45:00Z", true),
	Entry("follows the day of another time zone", lagos, "2026-06-01T23:30:00Z", true),
)

var (
	office       = config.Window{Timezone: "Europe/Budapest", Days: []string{"Mon", "Tue", "Wed", "Thu", "Fri"}, From: "08:00", To: "18:00"}
	overnight    = config.Window{Timezone: "UTC", Days: []string{"Fri"}, From: "22:00", To: "06:00"}
	earlyMorning = config.Window{Timezone: "Europe/Budapest", From: "02:30", To: "03:30"}
	lagos        = config.Window{Timezone: "Africa/Lagos", Days: []string{"Tue"}, From: "00:00", To: "06:00"}
)
