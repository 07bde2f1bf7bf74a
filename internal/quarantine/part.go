package quarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"slices"
)

// PromptParts are the parts of a request's prompt.
type PromptParts interface {
	// Shared returns the IDs of the parts that other requests may share, in order.
	Shared() []string
}

// Part is a part of a prompt that requests of a service may share.
type Part struct {
	Digest  Digest
	Service string
	// ID is the part's ID as callers send it, cut to MaxPartIDBytes.
	ID string
}

const (
	// MaxPartIDBytes bounds the length of IDs that are kept and sent to peers.
	MaxPartIDBytes = 64
	// maxRequestParts bounds the evidence that one request can cause. Of more parts, those with the
	// lowest digests are used, so that requests with the same part agree on it.
	maxRequestParts = 16
	// partDomain separates the digests of parts from those of requests.
	partDomain = "prompt part"
)

// NewPart returns the part with an ID of a service's requests. Other customers' requests with the ID
// have the same part.
func NewPart(service, id string) Part {
	h := sha256.New()
	for _, field := range []string{partDomain, service} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // a hash never returns an error
		_, _ = io.WriteString(h, field)
	}
	_, _ = io.WriteString(h, id)
	return Part{Digest: Digest(h.Sum(nil)[:digestBytes]), Service: service, ID: id[:min(len(id), MaxPartIDBytes)]}
}

// Fingerprint identifies a request by its content, and by what it has in common with others.
type Fingerprint struct {
	Digest Digest
	Info   RequestInfo
	// Parts are the parts of the prompt that other requests may share, each once.
	Parts []Part
}

// NewFingerprint returns the fingerprint of a request. parts may be nil.
func NewFingerprint(d Digest, info RequestInfo, service string, parts PromptParts) Fingerprint {
	return Fingerprint{Digest: d, Info: info, Parts: newParts(service, parts)}
}

func newParts(service string, parts PromptParts) []Part {
	if parts == nil {
		return nil
	}
	var list []Part
	for _, id := range parts.Shared() {
		list = append(list, NewPart(service, id))
	}
	slices.SortFunc(list, func(a, b Part) int { return bytes.Compare(a.Digest[:], b.Digest[:]) })
	return slices.CompactFunc(list, func(a, b Part) bool { return a.Digest == b.Digest })
}

// recordedParts returns the parts against which an exit counts.
func (f Fingerprint) recordedParts() []Part { return f.Parts[:min(len(f.Parts), maxRequestParts)] }

// has reports whether the prompt has a part.
func (f Fingerprint) has(d Digest) bool {
	_, found := slices.BinarySearchFunc(f.Parts, d, func(p Part, d Digest) int { return bytes.Compare(p.Digest[:], d[:]) })
	return found
}
