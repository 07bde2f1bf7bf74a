package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstream")
}

// plainDialect passes headers through and takes X-Id as the request's ID.
type plainDialect struct{}

func (plainDialect) RequestHeader(r *dispatch.Request, _ dispatch.Attempt) http.Header {
	return r.Header
}

func (plainDialect) ReadResponse(_ int, h http.Header) dispatch.ResponseInfo {
	return dispatch.ResponseInfo{RequestID: h.Get("X-Id")}
}

// rawServer accepts connections and gives each to a handler, with its number.
func rawServer(handle func(n int, conn net.Conn, in *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer GinkgoRecover()
				defer conn.Close()
				handle(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

func send(b *Backend, address, body string) (*dispatch.Response, *dispatch.SendError) {
	return b.Send(context.Background(), &dispatch.Request{
		Method: http.MethodPost, Host: "h.example", URI: "/a/%2Fb?x=1", Header: http.Header{}, Body: []byte(body),
	}, dispatch.Attempt{Server: &fleet.Server{ID: "i-1", Address: address}})
}

func reset(conn net.Conn) {
	Expect(conn.(*net.TCPConn).SetLinger(0)).To(Succeed())
	_ = conn.Close()
}

var _ = Describe("a request to a server", func() {
	It("arrives as the caller wrote it", func() {
		address := rawServer(func(_ int, conn net.Conn, in *bufio.Reader) {
			r, err := http.ReadRequest(in)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.RequestURI).To(Equal("/a/%2Fb?x=1"))
			Expect(r.Host).To(Equal("h.example"))
			body, _ := io.ReadAll(r.Body)
			Expect(string(body)).To(Equal("hello"))
			Expect(r.ContentLength).To(Equal(int64(5)))
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"))
		})
		answer, sendErr := send(New(plainDialect{}), address, "hello")
		Expect(sendErr).To(BeNil())
		body, err := io.ReadAll(answer.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
	})

	It("that is refused at the door wasn't sent", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, sendErr := send(New(plainDialect{}), listener.Addr().String(), "")
		Expect(sendErr.Sent).To(BeFalse())
	})

	It("may have been sent when the connection breaks without an answer", func() {
		address := rawServer(func(_ int, conn net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			reset(conn)
		})
		_, sendErr := send(New(plainDialect{}), address, "x")
		Expect(sendErr.Sent).To(BeTrue())
	})

	It("isn't waited for at a connection that has fallen silent", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		conn, err := NewTransport().DialContext(context.Background(), "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		raw, err := conn.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(raw.Control(func(fd uintptr) {
			option := func(name int) int {
				value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
				Expect(err).NotTo(HaveOccurred())
				return value
			}
			// The system drops it at the first probe that is due once bytes or a probe
			// have stayed unanswered for the user timeout.
			Expect(option(unix.TCP_KEEPIDLE) + option(unix.TCP_KEEPINTVL)).To(Equal(2))
			Expect(option(unix.TCP_USER_TIMEOUT)).To(BeNumerically("<", 2000))
		})).To(Succeed())
	})

	It("is never repeated on its own when a kept connection dies", func() {
		requests := make(chan int, 8)
		address := rawServer(func(n int, conn net.Conn, in *bufio.Reader) {
			for i := 0; ; i++ {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				requests <- n
				if i > 0 {
					reset(conn)
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			}
		})
		b := New(plainDialect{})
		answer, sendErr := send(b, address, "")
		Expect(sendErr).To(BeNil())
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
		_, sendErr = send(b, address, "")
		Expect(sendErr).NotTo(BeNil())
		Expect(sendErr.Sent).To(BeTrue())
		Expect(requests).To(HaveLen(2))
	})

	DescribeTable("whose answer breaks off is known to be cut", func(answer string) {
		address := rawServer(func(_ int, conn net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = conn.Write([]byte(answer))
			reset(conn)
		})
		got, sendErr := send(New(plainDialect{}), address, "")
		if sendErr != nil {
			Expect(sendErr.Sent).To(BeTrue())
			return
		}
		_, err := io.ReadAll(got.Body)
		Expect(err).To(HaveOccurred())
	},
		Entry("by its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"),
		Entry("by its chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhal\r\n"),
		Entry("without a length, by the reset", "HTTP/1.1 200 OK\r\n\r\nhal"),
		Entry("in its header", "HTTP/1.1 200 OK\r\nContent-Le"),
	)

	It("that meets an answer too many is told whose answer it got", func() {
		address := rawServer(func(_ int, conn net.Conn, in *bufio.Reader) {
			for {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok" +
					"HTTP/1.1 200 OK\r\nX-Id: stray\r\nContent-Length: 5\r\n\r\nstray"))
			}
		})
		b := New(plainDialect{})
		for range 5 {
			answer, sendErr := send(b, address, "")
			if sendErr != nil {
				Expect(sendErr.Sent).To(BeTrue())
				continue
			}
			body, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			Expect(answer.Info.RequestID).To(Equal(map[string]string{"ok": "own", "stray": "stray"}[string(body)]))
		}
	})

	It("with a long body takes an answer that comes before the body is read", func() {
		address := rawServer(func(_ int, conn net.Conn, in *bufio.Reader) {
			for {
				line, err := in.ReadString('\n')
				if err != nil || line == "\r\n" {
					break
				}
			}
			_, _ = conn.Write([]byte("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"))
			_, _ = io.CopyN(io.Discard, in, 1<<20)
		})
		answer, sendErr := send(New(plainDialect{}), address, string(make([]byte, 1<<20)))
		Expect(sendErr).To(BeNil())
		Expect(answer.Status).To(Equal(http.StatusRequestEntityTooLarge))
	})

	It("ends at the server when its context ends", func() {
		closed := make(chan struct{})
		address := rawServer(func(_ int, _ net.Conn, in *bufio.Reader) {
			_, _ = http.ReadRequest(in)
			_, _ = in.ReadByte() // returns when the connection is closed
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		_, sendErr := New(plainDialect{}).Send(ctx, &dispatch.Request{Method: http.MethodGet, URI: "/", Header: http.Header{}},
			dispatch.Attempt{Server: &fleet.Server{ID: "i-1", Address: address}})
		Expect(sendErr).NotTo(BeNil())
		if sendErr.Sent {
			Eventually(closed).Should(BeClosed())
		}
	})
})
