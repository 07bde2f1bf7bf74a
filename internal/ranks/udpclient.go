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
	// maxDatagram bounds a message, in bytes: with its seal and the headers it fits
	// into an Ethernet frame.
	maxDatagram = 1400
	// resendAfter is how long a call waits for its answer before it's sent again: some
	// round trips between zones and an order to the engine.
	resendAfter = 40 * time.Millisecond
)

// link carries a holder's calls as datagrams. A lost one is sent again; agents
// may get a call twice, which changes nothing. Safe for concurrent use.
type udpClient struct {
	conn net.PacketConn
	auth authenticator

	mu      sync.Mutex // a leaf
	next    uint64
	pending map[uint64]chan *peerrpc.RankAnswer
}

// newLink opens a socket at an IP address. first begins the numbers of calls:
// late answers to an earlier link must not match.
func newUDPClient(ip string, auth authenticator, first uint64) (*udpClient, error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "rank calls")
	}
	l := &udpClient{conn: conn, auth: auth, next: first, pending: map[uint64]chan *peerrpc.RankAnswer{}}
	go l.receive()
	return l, nil
}

// close ends the link. Calls under way end with their contexts.
func (l *udpClient) close() { _ = l.conn.Close() }

// receive hands answers to the calls that wait for them, until close.
func (l *udpClient) receive() {
	buffer := make([]byte, maxSignedDatagram)
	for {
		n, _, err := l.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var response peerrpc.RankAnswer
		data, ok := l.auth.verify(buffer[:n])
		if !ok || proto.Unmarshal(data, &response) != nil {
			continue // not from an agent of this deployment
		}
		l.mu.Lock()
		pending := l.pending[response.GetId()]
		delete(l.pending, response.GetId())
		l.mu.Unlock()
		if pending != nil {
			pending <- &response
		}
	}
}

// call sends a call until it's answered or the context ends. It sets the call's ID.
func (l *udpClient) call(ctx context.Context, address string, call *peerrpc.RankCall) (*peerrpc.RankAnswer, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "rank calls")
	}
	responded := make(chan *peerrpc.RankAnswer, 1)
	call.Id = l.register(responded)
	defer l.unregister(call.Id)
	data, err := proto.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "rank calls")
	}
	data = l.auth.sign(data)
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	for {
		if _, err := l.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			return nil, errors.Wrapf(err, "rank calls to %s", address)
		}
		select {
		case response := <-responded:
			return response, nil
		case <-resend.C:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "rank calls to %s", address)
		}
	}
}

func (l *udpClient) register(responded chan *peerrpc.RankAnswer) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.pending[l.next] = responded
	return l.next
}

func (l *udpClient) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}
