package ranks

import (
	"crypto/hmac"
	"crypto/sha256"
)

// macBytes is the length of the truncated HMAC-SHA256 of a datagram.
const macBytes = 16

// maxSignedDatagram is the size of the largest datagram including its MAC.
const maxSignedDatagram = maxDatagram + macBytes

// authenticator authenticates datagrams between daemons with a shared key. With an
// empty key, as on the users' platform, it does nothing.
type authenticator struct{ key []byte }

// sign returns data with its MAC appended.
func (a authenticator) sign(data []byte) []byte {
	if len(a.key) == 0 {
		return data
	}
	return append(data, a.mac(data)...)
}

// verify returns the data without its MAC, or false if the MAC is invalid.
func (a authenticator) verify(signed []byte) ([]byte, bool) {
	if len(a.key) == 0 {
		return signed, true
	}
	end := len(signed) - macBytes
	if end < 0 || !hmac.Equal(signed[end:], a.mac(signed[:end])) {
		return nil, false
	}
	return signed[:end], true
}

func (a authenticator) mac(data []byte) []byte {
	mac := hmac.New(sha256.New, a.key)
	_, _ = mac.Write(data) // never fails
	return mac.Sum(nil)[:macBytes]
}
