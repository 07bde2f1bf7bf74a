package ranks

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"
)

const (
	// callsAtOnce bounds the calls that an agent works on.
	callsAtOnce = 16
	// orderTimeout bounds the work on one call: an engine that doesn't answer an
	// order may carry it out later, and the holder asks again.
	orderTimeout = 200 * time.Millisecond
)

// listener answers calls that come as datagrams.
type listener struct {
	conn    net.PacketConn
	service *Service
	seal    seal
	log     *logrus.Entry
	room    *semaphore.Weighted

	mu sync.Mutex // a leaf
	// busy are the calls under way: the same call again needs no second answer.
	busy map[callName]bool
}

// callName names a call: IDs are the caller's own.
type callName struct {
	from string
	id   uint64
}

// Listen answers holders' datagrams until the context ends. Both sides need the
// same key; an empty one leaves datagrams unsealed.
func Listen(ctx context.Context, conn net.PacketConn, service *Service, key string, log *logrus.Entry) error {
	l := &listener{
		conn: conn, service: service, seal: seal{key: []byte(key)}, log: log,
		room: semaphore.NewWeighted(callsAtOnce), busy: map[callName]bool{},
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // a read that brought something as the context ended stops the other
	buffer := make([]byte, maxSealed)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "rank calls")
		}
		var call peerrpc.RankCall
		data, ok := l.seal.open(buffer[:n])
		if !ok || proto.Unmarshal(data, &call) != nil {
			log.WithField("from", from.String()).Debug("rank call not understood")
			continue
		}
		l.take(ctx, &call, from)
	}
}

// take works on a call in the background, unless it's under way or too many are:
// its caller sends it again.
func (l *listener) take(ctx context.Context, call *peerrpc.RankCall, from net.Addr) {
	name := callName{from: from.String(), id: call.GetId()}
	if !l.begin(name) {
		return
	}
	go func() {
		defer l.end(name)
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		l.answer(ctx, call, from)
	}()
}

func (l *listener) begin(name callName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[name] || !l.room.TryAcquire(1) {
		return false
	}
	l.busy[name] = true
	return true
}

func (l *listener) end(name callName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, name)
	l.room.Release(1)
}

func (l *listener) answer(ctx context.Context, call *peerrpc.RankCall, from net.Addr) {
	answer := &peerrpc.RankAnswer{Id: call.GetId()}
	var err error
	switch {
	case call.GetObserve() != nil:
		answer.Observe, err = l.service.Observe(ctx, call.GetObserve())
	case call.GetCommand() != nil:
		answer.Command, err = l.service.Command(ctx, call.GetCommand())
	}
	if err != nil {
		l.log.WithError(err).Warn("rank call failed")
		return
	}
	if proto.Size(answer) > maxDatagram && answer.GetObserve() != nil {
		answer.Observe.Chosen = nil // the state matters more, and the next counts come soon
	}
	data, err := proto.Marshal(answer)
	if err == nil {
		_, err = l.conn.WriteTo(l.seal.add(data), from)
	}
	if err != nil {
		l.log.WithError(err).Debug("rank call not answered")
	}
}
