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

var _ = Describe("a request's permit", func() {
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

	sendWith := func(body string, permit func() error) *dispatch.SendError {
		answer, sendErr := b.Send(context.Background(), &dispatch.Request{
			Method: http.MethodPost, Host: "h.example", URI: "/", Header: http.Header{}, Body: []byte(body),
		}, dispatch.Attempt{Server: &fleet.Server{ID: "i-1", Address: address}, SendCheck: permit})
		if sendErr == nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		return sendErr
	}
	granted := func() error { return nil }
	refused := func() error {
		return &eligibility.ExcludedError{Exclusion: &eligibility.Exclusion{Reason: eligibility.Leaving}}
	}

	It("is asked once a connection is there, on a new and on a kept one", func() {
		asked := 0
		ask := func() error { asked++; return nil }
		Expect(sendWith("x", ask)).To(BeNil())
		Expect(sendWith("x", ask)).To(BeNil())
		Expect(asked).To(Equal(2))
	})

	DescribeTable("that is refused lets nothing out, and the request wasn't sent", func(body string, kept bool) {
		if kept {
			Expect(sendWith("x", granted)).To(BeNil())
			requests.Store(0)
		}
		sendErr := sendWith(body, refused)
		Expect(sendErr).NotTo(BeNil())
		Expect(sendErr.Sent).To(BeFalse())
		var bar *eligibility.ExcludedError
		Expect(errors.As(sendErr, &bar)).To(BeTrue())
		Expect(sendWith("x", granted)).To(BeNil(), "the next request isn't held to it")
		Expect(requests.Load()).To(Equal(int64(1)))
	},
		Entry("on a new connection", "body", false),
		Entry("on a kept connection", "body", true),
		Entry("without a body", "", true),
		Entry("with a body larger than any buffer", string(make([]byte, 1<<20)), true),
	)
})
