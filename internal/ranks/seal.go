package ranks

import (
	"crypto/hmac"
	"crypto/sha256"
)

// sealBytes is the part of the HMAC-SHA256 that goes with a datagram.
const macBytes = 16

// maxSealed is the size of the largest datagram with its seal.
const maxSignedDatagram = maxDatagram + macBytes

// seal authenticates datagrams between daemons that share a key. Without a key
// it does nothing: the users' platform gives its processes none.
type authenticator struct{ key []byte }

// add returns the data with its seal.
func (s authenticator) sign(data []byte) []byte {
	if len(s.key) == 0 {
		return data
	}
	return append(data, s.mac(data)...)
}

// open returns the data without its seal, or false when that is wrong.
func (s authenticator) verify(signed []byte) ([]byte, bool) {
	if len(s.key) == 0 {
		return signed, true
	}
	end := len(signed) - macBytes
	if end < 0 || !hmac.Equal(signed[end:], s.mac(signed[:end])) {
		return nil, false
	}
	return signed[:end], true
}

func (s authenticator) mac(data []byte) []byte {
	mac := hmac.New(sha256.New, s.key)
	_, _ = mac.Write(data) // a hash can't fail
	return mac.Sum(nil)[:macBytes]
}
