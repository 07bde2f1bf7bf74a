package httpapi

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ReadRest returns for how long a server that turned a request away wants no more: what the
// Retry-After of a 503 or 429 says, in seconds, with a fraction too, or as a date (RFC 9110,
// section 10.2.3). A date counts from the answer's own, because the clocks of two VMs needn't
// agree. The longest of several values counts. odd is a value that can't be read, for the
// log; it asks for nothing.
func ParseRetryAfter(status int, h http.Header) (rest time.Duration, odd string) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0, ""
	}
	for _, value := range h.Values("Retry-After") {
		value = strings.TrimSpace(value)
		asked, ok := readSeconds(value)
		if !ok {
			asked, ok = untilDate(value, h.Get("Date"))
		}
		if !ok {
			odd = value
			continue
		}
		rest = max(rest, asked)
	}
	return rest, odd
}

// ReadLimit returns the limit that a server names in a header: how many requests a second it
// takes from all VMs together. The lowest of several counts. A number too large for a float64
// bounds nothing, as the largest does. odd is a value that isn't a decimal number of 0 or more,
// for the log; named is false when there is no other.
func ParseLimit(h http.Header, name string) (perSecond float64, named bool, odd string) {
	for _, value := range h.Values(name) {
		value = strings.TrimSpace(value)
		limit, ok := readDecimal(value)
		switch {
		case !ok:
			odd = value
		case !named || limit < perSecond:
			perSecond, named = limit, true
		}
	}
	return perSecond, named, odd
}

// readDecimal reads a decimal number, 0 or more; math.MaxFloat64 if it's larger.
func readDecimal(value string) (float64, bool) {
	if value == "" || strings.Trim(value, "+0123456789.eE-") != "" {
		return 0, false // words, and what else the library takes for numbers
	}
	number, err := strconv.ParseFloat(value, 64)
	if errors.Is(err, strconv.ErrRange) && number > 0 {
		return math.MaxFloat64, true
	}
	return number, err == nil && number >= 0
}

// readSeconds reads a number of seconds, 0 or more.
func readSeconds(value string) (time.Duration, bool) {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
		return 0, false
	}
	const most = float64(math.MaxInt64 / time.Second)
	if s >= most {
		return math.MaxInt64, true
	}
	return time.Duration(s * float64(time.Second)), true
}

// untilDate reads a date as the time from another one until then, 0 if it's over.
func untilDate(value, from string) (time.Duration, bool) {
	until, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(from)
	if err != nil {
		return 0, false
	}
	return max(until.Sub(now), 0), true
}

// ReadFlag tells whether a header is set to 1 or true. Without it, or with a value that
// isn't known, the flag isn't set.
func ParseFlag(h http.Header, name string) bool {
	set, err := strconv.ParseBool(h.Get(name))
	return err == nil && set
}
