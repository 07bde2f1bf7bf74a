// Package loadfeed carries the load of model engines from the agents beside
// them to the entries, as datagrams. A lost one is made good by the next.
package loadfeed

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
)

const (
	// maxDatagram bounds a report, in bytes.
	maxDatagram = 1024
	// refresh is how often a report is sent although nothing has changed.
	refresh = 400 * time.Millisecond
)

// Sender sends an agent's reports. Not safe for concurrent use.
type Sender struct {
	conn    net.PacketConn
	address string
	port    uint16
	last    experts.RankReport
	sentAt  time.Time
	endedAt time.Time
	// id names this process, look counts what it tells.
	id   uint64
	look int64
}

// NewSender returns a sender of the load of the backend server at an address,
// to entries that listen on a port.
func NewSender(ip, address string, port uint16) (*Sender, error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "0"))
	return &Sender{conn: conn, address: address, port: port, id: rand.Uint64()}, errors.Wrap(err, "load feed")
}

// Close releases the socket.
func (s *Sender) Close() error { return s.conn.Close() }

// Send tells the entries at some addresses if the load has changed or the last
// report is old. It returns the first error; the others have been sent to.
func (s *Sender) Send(now time.Time, report experts.RankReport, entries []netip.Addr) error {
	if visible(report) == visible(s.last) && now.Sub(s.sentAt) < refresh {
		return nil
	}
	s.last, s.sentAt, s.endedAt = report, now, time.Time{}
	return s.sendTo(entries, &peerrpc.LoadReport{
		Running: int32(report.Running), Queued: int32(report.Queued),
		Group: report.Group, Epoch: report.Epoch, Rank: int32(report.Rank), Size: int32(report.Size), Open: report.Open,
		Pace: report.Slowdown, Born: report.StartID,
	})
}

// SendExited tells the entries at some addresses that nobody listens where the server did.
func (s *Sender) SendExited(now time.Time, entries []netip.Addr) error {
	if now.Sub(s.endedAt) < refresh {
		return nil
	}
	s.endedAt, s.last = now, experts.RankReport{} // the next report is news again
	return s.sendTo(entries, &peerrpc.LoadReport{Ended: true})
}

func (s *Sender) sendTo(entries []netip.Addr, report *peerrpc.LoadReport) error {
	s.look++
	report.Address, report.Sender, report.Look = s.address, s.id, s.look
	data, err := proto.Marshal(report)
	if err != nil {
		return errors.Wrap(err, "load feed")
	}
	var first error
	for _, entry := range entries {
		if _, err := s.conn.WriteTo(data, net.UDPAddrFromAddrPort(netip.AddrPortFrom(entry, s.port))); err != nil && first == nil {
			first = errors.Wrapf(err, "load feed to %s", entry)
		}
	}
	return first
}

// visible is the part of a report whose change is worth a datagram.
func visible(r experts.RankReport) experts.RankReport {
	return experts.RankReport{Epoch: r.Epoch, Open: r.Open, Running: r.Running, Queued: r.Queued, StartID: r.StartID}
}

// Balancer takes in what the agents tell.
type Balancer interface {
	UpdateLoad(id string, load dispatch.Load, at time.Time)
	UpdateGroup(rank fleet.GroupRank, at time.Time)
}

// EngineMonitor takes in whether a server's engine answers the agent beside it.
type EngineMonitor interface {
	SetEngineReachable(server string, answers bool)
}

// Receiver takes in what agents tell.
type Receiver struct {
	// servers returns what is registered at present, or nil.
	servers func() *fleet.Servers
	board   Balancer
	engines EngineMonitor
	now     func() time.Time
	log     *logrus.Entry
	// newest is the newest report of each address.
	newest map[string]reportOrder
}

// reportOrder orders the reports of one agent's process. Those of two processes have no
// order: clocks may have been stepped between them.
type reportOrder struct {
	sender uint64
	look   int64
}

// NewReceiver returns a receiver that knows no reports yet.
func NewReceiver(servers func() *fleet.Servers, board Balancer, engines EngineMonitor, now func() time.Time, log *logrus.Entry) *Receiver {
	return &Receiver{servers: servers, board: board, engines: engines, now: now, log: log, newest: map[string]reportOrder{}}
}

// late tells whether a newer report of the same agent's process has been taken in.
func (r *Receiver) late(report *peerrpc.LoadReport) bool {
	known := r.newest[report.GetAddress()]
	if known.sender == report.GetSender() && report.GetLook() <= known.look {
		return report.GetLook() != 0 // agents of earlier releases don't count
	}
	r.newest[report.GetAddress()] = reportOrder{sender: report.GetSender(), look: report.GetLook()}
	return false
}

// Serve reads reports until the context ends.
func (r *Receiver) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends the read
	defer stop()
	defer func() { _ = conn.Close() }() // a read that brought something as the context ended stops the other
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "load feed")
		}
		var report peerrpc.LoadReport
		if err := proto.Unmarshal(buffer[:n], &report); err != nil {
			r.log.WithError(err).Debug("load report not understood")
			continue
		}
		r.take(&report)
	}
}

// take takes in a report of a registered server. What it says of a group counts
// only if the server is registered as a rank of it: a report of any other would
// speak for the group's real ranks.
func (r *Receiver) take(report *peerrpc.LoadReport) {
	servers := r.servers()
	if servers == nil {
		return
	}
	server := servers.ByAddress(report.GetAddress())
	if server == nil {
		return
	}
	if r.late(report) {
		return
	}
	// Another start than the registered one is the next: the agent sees it before the
	// registry tells. Nothing that it says of itself is the former start's.
	again := report.GetBorn() != 0 && server.StartID != 0 && report.GetBorn() != server.StartID
	r.engines.SetEngineReachable(server.Key(), !report.GetEnded() && !again)
	if report.GetEnded() {
		return
	}
	now := r.now()
	if !again {
		r.board.UpdateLoad(server.Key(), dispatch.Load{
			Running: max(int(report.GetRunning()), 0), Waiting: max(int(report.GetQueued()), 0), Slowdown: report.GetPace(),
		}, now)
	}
	if server.Rank != nil && report.GetGroup() == server.Rank.Group {
		r.board.UpdateGroup(fleet.GroupRank{
			Group: report.GetGroup(), Epoch: report.GetEpoch(), Rank: int(report.GetRank()), Size: int(report.GetSize()), Open: report.GetOpen(),
		}, now)
	}
}
