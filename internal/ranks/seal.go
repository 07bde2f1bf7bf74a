package ranks

import (
	"crypto/hmac"
	"crypto/sha256"
)

// sealBytes is the part of the HMAC-SHA256 that goes with a datagram.
const sealBytes = 16

// maxSealed is the size of the largest datagram with its seal.
const maxSealed = maxDatagram + sealBytes

// seal authenticates datagrams between daemons that share a key. Without a key
// it does nothing: the users' platform gives its processes none.
type seal struct{ key []byte }

// add returns the data with its seal.
func (s seal) add(data []byte) []byte {
	if len(s.key) == 0 {
		return data
	}
	return append(data, s.sum(data)...)
}

// open returns the data without its seal, or false when that is wrong.
func (s seal) open(sealed []byte) ([]byte, bool) {
	if len(s.key) == 0 {
		return sealed, true
	}
	end := len(sealed) - sealBytes
	if end < 0 || !hmac.Equal(sealed[end:], s.sum(sealed[:end])) {
		return nil, false
	}
	return sealed[:end], true
}

func (s seal) sum(data []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write(data) // a hash can't fail
	return mac.Sum(nil)[:sealBytes]
}
