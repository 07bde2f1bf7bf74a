package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
)

// Isolation assigns a suspect request a server of its own, at every daemon the same, so that the
// next exit shows which of the requests that shared the last one causes them. Daemons with the same
// evidence assign different servers to different requests without asking each other.
type Isolation struct {
	// Index is the request's position among those that were in progress at its last exit. Those with
	// more exits come first, so that these have servers of their own even if there are few.
	Index int
	// Exited are the servers that exited while running the request, or requests with its part.
	Exited []string
	// Part is set if the request is suspect because of a part of its prompt. All requests with the
	// part are assigned the same server, so that no more than one exits.
	Part *Part
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
	if i.Part != nil {
		i.Part.sortByHash(others)
		return slices.Concat(others, exited)
	}
	first := i.Index % len(others)
	return slices.Concat(others[first:], others[:first], exited)
}

// sortByHash sorts servers by their hash with the part (rendezvous hashing), so that daemons that know
// slightly different servers prefer the same.
func (p *Part) sortByHash(servers []string) {
	hash := func(server string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(server)) // a hash never returns an error
		_, _ = h.Write(p.Digest[:])
		return h.Sum64()
	}
	slices.SortFunc(servers, func(a, b string) int { return cmp.Compare(hash(a), hash(b)) })
}

// isolation returns the isolation of a suspect request.
func (t *Table) isolation(d Digest, r *subject, servers []string) Isolation {
	found := Isolation{Exited: servers}
	last := ""
	for _, server := range servers {
		if last == "" || r.exits[server].at.After(r.exits[last].at) {
			last = server
		}
	}
	for other, o := range t.requests.subjects {
		if _, shared := o.exits[last]; shared && compareExits(len(o.exitedServers()), other, len(servers), d) < 0 {
			found.Index++
		}
	}
	return found
}

// compareExits orders subjects by the number of their exits, most first, then by digest.
func compareExits(aExits int, a Digest, bExits int, b Digest) int {
	return cmp.Or(cmp.Compare(bExits, aExits), bytes.Compare(a[:], b[:]))
}
