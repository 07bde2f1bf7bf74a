// Package daemon provides what all crowbridge daemons share: authentication of daemons and
// operators, HTTP servers for control calls and metrics, and logging.
package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/pkg/errors"
)

// Role defines what an operator may do.
type Role string

// Roles of operators.
const (
	// RoleRead may read everything except secrets.
	RoleRead Role = "read"
	// RoleChange may also change the configuration.
	RoleChange Role = "change"
)

// Operator is a user of the administration API.
type Operator struct {
	Name      string
	Role      Role
	TokenHash string
}

const operatorFields = 3

// ParseOperator parses name:role:sha256-of-token.
func ParseOperator(value string) (Operator, error) {
	fields := strings.Split(value, ":")
	if len(fields) != operatorFields {
		return Operator{}, errors.New("use name:role:sha256-of-token-in-hex")
	}
	operator := Operator{Name: fields[0], Role: Role(fields[1]), TokenHash: fields[2]}
	if operator.Role != RoleRead && operator.Role != RoleChange {
		return Operator{}, errors.Errorf("operator %s: role %q: use read or change", operator.Name, operator.Role)
	}
	if hash, err := hex.DecodeString(operator.TokenHash); err != nil || len(hash) != sha256.Size {
		return Operator{}, errors.Errorf("operator %s: token hash: use the SHA-256 of the token in hex", operator.Name)
	}
	return operator, nil
}

// HashSecret returns the SHA-256 of an API key or token in hexadecimal.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

const bearer = "Bearer "

// FindOperator returns the operator whose token the request carries. It compares with all operators
// in constant time.
func FindOperator(operators []Operator, r *http.Request) (Operator, bool) {
	hash := HashSecret(strings.TrimPrefix(r.Header.Get("Authorization"), bearer))
	var found Operator
	ok := false
	for _, operator := range operators {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(operator.TokenHash)) == 1 {
			found, ok = operator, true
		}
	}
	return found, ok
}

// RequireKey returns a handler that rejects requests without the daemon key.
func RequireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(headers.DaemonKey)), []byte(key)) != 1 {
			http.Error(w, "daemon key: wrong: use the same key at all daemons", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// KeyTransport adds the daemon key to each request.
type KeyTransport struct {
	Key  string
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *KeyTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set(headers.DaemonKey, t.Key)
	return t.Next.RoundTrip(request)
}

const (
	controlIdleConnsPerHost = 2
	controlIdleConns        = 512
	controlIdleTimeout      = 30 * time.Second
)

// NewControlClient returns a client for calls to other daemons.
func NewControlClient(key string) *http.Client {
	return &http.Client{Transport: &KeyTransport{Key: key, Next: &http.Transport{
		MaxIdleConnsPerHost: controlIdleConnsPerHost,
		MaxIdleConns:        controlIdleConns,
		IdleConnTimeout:     controlIdleTimeout,
	}}}
}
