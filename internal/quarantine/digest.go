// Package quarantine detects requests that crash the servers that run them, and keeps them
// from other servers. It does no I/O and reads no clock.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/pkg/errors"
)

// digestBytes is the length of a Digest, long enough to rule out accidental and deliberate
// collisions.
const digestBytes = 16

// Digest identifies a request by its content. A retry has another request ID but the same
// digest, at every daemon.
type Digest [digestBytes]byte

// DigestOf returns the digest of a request. uri is the path with the query; customer is empty
// for routes that need no key.
func DigestOf(customer, method, host, uri string, body []byte) Digest {
	h := sha256.New()
	for _, field := range []string{customer, method, host, uri} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = h.Write(size[:]) // a hash never returns an error
		_, _ = io.WriteString(h, field)
	}
	_, _ = h.Write(body)
	return Digest(h.Sum(nil)[:digestBytes])
}

// ParseDigest parses the result of String.
func ParseDigest(text string) (Digest, error) {
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != digestBytes {
		return Digest{}, errors.Errorf("digest: %q: use %d hexadecimal digits", text, 2*digestBytes)
	}
	return Digest(data), nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }
