// Package ratelimit keeps what backend servers take a second from all VMs together: the
// limits that they name in their answers. It does no I/O: time, chance and messages come in
// as arguments, and what is to be told to the other daemons comes out as messages.
//
// Each daemon has a bucket of tokens for each server with a limit, which fills at the
// limit's whole rate, and takes a token from it for each request that any daemon sends:
// its own at once, the others' as soon as it's told, which takes some milliseconds. So
// what one daemon doesn't send, any other may: a limit is used wherever the requests come.
// Two that send before they've heard of each other put the buckets into debt, which they
// all pay before the next. That they often do is prevented by a short wait, drawn anew at each
// daemon after each request, between the time that a token is there and the time that the
// daemon may take it.
//
// Invariants:
//   - A token is taken for each request before its first byte goes out, and never given
//     back; what is told is the count of them, which a lost message doesn't change.
//   - While daemons that were in touch can't be heard, the others use their part of the
//     limit only: those that were cut off from each other keep it together.
//   - A word of a server is replaced only by one that its server has said later, or, where
//     that can't be told, by one that allows less.
//   - No limit is taken for less than leastRate: a server that gets nothing could never
//     say that it takes more.
package ratelimit
