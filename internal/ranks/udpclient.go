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
type link struct {
	conn net.PacketConn
	seal seal

	mu      sync.Mutex // a leaf
	next    uint64
	waiting map[uint64]chan *peerrpc.RankAnswer
}

// newLink opens a socket at an IP address. first begins the numbers of calls:
// late answers to an earlier link must not match.
func newLink(ip string, s seal, first uint64) (*link, error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, errors.Wrap(err, "rank calls")
	}
	l := &link{conn: conn, seal: s, next: first, waiting: map[uint64]chan *peerrpc.RankAnswer{}}
	go l.receive()
	return l, nil
}

// close ends the link. Calls under way end with their contexts.
func (l *link) close() { _ = l.conn.Close() }

// receive hands answers to the calls that wait for them, until close.
func (l *link) receive() {
	buffer := make([]byte, maxSealed)
	for {
		n, _, err := l.conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		var answer peerrpc.RankAnswer
		data, ok := l.seal.open(buffer[:n])
		if !ok || proto.Unmarshal(data, &answer) != nil {
			continue // not from an agent of this deployment
		}
		l.mu.Lock()
		waiting := l.waiting[answer.GetId()]
		delete(l.waiting, answer.GetId())
		l.mu.Unlock()
		if waiting != nil {
			waiting <- &answer
		}
	}
}

// call sends a call until it's answered or the context ends. It sets the call's ID.
func (l *link) call(ctx context.Context, address string, call *peerrpc.RankCall) (*peerrpc.RankAnswer, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "rank calls")
	}
	answered := make(chan *peerrpc.RankAnswer, 1)
	call.Id = l.register(answered)
	defer l.forget(call.Id)
	data, err := proto.Marshal(call)
	if err != nil {
		return nil, errors.Wrap(err, "rank calls")
	}
	data = l.seal.add(data)
	resend := time.NewTicker(resendAfter)
	defer resend.Stop()
	for {
		if _, err := l.conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			return nil, errors.Wrapf(err, "rank calls to %s", address)
		}
		select {
		case answer := <-answered:
			return answer, nil
		case <-resend.C:
		case <-ctx.Done():
			return nil, errors.Wrapf(ctx.Err(), "rank calls to %s", address)
		}
	}
}

func (l *link) register(answered chan *peerrpc.RankAnswer) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	l.waiting[l.next] = answered
	return l.next
}

func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}
