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

// Evidence records that a server exited while a request was in progress there.
type Evidence struct {
	Digest Digest
	Info   RequestInfo
	Server string
	// ExitedAt is the time of the exit, by the local clock.
	ExitedAt time.Time
	// Cleared is set once the request completed successfully, or an operator released it: the
	// exit no longer counts against it.
	Cleared bool
}
