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
	maxConcurrentCalls = 16
	// orderTimeout bounds the work on one call: an engine that doesn't answer an
	// order may carry it out later, and the holder asks again.
	callTimeout = 200 * time.Millisecond
)

// listener answers calls that come as datagrams.
type udpServer struct {
	conn    net.PacketConn
	service *Service
	auth    authenticator
	log     *logrus.Entry
	slots   *semaphore.Weighted

	mu sync.Mutex // a leaf
	// busy are the calls under way: the same call again needs no second answer.
	inProgress map[callKey]bool
}

// callName names a call: IDs are the caller's own.
type callKey struct {
	sender string
	id     uint64
}

// Listen answers holders' datagrams until the context ends. Both sides need the
// same key; an empty one leaves datagrams unsealed.
func Serve(ctx context.Context, conn net.PacketConn, service *Service, key string, log *logrus.Entry) error {
	l := &udpServer{
		conn: conn, service: service, auth: authenticator{key: []byte(key)}, log: log,
		slots: semaphore.NewWeighted(maxConcurrentCalls), inProgress: map[callKey]bool{},
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // a read that brought something as the context ended stops the other
	buffer := make([]byte, maxSignedDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "rank calls")
		}
		var call peerrpc.RankCall
		data, ok := l.auth.verify(buffer[:n])
		if !ok || proto.Unmarshal(data, &call) != nil {
			log.WithField("from", from.String()).Debug("rank call not understood")
			continue
		}
		l.dispatch(ctx, &call, from)
	}
}

// take works on a call in the background, unless it's under way or too many are:
// its caller sends it again.
func (l *udpServer) dispatch(ctx context.Context, call *peerrpc.RankCall, from net.Addr) {
	key := callKey{sender: from.String(), id: call.GetId()}
	if !l.tryBegin(key) {
		return
	}
	go func() {
		defer l.end(key)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		l.respond(ctx, call, from)
	}()
}

func (l *udpServer) tryBegin(key callKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inProgress[key] || !l.slots.TryAcquire(1) {
		return false
	}
	l.inProgress[key] = true
	return true
}

func (l *udpServer) end(key callKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.inProgress, key)
	l.slots.Release(1)
}

func (l *udpServer) respond(ctx context.Context, call *peerrpc.RankCall, from net.Addr) {
	response := &peerrpc.RankAnswer{Id: call.GetId()}
	var err error
	switch {
	case call.GetObserve() != nil:
		response.Observe, err = l.service.Observe(ctx, call.GetObserve())
	case call.GetCommand() != nil:
		response.Command, err = l.service.Command(ctx, call.GetCommand())
	}
	if err != nil {
		l.log.WithError(err).Warn("rank call failed")
		return
	}
	if proto.Size(response) > maxDatagram && response.GetObserve() != nil {
		response.Observe.Chosen = nil // the state matters more, and the next counts come soon
	}
	data, err := proto.Marshal(response)
	if err == nil {
		_, err = l.conn.WriteTo(l.auth.sign(data), from)
	}
	if err != nil {
		l.log.WithError(err).Debug("rank call not answered")
	}
}
