package platformdaemon

import (
	"net"
	"strconv"

	"github.com/crowbridge/crowbridge/platform"
)

// Offsets into the port range for traffic between daemons. Two processes on one VM share
// the range.
const (
	metricsPort = 1
	rankPort    = 2
	loadPort    = 3
	crashPort   = 4
	limitPort   = 5
)

func portOf(s *platform.Settings, offset int) string { return strconv.Itoa(s.FirstPort + offset) }

func ownAddress(s *platform.Settings, offset int) string { return joinPort(s.IP, portOf(s, offset)) }

func joinPort(host, port string) string { return net.JoinHostPort(host, port) }
