package quarantine

import (
	"strings"
	"time"
)

// About is what operators are told of a request.
type RequestInfo struct {
	Customer string
	// Path is without the query, at most pathBytes of it.
	Path string
}

// pathBytes bounds a path that is told to other daemons, in bytes.
const pathBytes = 200

// AboutRequest says what a request is about. uri is the path with the query.
func NewRequestInfo(customer, uri string) RequestInfo {
	path, _, _ := strings.Cut(uri, "?")
	return RequestInfo{Customer: customer, Path: path[:min(len(path), pathBytes)]}
}

// Evidence says that a server ended while a request was in progress there.
type Evidence struct {
	Digest Digest
	Info   RequestInfo
	Server string
	// At is when, by this daemon's clock.
	ExitedAt time.Time
	// Cleared is set once the request has run to a good end, or was released by an
	// operator: the server's end no longer counts against it.
	Cleared bool
}
