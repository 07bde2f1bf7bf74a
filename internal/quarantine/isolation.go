package quarantine

import (
	"bytes"
	"slices"
)

// Isolation assigns a suspect request a server of its own, at every daemon the same, so that the
// next exit shows which of the requests that shared the last one causes them. Daemons with the same
// evidence assign different servers to different requests without asking each other.
type Isolation struct {
	// Index is the request's position among those that were in progress at its last exit. Those with
	// more exits come first, so that these have servers of their own even if there are few.
	Index int
	// Exited are the servers that exited while running the request.
	Exited []string
}

// minIsolationServers is the fewest servers among which suspects are told apart.
const minIsolationServers = 2

// Order returns the servers in the order in which the request should try them. Servers that exited
// while running it come last, since their registration may be outdated, unless too few others are
// left.
func (i Isolation) Order(servers []string) []string {
	var others, exited []string
	for _, server := range slices.Sorted(slices.Values(servers)) {
		if slices.Contains(i.Exited, server) {
			exited = append(exited, server)
		} else {
			others = append(others, server)
		}
	}
	if len(others) < minIsolationServers {
		others, exited = slices.Sorted(slices.Values(servers)), nil
	}
	if len(others) == 0 {
		return nil
	}
	first := i.Index % len(others)
	return slices.Concat(others[first:], others[:first], exited)
}

// isolation returns the isolation of a suspect request.
func (t *Table) isolation(d Digest, r *request, servers []string) Isolation {
	found := Isolation{Exited: servers}
	last := ""
	for _, server := range servers {
		if last == "" || r.exits[server].at.After(r.exits[last].at) {
			last = server
		}
	}
	for other, o := range t.requests {
		if _, shared := o.exits[last]; shared && precedes(other, o, d, len(servers)) {
			found.Index++
		}
	}
	return found
}

// precedes reports whether a request comes before one with the given digest and number of exits.
func precedes(other Digest, o *request, d Digest, exits int) bool {
	if n := len(o.exitedServers()); n != exits {
		return n > exits
	}
	return bytes.Compare(other[:], d[:]) < 0
}
