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
	// minLimitsInterval is the minimum time between messages, which batches changes.
	minLimitsInterval = 10 * time.Millisecond
	// idleLimitsInterval is the time between updates of the peer list while no server has a
	// limit.
	idleLimitsInterval = time.Second
	// maxLimitDatagram is the size of the receive buffer, in bytes.
	maxLimitDatagram = 4096
)

// publishLimits sends servers' limits and this entry's use of them to the other entries, as
// datagrams.
func (e *EntryDaemon) publishLimits(ctx context.Context, conn net.PacketConn) {
	limits := e.balancer.Limits()
	refresh := time.NewTimer(idleLimitsInterval)
	defer refresh.Stop()
	idle := true // no server has a limit; otherwise peers expect periodic messages
	for {
		var messages []*peerrpc.LimitNews
		select {
		case <-limits.Changed():
			messages = limits.Updates(e.clock.Now())
			if idle {
				refresh.Reset(limits.RefreshInterval())
			}
			idle = false
		case <-refresh.C:
			e.updatePeers()
			messages = limits.RefreshMessages(e.clock.Now())
			if idle = !limits.Any(); idle {
				refresh.Reset(idleLimitsInterval)
				break
			}
			e.logLimitShare()
			refresh.Reset(limits.RefreshInterval())
		case <-ctx.Done():
			return
		}
		for _, message := range messages {
			e.sendLimits(conn, message)
		}
		wait.For(ctx, minLimitsInterval)
	}
}

// logLimitShare logs the fraction of servers' limits that the reachable entries use together
// when it changes.
func (e *EntryDaemon) logLimitShare() {
	share, reachable := e.balancer.Limits().Share(e.clock.Now())
	if share == e.limitShare {
		return
	}
	e.log.WithFields(logrus.Fields{"part": share, "before": e.limitShare, "heard": reachable}).Info("share of server limits changed")
	e.limitShare = share
}

// sendLimits sends a message to every known entry.
func (e *EntryDaemon) sendLimits(conn net.PacketConn, message *peerrpc.LimitNews) {
	data, err := proto.Marshal(message)
	if err != nil {
		e.log.WithError(err).Error("server limits not encoded")
		return
	}
	for _, peer := range e.exchange.Peers() {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			continue // the exchange logs unreachable peers
		}
		to := netip.AddrPortFrom(address.Addr(), uint16(e.settings.FirstPort+limitPort))
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			e.log.WithError(err).WithField("peer", peer).Debug("server limits not sent")
		}
	}
}

// updatePeers passes the other entries and their last contact to the limit table.
func (e *EntryDaemon) updatePeers() {
	for control, at := range e.exchange.LastContacts() {
		if address, err := netip.ParseAddrPort(control); err == nil {
			e.balancer.Limits().MarkPeerSeen(address.Addr().String(), at)
		}
	}
}

// receiveLimits merges limits from other entries until the context ends.
func (e *EntryDaemon) receiveLimits(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // in case the loop returns before AfterFunc has run
	buffer := make([]byte, maxLimitDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive server limits")
		}
		var message peerrpc.LimitNews
		if err := proto.Unmarshal(buffer[:n], &message); err != nil {
			e.log.WithError(err).Debug("invalid server limits datagram")
			continue
		}
		source, ok := from.(*net.UDPAddr)
		if !ok {
			continue // unreachable: the socket is UDP
		}
		for _, change := range e.balancer.Limits().Receive(source.IP.String(), &message, e.clock.Now()) {
			e.logPeerLimit(change, source.IP.String())
		}
	}
}

// logPeerLimit logs a change of a server's limit that another entry reported.
func (e *EntryDaemon) logPeerLimit(change ratelimit.Change, source string) {
	e.log.WithFields(logrus.Fields{
		"start": change.Server, "source": source, "limit": change.Limit.PerSecond, "named": change.Limit.Present,
		"before": change.Previous.PerSecond, "before_named": change.Previous.Present,
		"age_ms": e.clock.Now().Sub(change.Limit.ReceivedAt).Milliseconds(),
	}).Info("server limit updated by another entry")
}
