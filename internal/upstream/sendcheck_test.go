package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

var _ = Describe("a send check", func() {
	var requests atomic.Int64
	var address string
	var b *Backend

	BeforeEach(func() {
		requests.Store(0)
		address = rawServer(func(_ int, conn net.Conn, in *bufio.Reader) {
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				requests.Add(1)
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		b = New(plainDialect{})
	})

	sendWith := func(body string, check func() error) *dispatch.SendError {
		response, sendErr := b.Send(context.Background(), &dispatch.Request{
			Method: http.MethodPost, Host: "h.example", URI: "/", Header: http.Header{}, Body: []byte(body),
		}, dispatch.Attempt{Server: &fleet.Server{ID: "i-1", Address: address}, SendCheck: check})
		if sendErr == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		return sendErr
	}
	pass := func() error { return nil }
	fail := func() error {
		return &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Leaving}}
	}

	It("runs once per request, on new and reused connections", func() {
		checks := 0
		check := func() error { checks++; return nil }
		Expect(sendWith("x", check)).To(BeNil())
		Expect(sendWith("x", check)).To(BeNil())
		Expect(checks).To(Equal(2))
	})

	DescribeTable("that fails prevents the request from being sent", func(body string, reused bool) {
		if reused {
			Expect(sendWith("x", pass)).To(BeNil())
			requests.Store(0)
		}
		sendErr := sendWith(body, fail)
		Expect(sendErr).NotTo(BeNil())
		Expect(sendErr.Sent).To(BeFalse())
		var excluded *eligibility.ExcludedError
		Expect(errors.As(sendErr, &excluded)).To(BeTrue())
		Expect(sendWith("x", pass)).To(BeNil(), "the next request isn't affected")
		Expect(requests.Load()).To(Equal(int64(1)))
	},
		Entry("on a new connection", "body", false),
		Entry("on a reused connection", "body", true),
		Entry("without a body", "", true),
		Entry("with a body larger than the buffers", string(make([]byte, 1<<20)), true),
	)
})
