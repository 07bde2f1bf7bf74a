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
	// maxConcurrentCalls bounds the calls that are handled at the same time.
	maxConcurrentCalls = 16
	// callTimeout bounds the handling of a call. The holder repeats calls without response.
	callTimeout = 200 * time.Millisecond
)

// udpServer handles calls that arrive as datagrams.
type udpServer struct {
	conn    net.PacketConn
	service *Service
	auth    authenticator
	log     *logrus.Entry
	slots   *semaphore.Weighted

	mu sync.Mutex // leaf lock
	// inProgress has the calls being handled, to drop repetitions.
	inProgress map[callKey]bool
}

// callKey identifies a call. IDs are unique per sender only.
type callKey struct {
	sender string
	id     uint64
}

// Serve handles holders' datagrams until the context ends. Both sides need the same
// key; with an empty key, datagrams aren't authenticated.
func Serve(ctx context.Context, conn net.PacketConn, service *Service, key string, log *logrus.Entry) error {
	s := &udpServer{
		conn: conn, service: service, auth: authenticator{key: []byte(key)}, log: log,
		slots: semaphore.NewWeighted(maxConcurrentCalls), inProgress: map[callKey]bool{},
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks ReadFrom
	defer stop()
	defer func() { _ = conn.Close() }() // in case stop prevents the AfterFunc
	buffer := make([]byte, maxSignedDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive rank calls")
		}
		var call peerrpc.RankCall
		data, ok := s.auth.verify(buffer[:n])
		if !ok || proto.Unmarshal(data, &call) != nil {
			log.WithField("from", from.String()).Debug("invalid rank call dropped")
			continue
		}
		s.dispatch(ctx, &call, from)
	}
}

// dispatch handles a call in the background. It drops the call if it is in progress or
// if too many are; the sender repeats it.
func (s *udpServer) dispatch(ctx context.Context, call *peerrpc.RankCall, from net.Addr) {
	key := callKey{sender: from.String(), id: call.GetId()}
	if !s.tryBegin(key) {
		return
	}
	go func() {
		defer s.end(key)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		s.respond(ctx, call, from)
	}()
}

func (s *udpServer) tryBegin(key callKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress[key] || !s.slots.TryAcquire(1) {
		return false
	}
	s.inProgress[key] = true
	return true
}

func (s *udpServer) end(key callKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, key)
	s.slots.Release(1)
}

func (s *udpServer) respond(ctx context.Context, call *peerrpc.RankCall, from net.Addr) {
	response := &peerrpc.RankAnswer{Id: call.GetId()}
	var err error
	switch {
	case call.GetObserve() != nil:
		response.Observe, err = s.service.Observe(ctx, call.GetObserve())
	case call.GetCommand() != nil:
		response.Command, err = s.service.Command(ctx, call.GetCommand())
	}
	if err != nil {
		s.log.WithError(err).Warn("rank call failed")
		return
	}
	if proto.Size(response) > maxDatagram && response.GetObserve() != nil {
		response.Observe.Chosen = nil // drop the counts if the response is too large; the state has priority
	}
	data, err := proto.Marshal(response)
	if err == nil {
		_, err = s.conn.WriteTo(s.auth.sign(data), from)
	}
	if err != nil {
		s.log.WithError(err).Debug("rank call response not sent")
	}
}
