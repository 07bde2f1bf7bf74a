// Package loadfeed sends the load of backend servers from their agents to the entries over
// UDP. A later report replaces a lost one.
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
	// maxDatagramSize is the size of the receive buffer, in bytes.
	maxDatagramSize = 1024
	// refreshInterval is the interval at which unchanged reports are sent.
	refreshInterval = 400 * time.Millisecond
)

// Sender sends an agent's load reports. Not safe for concurrent use.
type Sender struct {
	conn         net.PacketConn
	address      string
	port         uint16
	lastReport   experts.RankReport
	reportSentAt time.Time
	exitSentAt   time.Time
	// senderID identifies this process; sequence numbers its reports.
	senderID uint64
	sequence int64
}

// NewSender returns a sender of the load of the backend server at address, to entries that
// listen on port.
func NewSender(ip, address string, port uint16) (*Sender, error) {
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "0"))
	return &Sender{conn: conn, address: address, port: port, senderID: rand.Uint64()}, errors.Wrap(err, "load feed")
}

// Close closes the socket.
func (s *Sender) Close() error { return s.conn.Close() }

// Send sends a report to the entries if a significant field has changed or the last one is older
// than the refresh interval. It continues after an error and returns the first one.
func (s *Sender) Send(now time.Time, report experts.RankReport, entries []netip.Addr) error {
	if significant(report) == significant(s.lastReport) && now.Sub(s.reportSentAt) < refreshInterval {
		return nil
	}
	s.lastReport, s.reportSentAt, s.exitSentAt = report, now, time.Time{}
	return s.broadcast(entries, &peerrpc.LoadReport{
		Running: int32(report.Running), Queued: int32(report.Queued),
		Group: report.Group, Epoch: report.Epoch, Rank: int32(report.Rank), Size: int32(report.Size), Open: report.Open,
		Pace: report.Slowdown, Born: report.StartID,
	})
}

// SendExited reports to the entries that the server no longer listens at its address, at most
// once per refresh interval. It continues after an error and returns the first one.
func (s *Sender) SendExited(now time.Time, entries []netip.Addr) error {
	if now.Sub(s.exitSentAt) < refreshInterval {
		return nil
	}
	s.exitSentAt, s.lastReport = now, experts.RankReport{} // forces the next report to be sent
	return s.broadcast(entries, &peerrpc.LoadReport{Ended: true})
}

// broadcast sends a report to all entries and returns the first error.
func (s *Sender) broadcast(entries []netip.Addr, report *peerrpc.LoadReport) error {
	s.sequence++
	report.Address, report.Sender, report.Look = s.address, s.senderID, s.sequence
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

// significant returns the fields of a report whose change is sent immediately.
func significant(r experts.RankReport) experts.RankReport {
	return experts.RankReport{Epoch: r.Epoch, Open: r.Open, Running: r.Running, Queued: r.Queued, StartID: r.StartID}
}

// Balancer receives the reported loads and group states.
type Balancer interface {
	UpdateLoad(key string, load dispatch.Load, at time.Time)
	UpdateGroup(rank fleet.GroupRank, at time.Time)
}

// EngineMonitor is notified of whether a server responds to its agent.
type EngineMonitor interface {
	SetEngineReachable(key string, reachable bool)
}

// Receiver receives load reports and forwards them to a Balancer and an EngineMonitor.
type Receiver struct {
	// servers returns the registered servers, or nil if they are unknown.
	servers  func() *fleet.Servers
	balancer Balancer
	engines  EngineMonitor
	now      func() time.Time
	log      *logrus.Entry
	// latest is the last report by address.
	latest map[string]reportSequence
}

// reportSequence orders the reports of one sender process. Reports of different processes have
// no order, since clocks may be stepped.
type reportSequence struct {
	senderID uint64
	sequence int64
}

// NewReceiver returns a receiver.
func NewReceiver(servers func() *fleet.Servers, balancer Balancer, engines EngineMonitor, now func() time.Time, log *logrus.Entry) *Receiver {
	return &Receiver{servers: servers, balancer: balancer, engines: engines, now: now, log: log, latest: map[string]reportSequence{}}
}

// isStale reports whether this report or a newer one of the same sender process has been
// received, and records the report otherwise.
func (r *Receiver) isStale(report *peerrpc.LoadReport) bool {
	latest := r.latest[report.GetAddress()]
	if latest.senderID == report.GetSender() && report.GetLook() <= latest.sequence {
		return report.GetLook() != 0 // earlier releases send no sequence
	}
	r.latest[report.GetAddress()] = reportSequence{senderID: report.GetSender(), sequence: report.GetLook()}
	return false
}

// Serve receives reports until the context ends. It closes conn.
func (r *Receiver) Serve(ctx context.Context, conn net.PacketConn) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks ReadFrom
	defer stop()
	defer func() { _ = conn.Close() }() // stop may have prevented the other Close
	buffer := make([]byte, maxDatagramSize)
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
			r.log.WithError(err).Debug("invalid load report")
			continue
		}
		r.handle(&report)
	}
}

// handle applies the report of a registered server. The state of a group is accepted only from
// servers that are registered as its ranks: any other would speak for the group's real ranks.
func (r *Receiver) handle(report *peerrpc.LoadReport) {
	servers := r.servers()
	if servers == nil {
		return
	}
	server := servers.ByAddress(report.GetAddress())
	if server == nil {
		return
	}
	if r.isStale(report) {
		return
	}
	// The agent may see a restarted server before the registry does. Its load doesn't belong to
	// the registered incarnation.
	restarted := report.GetBorn() != 0 && server.StartID != 0 && report.GetBorn() != server.StartID
	r.engines.SetEngineReachable(server.Key(), !report.GetEnded() && !restarted)
	if report.GetEnded() {
		return
	}
	now := r.now()
	if !restarted {
		r.balancer.UpdateLoad(server.Key(), dispatch.Load{
			Running: max(int(report.GetRunning()), 0), Waiting: max(int(report.GetQueued()), 0), Slowdown: report.GetPace(),
		}, now)
	}
	if server.Rank != nil && report.GetGroup() == server.Rank.Group {
		r.balancer.UpdateGroup(fleet.GroupRank{
			Group: report.GetGroup(), Epoch: report.GetEpoch(), Rank: int(report.GetRank()), Size: int(report.GetSize()), Open: report.GetOpen(),
		}, now)
	}
}
