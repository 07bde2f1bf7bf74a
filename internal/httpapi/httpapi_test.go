package httpapi

import (
	"bytes"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHTTPAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "httpapi")
}

var _ = Describe("EventReader", func() {
	It("returns events with their token offsets", func() {
		r := NewEventReader(strings.NewReader("id: 7\ndata: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n"))
		first, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(first.ID).To(Equal(int64(7)))
		Expect(string(first.Raw)).To(Equal("id: 7\ndata: a\n\n"))
		second, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(second.ID).To(Equal(int64(-1)))
		last, err := r.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Done).To(BeTrue())
		_, err = r.Next()
		Expect(err).To(MatchError(io.EOF))
	})

	It("returns an error for a partial event", func() {
		r := NewEventReader(strings.NewReader("id: 1\ndata: a"))
		_, err := r.Next()
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("limits the size of an event", func() {
		r := NewEventReader(strings.NewReader(strings.Repeat("x", maxEventBytes+2*eventBuffer)))
		_, err := r.Next()
		Expect(err).To(MatchError(ErrEventTooLong))
	})

	It("fails a stream of comments without an event, but not comments between events", func() {
		comment := ": " + strings.Repeat("x", 1000) + "\n\n"
		read := func(text string) error {
			reader := NewEventReader(strings.NewReader(text))
			for {
				if _, err := reader.Next(); err != nil {
					return err
				}
			}
		}
		comments := strings.Repeat(comment, maxEventBytes/len(comment))
		Expect(read(comments + "data: x\n\n" + comments)).To(MatchError(io.EOF))
		Expect(read(comments + "id: 1\n\n" + comments)).To(MatchError(io.EOF))
		Expect(read(comments + comment)).To(MatchError(ErrEventTooLong))
	})
})

// FuzzEvents checks that the events are the unmodified start of the input.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("id: x\r\n\r\n\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewEventReader(bytes.NewReader(data))
		var all []byte
		for {
			event, err := r.Next()
			if err != nil {
				break
			}
			all = append(all, event.Raw...)
		}
		if !bytes.HasPrefix(data, all) {
			t.Fatal("the events differ from the input")
		}
	})
}

// FuzzCompletion checks that no body makes the parser panic, and that no accepted request has a
// negative cost.
func FuzzCompletion(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":"m","prompt":"x","max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := ParseCompletion(data)
		if err == nil && c.Cost() < 0 {
			t.Fatal("negative cost")
		}
		if err == nil {
			c.Prefix()
		}
	})
}
