package daemon

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

var _ = Describe("operators", func() {
	It("are parsed and found by token", func() {
		operator, err := ParseOperator("anna:change:" + HashSecret("token"))
		Expect(err).NotTo(HaveOccurred())
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set("Authorization", "Bearer token")
		found, ok := FindOperator([]Operator{operator}, request)
		Expect(ok).To(BeTrue())
		Expect(found.Name).To(Equal("anna"))
		request.Header.Set("Authorization", "Bearer other")
		_, ok = FindOperator([]Operator{operator}, request)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("are rejected if invalid, without the hash in the error",
		func(value, text string) {
			_, err := ParseOperator(value)
			Expect(err).To(MatchError(ContainSubstring(text)))
			Expect(err.Error()).NotTo(ContainSubstring(strings.Repeat("ab", 32)))
		},
		Entry("missing fields", "anna", "name:role:sha256"),
		Entry("unknown role", "anna:admin:"+strings.Repeat("ab", 32), "read or change"),
		Entry("short hash", "anna:read:abc", "token hash"),
	)
})

var _ = Describe("RequireKey", func() {
	It("rejects requests without the daemon key", func() {
		handler := RequireKey("secret", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server := httptest.NewServer(handler)
		DeferCleanup(server.Close)
		for key, status := range map[string]int{"secret": http.StatusOK, "wrong": http.StatusUnauthorized, "": http.StatusUnauthorized} {
			response, err := NewControlClient(key).Get(server.URL)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(status))
		}
	})
})
