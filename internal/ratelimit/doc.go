// Package ratelimit enforces the rate limits that backend servers report in their responses,
// across all VMs. It does no I/O: time, randomness and messages are arguments, and messages to
// peers are return values.
//
// Every daemon holds a token bucket per limited server. The bucket refills at almost the full
// limit, and each request of any daemon takes a token: local requests at once, requests of peers
// when their update arrives, typically some milliseconds later. Capacity that one daemon leaves
// unused is therefore available to all others. Daemons that send concurrently put the bucket
// into debt, which delays the next request. A short random wait per daemon and request,
// between the time that a token becomes available and the time that the daemon may take it,
// makes this rare.
//
// Invariants:
//   - A token is taken for each request before its first byte is sent, and is never
//     returned. Updates carry cumulative counts, so a lost message changes nothing.
//   - While known daemons are unreachable, the others use only their share of each limit:
//     both sides of a network partition together stay within it.
//   - A limit is replaced only by one that the server reported later, or, when the order
//     cannot be determined, by a lower one.
//   - No limit is treated as lower than minRate: a server that receives nothing could never
//     report a higher limit.
package ratelimit
