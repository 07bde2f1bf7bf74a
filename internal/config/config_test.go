package config

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const goodManifest = `
kind: Service
name: writer
service: {protocol: engine, models: [m]}
---
kind: BackendServer
name: s1
labels: {region: hu}
backendServer: {service: writer, zone: a, address: "10.0.0.1:80", control: "10.0.0.1:81"}
---
kind: Route
name: r
route: {service: writer, servers: "region in (hu)", windows: [{timezone: Europe/Budapest, days: [Mon], from: "08:00", to: "17:00"}]}
`

// applyManifest applies a manifest as one bundle and returns its result.
func applyManifest(s *State, command, manifest string, expected int64) Result {
	objects, err := ParseManifest([]byte(manifest))
	Expect(err).NotTo(HaveOccurred())
	bundle := &Bundle{CommandID: command, Actor: "op", Reason: "test"}
	for _, o := range objects {
		bundle.Changes = append(bundle.Changes, Change{Kind: o.Kind, Name: o.Name, Object: o, ExpectedRevision: expected})
	}
	return applyBundle(s, bundle)
}

func applyBundle(s *State, bundle *Bundle) Result {
	data, err := (&Record{Format: FormatVersion, Kind: RecordChange, Bundle: bundle}).Encode()
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Apply(LogEntry{Position: s.Position + 1, TimeMs: 1, Data: data})).To(Succeed())
	return s.Results[bundle.CommandID]
}

var _ = Describe("a bundle of changes", func() {
	It("is accepted as a whole", func() {
		s := NewState()
		Expect(applyManifest(s, "1", goodManifest, 0).Accepted).To(BeTrue())
		Expect(s.View().List(KindBackendServer)).To(HaveLen(1))
	})

	It("is rejected as a whole if one change is invalid", func() {
		s := NewState()
		result := applyManifest(s, "1", goodManifest+"---\nkind: Route\nname: r2\nroute: {service: nowhere}\n", 0)
		Expect(result.Accepted).To(BeFalse())
		Expect(result.Reason).To(ContainSubstring("Route/r2: field route.service"))
		Expect(s.Objects).To(BeEmpty())
	})

	It("is rejected with a reason if a concurrent one has a lower offset", func() {
		s := NewState()
		applyManifest(s, "1", goodManifest, 0)
		revision := s.Objects["Service/writer"].Revision
		change := "kind: Service\nname: writer\nservice: {protocol: engine, models: [m, m2]}\n"
		Expect(applyManifest(s, "first", change, revision).Accepted).To(BeTrue())
		second := applyManifest(s, "second", change, revision)
		Expect(second.Accepted).To(BeFalse())
		Expect(second.Reason).To(ContainSubstring("changed meanwhile"))
	})

	It("takes effect once if it is on the log repeatedly", func() {
		s := NewState()
		applyManifest(s, "1", goodManifest, 0)
		first := s.Results["1"]
		applyManifest(s, "1", goodManifest, 0)
		Expect(s.Results["1"]).To(Equal(first))
		Expect(s.Audit).To(HaveLen(1))
	})

	It("can't give two services the same path prefix", func() {
		s := NewState()
		plain := "kind: Service\nname: %s\nservice: {protocol: plain, pathPrefix: /x}\n"
		Expect(applyManifest(s, "1", strings.ReplaceAll(plain, "%s", "one"), 0).Accepted).To(BeTrue())
		result := applyManifest(s, "2", strings.ReplaceAll(plain, "%s", "two"), 0)
		Expect(result.Accepted).To(BeFalse())
		Expect(result.Reason).To(ContainSubstring("service one has it already"))
	})

	It("can't delete a referenced object", func() {
		s := NewState()
		applyManifest(s, "1", goodManifest, 0)
		result := applyBundle(s, &Bundle{CommandID: "2", Changes: []Change{{Kind: KindService, Name: "writer", ExpectedRevision: AnyRevision}}})
		Expect(result.Accepted).To(BeFalse())
		Expect(result.Reason).To(ContainSubstring("names it in"))
	})

	It("doesn't change an earlier view", func() {
		s := NewState()
		applyManifest(s, "1", goodManifest, 0)
		view := s.View()
		applyBundle(s, &Bundle{CommandID: "2", Changes: []Change{{Kind: KindRoute, Name: "r", ExpectedRevision: AnyRevision}}})
		Expect(view.Get(KindRoute, "r")).NotTo(BeNil())
		Expect(s.View().Get(KindRoute, "r")).To(BeNil())
	})
})

var _ = Describe("homes of keys", func() {
	It("change with servers, routes and customer labels, not with draining", func() {
		s := NewState()
		applyManifest(s, "1", goodManifest, 0)
		first := s.View().HomesChange("writer")
		Expect(first.Offset).To(BeZero())
		drained := "kind: BackendServer\nname: s1\nlabels: {region: hu}\nbackendServer: {service: writer, zone: a, address: \"10.0.0.1:80\", control: \"10.0.0.1:81\", draining: true}\n"
		Expect(applyManifest(s, "2", drained, AnyRevision).Accepted).To(BeTrue())
		Expect(s.View().HomesChange("writer")).To(Equal(first))
		Expect(applyManifest(s, "3", strings.ReplaceAll(drained, "s1", "s2"), 0).Accepted).To(BeTrue())
		Expect(s.View().HomesChange("writer").Offset).To(Equal(int64(2)))
		applyBundle(s, &Bundle{CommandID: "4", Changes: []Change{{Kind: KindBackendServer, Name: "s2", ExpectedRevision: AnyRevision}}})
		Expect(s.View().HomesChange("writer").Offset).To(Equal(int64(3)))
		applyBundle(s, &Bundle{CommandID: "5", Changes: []Change{{Kind: KindRoute, Name: "r", ExpectedRevision: AnyRevision}}})
		Expect(s.View().HomesChange("writer").Offset).To(Equal(int64(4)))
		selective := "kind: Route\nname: some\nroute: {service: writer, customers: \"tier=gold\"}\n---\nkind: Customer\nname: c\nlabels: {tier: gold}\ncustomer: {}\n"
		Expect(applyManifest(s, "6", selective, 0).Accepted).To(BeTrue())
		Expect(applyManifest(s, "7", "kind: Customer\nname: c\nlabels: {tier: gold}\ncustomer: {weight: 3}\n", AnyRevision).Accepted).To(BeTrue())
		Expect(s.View().HomesChange("writer").Offset).To(Equal(int64(5)))
		Expect(applyManifest(s, "8", "kind: Customer\nname: c\nlabels: {tier: tin}\ncustomer: {}\n", AnyRevision).Accepted).To(BeTrue())
		Expect(s.View().HomesChange("writer").Offset).To(Equal(int64(7)))
	})
})

var _ = DescribeTable("validation errors name the object, field, value and fix",
	func(manifest string, parts ...string) {
		_, err := ParseManifest([]byte(manifest))
		Expect(err).To(HaveOccurred())
		for _, part := range parts {
			Expect(err.Error()).To(ContainSubstring(part))
		}
	},
	Entry("empty", "", "no object"),
	Entry("not YAML", "kind: [", "document 1"),
	Entry("unknown field", "kind: Policy\nname: default\npolicy: {retry: 1}", "retry"),
	Entry("unknown kind", "kind: Thing\nname: x\npolicy: {}", "kind", "Thing"),
	Entry("spec of another kind", "kind: Route\nname: x\npolicy: {}", "Route/x", "spec"),
	Entry("name", "kind: Policy\nname: Default!\npolicy: {}", "name", "lower-case"),
	Entry("label", "kind: Customer\nname: c\nlabels: {a b: c}\ncustomer: {}", "labels", "a b"),
	Entry("weight", "kind: Customer\nname: c\ncustomer: {weight: -1}", "Customer/c", "customer.weight", "-1", "use 1 to"),
	Entry("key hash", "kind: Customer\nname: c\ncustomer: {keyHashes: [abc]}", "customer.keyHashes", "SHA-256"),
	Entry("protocol", "kind: Service\nname: s\nservice: {protocol: ftp}", "service.protocol", "engine or plain"),
	Entry("models", "kind: Service\nname: s\nservice: {protocol: engine}", "service.models"),
	Entry("prefix", "kind: Service\nname: s\nservice: {protocol: plain, pathPrefix: /v1/x}", "service.pathPrefix"),
	Entry("class", "kind: Service\nname: s\nservice: {protocol: plain, pathPrefix: /x, class: soon}", "service.class"),
	Entry("address", "kind: BackendServer\nname: s\nbackendServer: {service: a, zone: z, address: host:1, control: \"1.2.3.4:5\"}", "backendServer.address", "IP:port"),
	Entry("selector", "kind: Route\nname: r\nroute: {service: s, servers: \"a in\"}", "route.servers"),
	Entry("timezone", "kind: Route\nname: r\nroute: {service: s, windows: [{timezone: Mars, from: \"08:00\", to: \"09:00\"}]}", "windows[0].timezone", "IANA"),
	Entry("day", "kind: Route\nname: r\nroute: {service: s, windows: [{timezone: UTC, days: [Monday], from: \"08:00\", to: \"09:00\"}]}", "windows[0].days", "Mon"),
	Entry("time", "kind: Route\nname: r\nroute: {service: s, windows: [{timezone: UTC, from: \"8\", to: \"09:00\"}]}", "windows[0].from", "HH:MM"),
	Entry("slots", "kind: Group\nname: g\ngroup: {service: s, ranks: 2, experts: 8, layers: 1, slotsPerRank: 2}", "group.slotsPerRank"),
	Entry("policy name", "kind: Policy\nname: other\npolicy: {}", "default"),
)

var _ = Describe("the audit trail", func() {
	It("detects an altered entry", func() {
		s := NewState()
		applyManifest(s, "1", goodManifest, 0)
		applyManifest(s, "2", "kind: Policy\nname: default\npolicy: {}\n", 0)
		Expect(VerifyAudit(s.Audit)).To(Succeed())
		s.Audit[1].Actor = "other"
		Expect(VerifyAudit(s.Audit)).To(MatchError(ContainSubstring("altered")))
	})

	It("names changed objects without their content", func() {
		s := NewState()
		applyManifest(s, "1", "kind: Customer\nname: c\ncustomer: {keyHashes: ["+strings.Repeat("ab", 32)+"]}\n", 0)
		Expect(s.Audit[0].Objects).To(Equal([]string{"Customer/c"}))
	})
})

func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(goodManifest))
	f.Add([]byte("kind: Policy\nname: default\npolicy: {}\n---\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		objects, err := ParseManifest(data)
		if err == nil && len(objects) == 0 {
			panic("neither objects nor an error")
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"format":1,"kind":"change","bundle":{"commandId":"1","changes":[{"kind":"Policy","name":"default","object":{"kind":"Policy","name":"default","policy":{}}}]}}`))
	f.Add([]byte(`{"format":1,"kind":"snapshot","snapshot":{"count":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		if err := s.Apply(LogEntry{Position: 0, Data: data}); err != nil {
			t.Fatal(err)
		}
	})
}
