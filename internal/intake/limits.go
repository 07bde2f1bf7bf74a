// Package intake bounds what callers make a process hold. All of it draws on one Budget: connections, the heads and
// bodies of requests with their copies, and what the system has received for the process and it hasn't read.
// See docs/decisions/0015-untrusted-callers.md.
package intake

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// DefaultReceiveBuffer is the default of Options.ReceiveBuffer.
	DefaultReceiveBuffer = 32 << 10
	// DefaultStallTimeout is the default of Options.StallTimeout.
	DefaultStallTimeout = time.Second
	// DefaultLingerTimeout is the default of Options.LingerTimeout.
	DefaultLingerTimeout = 5 * time.Second

	// requestShare is the part of the process's memory for connections and requests, unreadShare that for
	// bytes which the system has received. The rest is for everything else and for garbage.
	requestShare = 0.3
	unreadShare  = 0.3
	// serverBuffer is the receive buffer of the connection to a server that a request may need.
	serverBuffer = 16 << 10
	// receiveBufferFactor is how many bytes the system holds at most per byte of a receive buffer: it doubles
	// the size that it is asked for.
	receiveBufferFactor = 2
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// connectionNumerator and connectionDenominator are the part of the other descriptors for callers. Each
	// request may need another one for its server; what is left is for the store, peers and probes.
	connectionNumerator, connectionDenominator = 7, 16
	minConnections                             = 8

	// connectionBytes is what a connection holds by itself: stacks and buffers.
	connectionBytes = 32 << 10
	// headerLineBytes is what a header line holds beside its own bytes.
	headerLineBytes = 128
	// SmallBytes bounds the requests that may use the whole budget. Larger ones leave a part to these.
	SmallBytes = 64 << 10
	largeShare = 0.75
)

// Options are the settings of a Budget.
type Options struct {
	// Memory is what the process may use, in bytes; 0 means unknown, so that only descriptors bound callers.
	Memory int64
	// Descriptors is how many descriptors the process may use; 0 means unknown.
	Descriptors int
	// RequestMemory bounds what connections and requests hold, in bytes; 0 stands for a part of Memory.
	RequestMemory int64
	// Connections bounds callers' connections if Memory and Descriptors don't bound them further; 0 means no
	// bound of its own.
	Connections int
	// ReceiveBuffer is the size of a connection's receive buffer, in bytes.
	ReceiveBuffer int
	// StallTimeout is how long a request may stand still before it is given up for others that need its
	// memory.
	StallTimeout time.Duration
	// LingerTimeout bounds the time for which bytes behind a refusal are dropped, so that its caller can read it.
	LingerTimeout time.Duration
}

// limits are the bounds in force.
type limits struct {
	bytes       int64
	connections int
}

// SystemDescriptors returns how many descriptors the system lets this process use.
func SystemDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Wrap(err, "limit of descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// resolve returns the bounds in force.
func (o Options) resolve() limits {
	if o.ReceiveBuffer <= 0 {
		o.ReceiveBuffer = DefaultReceiveBuffer
	}
	l := limits{bytes: math.MaxInt64, connections: math.MaxInt32}
	if o.Descriptors > 0 {
		l.connections = (o.Descriptors - reservedDescriptors) * connectionNumerator / connectionDenominator
	}
	if o.Memory > 0 {
		l.bytes = int64(requestShare * float64(o.Memory))
		l.connections = min(l.connections, int(unreadShare*float64(o.Memory))/(receiveBufferFactor*(o.ReceiveBuffer+serverBuffer)))
	}
	if o.RequestMemory > 0 {
		l.bytes = o.RequestMemory
	}
	l.connections = max(l.connections, minConnections)
	if o.Connections > 0 {
		l.connections = min(l.connections, o.Connections)
	}
	return l
}
