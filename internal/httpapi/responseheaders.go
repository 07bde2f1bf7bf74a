package httpapi

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ParseRetryAfter returns the longest Retry-After of a response with status 503 or 429, or 0. A value
// is a number of seconds, also with a fraction, or a date (RFC 9110, section 10.2.3). A date is
// compared with the response's own Date, because the clocks of two VMs may differ. invalid is a value
// that can't be parsed, which is ignored.
func ParseRetryAfter(status int, h http.Header) (rest time.Duration, invalid string) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0, ""
	}
	for _, value := range h.Values("Retry-After") {
		value = strings.TrimSpace(value)
		requested, ok := parseSeconds(value)
		if !ok {
			requested, ok = parseDate(value, h.Get("Date"))
		}
		if !ok {
			invalid = value
			continue
		}
		rest = max(rest, requested)
	}
	return rest, invalid
}

// ParseLimit returns the rate limit in the named header of a server's response, in requests per
// second of all VMs together. Of several values the lowest applies. A number beyond the range of
// float64 becomes the largest float64. present reports whether there is a valid value; invalid is a
// value that isn't a decimal number of at least 0.
func ParseLimit(h http.Header, name string) (perSecond float64, present bool, invalid string) {
	for _, value := range h.Values(name) {
		value = strings.TrimSpace(value)
		limit, ok := parseDecimal(value)
		switch {
		case !ok:
			invalid = value
		case !present || limit < perSecond:
			perSecond, present = limit, true
		}
	}
	return perSecond, present, invalid
}

// parseDecimal parses a decimal number of at least 0. It returns math.MaxFloat64 for a larger one.
func parseDecimal(value string) (float64, bool) {
	if value == "" || strings.Trim(value, "+0123456789.eE-") != "" {
		return 0, false // excludes hexadecimal numbers, NaN and Inf, which ParseFloat accepts
	}
	number, err := strconv.ParseFloat(value, 64)
	if errors.Is(err, strconv.ErrRange) && number > 0 {
		return math.MaxFloat64, true
	}
	return number, err == nil && number >= 0
}

// parseSeconds parses a number of seconds of at least 0.
func parseSeconds(value string) (time.Duration, bool) {
	s, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(s) || math.IsInf(s, 0) || s < 0 {
		return 0, false
	}
	const maxSeconds = float64(math.MaxInt64 / time.Second)
	if s >= maxSeconds {
		return math.MaxInt64, true
	}
	return time.Duration(s * float64(time.Second)), true
}

// parseDate returns the duration from one HTTP date to another, or 0 if value is earlier than from.
func parseDate(value, from string) (time.Duration, bool) {
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

// ParseFlag reports whether a header has a true boolean value, such as 1 or true. A missing or
// invalid value counts as false.
func ParseFlag(h http.Header, name string) bool {
	set, err := strconv.ParseBool(h.Get(name))
	return err == nil && set
}
