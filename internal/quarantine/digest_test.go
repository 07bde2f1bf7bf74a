package quarantine_test

import (
	"encoding/json"
	"testing"

	"github.com/crowbridge/crowbridge/internal/quarantine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var _ = Describe("a digest", func() {
	of := func(customer, method, host, uri, body string) quarantine.Digest {
		return quarantine.DigestOf(customer, method, host, uri, []byte(body))
	}
	first := of("florist", "POST", "h.example", "/a/x?p=1", "body")

	It("is the same for a retry", func() {
		Expect(of("florist", "POST", "h.example", "/a/x?p=1", "body")).To(Equal(first))
	})

	DescribeTable("differs with", func(other quarantine.Digest) { Expect(other).NotTo(Equal(first)) },
		Entry("the customer", of("mine", "POST", "h.example", "/a/x?p=1", "body")),
		Entry("the method", of("florist", "PUT", "h.example", "/a/x?p=1", "body")),
		Entry("the host", of("florist", "POST", "i.example", "/a/x?p=1", "body")),
		Entry("the query", of("florist", "POST", "h.example", "/a/x?p=2", "body")),
		Entry("the body", of("florist", "POST", "h.example", "/a/x?p=1", "bodies")),
		Entry("the boundary between two fields", of("florist", "POST", "h.example/a", "/x?p=1", "body")),
	)

	It("is logged as hexadecimal text, and parsed from it", func() {
		Expect(quarantine.ParseDigest(first.String())).To(Equal(first))
		inLog, err := json.Marshal(map[string]any{"digest": first})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(inLog)).To(Equal(`{"digest":"` + first.String() + `"}`))
		_, err = quarantine.ParseDigest("12")
		Expect(err).To(MatchError(ContainSubstring("use 32 hexadecimal digits")))
	})
})
