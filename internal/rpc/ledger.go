// Package rpc defines the control messages between crowbridge's processes. The files control.pb.go
// and control.twirp.go are generated from control.proto by `make generate`.
package rpc

import "github.com/crowbridge/crowbridge/internal/outcome"

// NewLedger returns the message with the outcome counts of the named daemon.
func NewLedger(name string, counts outcome.Counts) *Ledger {
	return &Ledger{
		Name: name, Accepted: counts.Accepted, Answered: counts.Answered,
		NotRun: counts.NotRun, Unknown: counts.Unknown, InFlight: counts.InFlight,
	}
}
