package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/crowbridge/crowbridge/internal/selector"
)

// OrderHomes orders the candidates for an idempotency key by rendezvous hashing: entries
// with the same configuration compute the same order, and adding or removing a server moves
// only that server's keys. The first server is the key's home. A later one is used only if
// all servers before it have closed the key.
func OrderHomes(candidates []*selector.Server, customer, key string) []*selector.Server {
	type weighted struct {
		server *selector.Server
		weight uint64
	}
	ordered := make([]weighted, 0, len(candidates))
	for _, server := range candidates {
		var digest xxhash.Digest
		digest.Reset()
		for _, part := range []string{customer, "\x00", key, "\x00", server.Name} {
			_, _ = digest.WriteString(part) // never fails
		}
		ordered = append(ordered, weighted{server: server, weight: digest.Sum64()})
	}
	slices.SortFunc(ordered, func(a, b weighted) int {
		switch {
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		default:
			return 0
		}
	})
	homes := make([]*selector.Server, 0, len(ordered))
	for _, w := range ordered {
		homes = append(homes, w.server)
	}
	return homes
}
