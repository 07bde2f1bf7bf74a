package ranks

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// maxDatagram bounds a message in bytes, so that it fits into an Ethernet frame with
	// its MAC and headers.
	maxDatagram = 1400
	// resendAfter is how long a call waits for a response before it is sent again: several
	// round trips between zones and a command to the engine.
	resendAfter = 40 * time.Millisecond
)

// udpClient sends a holder's calls as datagrams. It resends calls without response;
// calls are idempotent. Safe for concurrent use.
type udpClient struct {
	conn net.PacketConn
	auth authenticator

	mu      sync.Mutex // leaf lock
	next    uint64
	pending map[uint64]chan *peerrpc.RankAnswer
}

// newUDPClient opens a socket at an IP address. Call IDs start after first, which
// should be random, so that late responses to an earlier client don't match.
func newUDPClient(ip string, auth authenticator, first uint64) (*udpClient, error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "open socket for rank calls")
	}
	c := &udpClient{conn: conn, auth: auth, next: first, pending: map[uint64]chan *peerrpc.RankAnswer{}}
	go c.receive()
	return c, nil
}

// close closes the socket. Calls in progress end with their contexts.
func (c *udpClient) close() { _ = c.conn.Close() }

// receive delivers responses to pending calls until close.
func (c *udpClient) receive() {
	buffer := make([]byte, maxSignedDatagram)
	for {
		n, _, err := c.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var response peerrpc.RankAnswer
		data, ok := c.auth.verify(buffer[:n])
		if !ok || proto.Unmarshal(data, &response) != nil {
			continue // invalid MAC or encoding
		}
		c.mu.Lock()
		pending := c.pending[response.GetId()]
		delete(c.pending, response.GetId())
		c.mu.Unlock()
		if pending != nil {
			pending <- &response
		}
	}
}

// call sends a call until there is a response or the context ends. It sets the call's ID.
func (c *udpClient) call(ctx context.Context, address string, call *peerrpc.RankCall) (*peerrpc.RankAnswer, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "agent address")
	}
	responded := make(chan *peerrpc.RankAnswer, 1)
	call.Id = c.register(responded)
	defer c.unregister(call.Id)
	data, err := proto.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "encode rank call")
	}
	data = c.auth.sign(data)
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	for {
		if _, err := c.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			return nil, errors.Wrapf(err, "rank call to %s", address)
		}
		select {
		case response := <-responded:
			return response, nil
		case <-resend.C:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "rank call to %s", address)
		}
	}
}

func (c *udpClient) register(responded chan *peerrpc.RankAnswer) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	c.pending[c.next] = responded
	return c.next
}

func (c *udpClient) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}
