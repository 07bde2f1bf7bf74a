package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/replica"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an entry", func() {
	DescribeTable("rejects invalid requests with a 4xx that names the cause",
		func(key, path, body string, headers header, status int, text string) {
			f := newFixture([]string{fakeAgent(respondWith("ok"))}, []string{fakeAgent(respondWith("ok"))})
			response, content := f.post(key, path, body, headers)
			Expect(response.StatusCode).To(Equal(status), content)
			Expect(failureIn(content).Message).To(ContainSubstring(text))
			Expect(failureIn(content).Outcome).To(Equal("not-run"))
		},
		Entry("unknown key", "wrong", "/v1/chat/completions", completion, nil, 401, "unknown API key"),
		Entry("no JSON", keyOfRozsa, "/v1/chat/completions", "{", nil, 400, "body"),
		Entry("no model", keyOfRozsa, "/v1/chat/completions", `{"messages":[1]}`, nil, 400, "model"),
		Entry("no messages", keyOfRozsa, "/v1/chat/completions", `{"model":"petal-7b"}`, nil, 400, "messages"),
		Entry("too many tokens", keyOfRozsa, "/v1/chat/completions", `{"model":"m","max_tokens":99999999,"prompt":"x"}`, nil, 400, "max_tokens"),
		Entry("unknown model", keyOfRozsa, "/v1/chat/completions", `{"model":"other","prompt":"x"}`, nil, 404, "/v1/models"),
		Entry("unknown path", keyOfRozsa, "/nowhere", "x", nil, 404, "route"),
		Entry("invalid class", keyOfRozsa, "/dispatch/x", "x", header{headers.Class: "soon"}, 400, "urgent, normal or patient"),
		Entry("invalid deadline", keyOfRozsa, "/dispatch/x", "x", header{headers.Deadline: "-1"}, 400, "milliseconds"),
		Entry("invalid flag", keyOfRozsa, "/dispatch/x", "x", header{headers.Idempotent: "perhaps"}, 400, "true or false"),
		Entry("key too long", keyOfRozsa, "/dispatch/x", "x", header{headers.IdempotencyKey: strings.Repeat("k", 300)}, 400, "at most 255"),
		Entry("body too large", keyOfRozsa, "/dispatch/x", strings.Repeat("x", 2<<20), nil, 413, "body size"),
	)

	It("rejects malformed HTTP with a 400", func() {
		f := newFixture(nil, nil)
		Expect(f.send("\x00\x01\x02 nonsense\r\n\r\n")).To(ContainSubstring(" 400 "))
	})

	It("returns 503 with Retry-After before a configuration is known", func() {
		f := newEmptyFixture()
		response, content := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(failureIn(content).Outcome).To(Equal("not-run"))
	})

	It("returns 503 when the connection limit is reached", func() {
		f := serveEntryFor(replica.New(time.Now), 1)
		first, err := net.Dial("tcp", f.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(first.Close)
		_, err = io.WriteString(first, "GET ")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() string { return f.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n") }, "5s").Should(ContainSubstring("503"))
	})

	It("doesn't let a customer cancel another customer's request", func() {
		release := make(chan struct{})
		arrived := make(chan string, 1)
		agent := fakeAgent(func(w http.ResponseWriter, r *http.Request) {
			arrived <- r.Header.Get(headers.RequestID)
			<-release
			respondWith("mine")(w, r)
		})
		f := newFixture([]string{agent}, nil)
		responses := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
			responses <- body
		}()
		id := <-arrived
		Expect(f.cancel(keyOfTulipan, id)).To(Equal(http.StatusNotFound))
		close(release)
		Eventually(responses, "5s").Should(Receive(Equal("mine")))
	})

	It("cancels a request for the customer that sent it", func() {
		arrived := make(chan string, 1)
		agent := fakeAgent(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			arrived <- r.Header.Get(headers.RequestID)
			<-r.Context().Done()
		})
		f := newFixture([]string{agent}, nil)
		responses := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
			responses <- body
		}()
		Expect(f.cancel(keyOfRozsa, <-arrived)).To(Equal(http.StatusAccepted))
		var body string
		Eventually(responses, "5s").Should(Receive(&body))
		Expect(failureIn(body).Code).To(Equal("canceled"))
	})

	It("returns 429 when a customer has too many requests in flight", func() {
		release := make(chan struct{})
		arrived := make(chan struct{}, 8)
		agent := fakeAgent(func(w http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			<-release
			respondWith("ok")(w, r)
		})
		f := newFixture([]string{agent}, nil)
		for range 4 {
			go func() {
				defer GinkgoRecover()
				f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
			}()
		}
		for range 4 {
			<-arrived
		}
		response, _ := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
		Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		close(release)
		Eventually(func() int64 { return f.entry.OutcomeCounts().InFlight }, "5s").Should(BeZero())
	})

	It("forwards path, headers and body to a plain service unchanged, except the API key", func() {
		requests := make(chan *http.Request, 1)
		bodies := make(chan string, 1)
		agent := fakeAgent(func(w http.ResponseWriter, r *http.Request) {
			content, _ := io.ReadAll(r.Body)
			bodies <- string(content)
			requests <- r.Clone(context.Background())
			respondWith("ok")(w, r)
		})
		f := newFixture(nil, []string{agent})
		f.post(keyOfRozsa, "/dispatch/a%20b?c=d", "\x00raw\xff", header{"X-Own": "v"})
		r := <-requests
		Expect(r.RequestURI).To(Equal("/dispatch/a%20b?c=d"))
		Expect(r.Header.Get("X-Own")).To(Equal("v"))
		Expect(r.Header.Get("Authorization")).To(BeEmpty())
		Expect(<-bodies).To(Equal("\x00raw\xff"))
	})
})

func (f *fixture) cancel(key, id string) int {
	request, err := http.NewRequest(http.MethodDelete, "http://"+f.address+"/v1/requests/"+id, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	return response.StatusCode
}
