package platformdaemon

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// crashesEach is how many pieces of evidence one datagram carries: each takes some
	// hundred bytes, with a path of the usual length, and a datagram should fit one frame.
	crashesEach = 8
	// crashDatagram bounds a datagram that is read, in bytes.
	crashDatagram = 4096
)

// tellCrashes sends what this entry finds out to the entries heard of, as datagrams: a
// caller may repeat its request there a moment later. A lost one is made good when they ask.
func (e *EntryDaemon) tellCrashes(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case evidence := <-e.crashes.Updates():
			messages := crash.Encode(evidence, e.clock.Now())
			for at := 0; at < len(messages); at += crashesEach {
				e.sendCrashes(conn, messages[at:min(at+crashesEach, len(messages))])
			}
		case <-ctx.Done():
			return
		}
	}
}

func (e *EntryDaemon) sendCrashes(conn net.PacketConn, evidence []*peerrpc.CrashEvidence) {
	data, err := proto.Marshal(&peerrpc.CrashNews{Evidence: evidence})
	if err != nil {
		e.log.WithError(err).Error("crash news not encoded")
		return
	}
	for _, peer := range e.exchange.Peers() {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			continue // the exchange logs peers that can't be reached
		}
		to := netip.AddrPortFrom(address.Addr(), uint16(e.settings.FirstPort+crashPort))
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			e.log.WithError(err).WithField("peer", peer).Debug("crash news not sent")
		}
	}
}

// hearCrashes takes in what other entries find out, until the context ends.
func (e *EntryDaemon) hearCrashes(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // a read that brought something as the context ended stops the other
	buffer := make([]byte, crashDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "crash news")
		}
		var news peerrpc.CrashNews
		if err := proto.Unmarshal(buffer[:n], &news); err != nil {
			e.log.WithError(err).Debug("crash news not understood")
			continue
		}
		e.crashes.MergeEvidence(crash.Decode(news.GetEvidence(), e.clock.Now()), "entry "+from.String())
	}
}

// keepQuarantines keeps quarantines in the product's own configuration.
func (e *EntryDaemon) keepQuarantines(ctx context.Context) {
	crash.NewStore(e.crashes, e.replica, e.configLog, e.settings.Daemon, time.Now).Run(ctx)
}
