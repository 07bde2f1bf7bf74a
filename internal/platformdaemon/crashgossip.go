package platformdaemon

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/crowbridge/crowbridge/internal/crash"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// evidencePerDatagram bounds a datagram to about one frame: a record of evidence takes
	// around a hundred bytes with a path of usual length.
	evidencePerDatagram = 8
	// maxCrashDatagram is the size of the receive buffer, in bytes.
	maxCrashDatagram = 4096
)

// publishCrashes sends new crash evidence to the known entries as datagrams, since a
// caller may repeat its request there at once. Pulls between entries recover lost datagrams.
func (e *EntryDaemon) publishCrashes(ctx context.Context, conn net.PacketConn) {
	for {
		select {
		case evidence := <-e.crashes.Updates():
			for datagram := range slices.Chunk(evidence, evidencePerDatagram) {
				e.sendCrashes(conn, crash.Encode(datagram, e.clock.Now()))
			}
		case <-ctx.Done():
			return
		}
	}
}

// sendCrashes sends one datagram of evidence to every known entry.
func (e *EntryDaemon) sendCrashes(conn net.PacketConn, evidence *peerrpc.CrashNews) {
	data, err := proto.Marshal(evidence)
	if err != nil {
		e.log.WithError(err).Error("crash evidence not encoded")
		return
	}
	for _, peer := range e.exchange.Peers() {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			continue // the exchange logs unreachable peers
		}
		to := netip.AddrPortFrom(address.Addr(), uint16(e.settings.FirstPort+crashPort))
		if _, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(to)); err != nil {
			e.log.WithError(err).WithField("peer", peer).Debug("crash evidence not sent")
		}
	}
}

// receiveCrashes merges evidence from other entries until the context ends.
func (e *EntryDaemon) receiveCrashes(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // in case the loop returns before AfterFunc has run
	buffer := make([]byte, maxCrashDatagram)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "receive crash evidence")
		}
		var update peerrpc.CrashNews
		if err := proto.Unmarshal(buffer[:n], &update); err != nil {
			e.log.WithError(err).Debug("invalid crash evidence datagram")
			continue
		}
		e.crashes.Receive(crash.Decode(&update, e.clock.Now()), "entry "+from.String())
	}
}

// persistQuarantines stores quarantines in the product's own configuration.
func (e *EntryDaemon) persistQuarantines(ctx context.Context) {
	crash.NewStore(e.crashes, e.replica, e.configLog, e.settings.Daemon, time.Now).Run(ctx)
}
