package quarantine

import (
	"strings"
	"time"
)

// RequestInfo describes a request to operators.
type RequestInfo struct {
	Customer string
	// Path excludes the query and is cut to maxPathBytes.
	Path string
}

// maxPathBytes bounds a path that is sent to peers.
const maxPathBytes = 200

// NewRequestInfo returns the description of a request. uri is the path with the query.
func NewRequestInfo(customer, uri string) RequestInfo {
	path, _, _ := strings.Cut(uri, "?")
	return RequestInfo{Customer: customer, Path: path[:min(len(path), maxPathBytes)]}
}

// Evidence records that a server exited while a request, or one with a part in its prompt, was in
// progress there.
type Evidence struct {
	// Digest is that of the request or the part.
	Digest Digest
	// Info describes the request, or one with the part.
	Info RequestInfo
	// Part is nil for evidence against a request.
	Part   *Part
	Server string
	// ExitedAt is the time of the exit, by the local clock.
	ExitedAt time.Time
	// Cleared is set once the request completed successfully, or an operator released it: the
	// exit no longer counts against it.
	Cleared bool
	// context is that of a part.
	context exitContext
}

// PartContext is the context of evidence against a part in the form that is sent to peers.
type PartContext struct {
	// Vouched is set if a request with the part had completed shortly before the exit, Contrast if
	// others of the service had.
	Vouched, Contrast bool
	// Customer is that of the requests with the part that were in progress, unless there were
	// SeveralCustomers. Request is the digest of the only one, or zero.
	Customer         string
	SeveralCustomers bool
	Request          Digest
}

// Context returns the context of evidence against a part.
func (e Evidence) Context() PartContext {
	return PartContext{
		Vouched: e.context.vouched, Contrast: e.context.contrast, Request: e.context.requests.one,
		Customer: e.context.customers.one, SeveralCustomers: e.context.customers.several,
	}
}

// WithContext returns the evidence against a part with its context.
func (e Evidence) WithContext(c PartContext) Evidence {
	e.context = exitContext{vouched: c.Vouched, contrast: c.Contrast}
	if e.context.customers.several = c.SeveralCustomers; !c.SeveralCustomers {
		e.context.customers.one = c.Customer
	}
	e.context.requests = oneOrSeveral[Digest]{one: c.Request, several: c.Request == Digest{}}
	return e
}
