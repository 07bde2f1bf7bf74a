package platformdaemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

const (
	// limitsPace is the least time between messages of what has changed: what is sent to
	// servers meanwhile is told together.
	limitsPace = 10 * time.Millisecond
	// idleLimitsPace is the time between looks at which entries there are while no server has
	// a limit.
	idleLimitsPace = time.Second
	// limitDatagram bounds a datagram that is read, in bytes.
	limitDatagram = 4096
)

// tellLimits tells the other entries of servers' limits and what this one sends, as datagrams.
func (e *EntryDaemon) tellLimits(ctx context.Context, conn net.PacketConn) {
	limits := e.board.Limits()
	refresh := time.NewTimer(idleLimitsPace)
	defer refresh.Stop()
	idle := true // others take who tells nothing for silent, once a server has a limit
	for {
		var news []*peerrpc.LimitNews
		select {
		case <-limits.Changed():
			news = limits.Updates(e.clock.Now())
			if idle {
				refresh.Reset(limits.RefreshInterval())
			}
			idle = false
		case <-refresh.C:
			e.meet()
			news = limits.RefreshMessages(e.clock.Now())
			if idle = !limits.Any(); idle {
				refresh.Reset(idleLimitsPace)
				break
			}
			e.logPart()
			refresh.Reset(limits.RefreshInterval())
		case <-ctx.Done():
			return
		}
		for _, message := range news {
			e.sendLimits(conn, message)
		}
		wait.For(ctx, limitsPace)
	}
}

// logPart writes which part of servers' limits is used, when it's another one.
func (e *EntryDaemon) logPart() {
	part, heard := e.board.Limits().Share(e.clock.Now())
	if part == e.limitPart {
		return
	}
	e.log.WithFields(logrus.Fields{"part": part, "before": e.limitPart, "heard": heard}).Info("another part of servers' limits is used")
	e.limitPart = part
}

func (e *EntryDaemon) sendLimits(conn net.PacketConn, message *peerrpc.LimitNews) {
	data, err := proto.Marshal(message)
	if err != nil {
		e.log.WithError(err).Error("limits not encoded")
		return
	}
	for _, peer := range e.exchange.Peers() {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			continue // the exchange logs peers that can't be reached
		}
		to := netip.AddrPortFrom(address.Addr(), uint16(e.settings.FirstPort+limitPort))
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			e.log.WithError(err).WithField("peer", peer).Debug("limits not told")
		}
	}
}

// meet takes in which other entries there are.
func (e *EntryDaemon) meet() {
	for control, at := range e.exchange.LastContacts() {
		if address, err := netip.ParseAddrPort(control); err == nil {
			e.board.Limits().MarkPeerSeen(address.Addr().String(), at)
		}
	}
}

// hearLimits takes in what other entries tell, until the context ends.
func (e *EntryDaemon) hearLimits(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // a read that brought something as the context ended stops the other
	buffer := make([]byte, limitDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "limits")
		}
		var news peerrpc.LimitNews
		if err := proto.Unmarshal(buffer[:n], &news); err != nil {
			e.log.WithError(err).Debug("limits not understood")
			continue
		}
		source, ok := from.(*net.UDPAddr)
		if !ok {
			continue // the socket is UDP's
		}
		for _, change := range e.board.Limits().Receive(source.IP.String(), &news, e.clock.Now()) {
			e.logLimit(change, source.IP.String())
		}
	}
}

// logLimit writes what another entry told of a server.
func (e *EntryDaemon) logLimit(change ratelimit.Change, source string) {
	e.log.WithFields(logrus.Fields{
		"start": change.Server, "source": source, "limit": change.Limit.PerSecond, "named": change.Limit.Present,
		"before": change.Previous.PerSecond, "before_named": change.Previous.Present,
		"age_ms": e.clock.Now().Sub(change.Limit.ReceivedAt).Milliseconds(),
	}).Info("another entry knows another limit of a server")
}
