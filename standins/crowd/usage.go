package crowd

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Usage is what a process holds.
type Usage struct {
	// Resident is its resident memory, and Unread what the system has received for it and it hasn't read; both in
	// bytes.
	Resident, Unread int64
	// Peak is the largest resident memory so far, in bytes.
	Peak int64
	// Descriptors counts all descriptors, Sockets the sockets and pipes among them.
	Descriptors, Sockets int
}

// ReadUsage returns what a process holds now. Unread bytes are those of its sockets, and of connections at the
// addresses that it hasn't accepted yet.
func ReadUsage(pid int, addresses []string) (Usage, error) {
	var u Usage
	var err error
	if u.Resident, u.Peak, err = memory(pid); err != nil {
		return u, err
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return u, errors.Wrap(err, "descriptors")
	}
	u.Descriptors = len(entries)
	inodes := map[string]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", pid, entry.Name()))
		if err == nil && (strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:")) {
			u.Sockets++
			inodes[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	u.Unread, err = unread(addresses, inodes)
	return u, err
}

// memory returns the resident memory of a process and its peak.
func memory(pid int) (resident, peak int64, err error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, errors.Wrap(err, "memory")
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(data)) {
		name, rest, _ := strings.Cut(line, ":")
		if name != "VmRSS" && name != "VmHWM" {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		if err != nil {
			return 0, 0, errors.Wrap(err, "memory")
		}
		fields[name] = kilobytes << 10
	}
	if len(fields) == 0 {
		return 0, 0, errors.New("memory: the process has exited")
	}
	return fields["VmRSS"], fields["VmHWM"], nil
}

// Fields of /proc/net/tcp.
const (
	localField, stateField, queuesField, inodeField = 1, 3, 4, 9
	stateListening                                  = "0A"
)

// unread sums the receive queues of the connections at local addresses and of the sockets.
func unread(addresses []string, inodes map[string]bool) (int64, error) {
	local := map[string]bool{}
	for _, address := range addresses {
		tcp, err := net.ResolveTCPAddr("tcp4", address)
		if err != nil {
			return 0, errors.Wrap(err, "address")
		}
		ip := tcp.IP.To4()
		local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)] = true
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, errors.Wrap(err, "connections")
	}
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) <= inodeField || fields[stateField] == stateListening || !local[fields[localField]] && !inodes[fields[inodeField]] {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, errors.Wrap(err, "connections")
		}
		sum += n
	}
	return sum, nil
}

// Watch samples what a process holds until its function stop is called, which returns the peak of each figure.
// Memory is the peak of resident and unread bytes together.
func Watch(pid int, addresses ...string) (stop func() (peak Usage, memory int64, err error)) {
	const interval = 5 * time.Millisecond
	var peak Usage
	var memory int64
	var failed error
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			u, err := ReadUsage(pid, addresses)
			if err != nil {
				failed = err
				return
			}
			memory = max(memory, u.Resident+u.Unread)
			peak.Resident, peak.Unread = max(peak.Resident, u.Resident), max(peak.Unread, u.Unread)
			peak.Descriptors, peak.Sockets = max(peak.Descriptors, u.Descriptors), max(peak.Sockets, u.Sockets)
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
		}
	})
	return func() (Usage, int64, error) {
		close(done)
		wg.Wait()
		return peak, memory, failed
	}
}
