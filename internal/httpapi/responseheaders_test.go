package httpapi

import (
	"math"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("what an answer's Retry-After asks for", func(values []string, date string, rest time.Duration, odd string) {
	h := http.Header{"Retry-After": values}
	if date != "" {
		h.Set("Date", date)
	}
	gotRest, gotOdd := ParseRetryAfter(http.StatusServiceUnavailable, h)
	Expect(gotRest).To(Equal(rest))
	Expect(gotOdd).To(Equal(odd))
},
	Entry("nothing", nil, "", time.Duration(0), ""),
	Entry("seconds", []string{"3"}, "", 3*time.Second, ""),
	Entry("a fraction of a second", []string{" 0.25 "}, "", 250*time.Millisecond, ""),
	Entry("no time at all", []string{"0"}, "", time.Duration(0), ""),
	Entry("a year", []string{"31536000"}, "", 365*24*time.Hour, ""),
	Entry("more than a time can hold", []string{"1e300"}, "", time.Duration(math.MaxInt64), ""),
	Entry("the longest of several", []string{"1", "4", "2"}, "", 4*time.Second, ""),
	Entry("what can be read of several", []string{"soon", "2"}, "", 2*time.Second, "soon"),
	Entry("a date, by the answer's own", []string{"Fri, 04 Dec 2026 10:00:07 GMT"}, "Fri, 04 Dec 2026 10:00:00 GMT", 7*time.Second, ""),
	Entry("a date that is over", []string{"Fri, 04 Dec 2026 10:00:00 GMT"}, "Fri, 04 Dec 2026 10:00:07 GMT", time.Duration(0), ""),
	Entry("a date without the answer's own", []string{"Fri, 04 Dec 2026 10:00:07 GMT"}, "", time.Duration(0), "Fri, 04 Dec 2026 10:00:07 GMT"),
	Entry("no number", []string{"NaN"}, "", time.Duration(0), "NaN"),
	Entry("for ever", []string{"Inf"}, "", time.Duration(0), "Inf"),
	Entry("the past", []string{"-3"}, "", time.Duration(0), "-3"),
	Entry("an empty value", []string{""}, "", time.Duration(0), ""),
	Entry("words", []string{"in a while"}, "", time.Duration(0), "in a while"),
)

var _ = DescribeTable("the statuses with which a server turns requests away", func(status int, rest time.Duration) {
	got, odd := ParseRetryAfter(status, http.Header{"Retry-After": {"2"}})
	Expect(got).To(Equal(rest))
	Expect(odd).To(BeEmpty())
},
	Entry("unavailable", http.StatusServiceUnavailable, 2*time.Second),
	Entry("too many requests", http.StatusTooManyRequests, 2*time.Second),
	Entry("moved", http.StatusMovedPermanently, time.Duration(0)),
	Entry("accepted", http.StatusAccepted, time.Duration(0)),
)

var _ = DescribeTable("a flag in a header", func(value string, set bool) {
	h := http.Header{}
	if value != "" {
		h.Set("X-Flag", value)
	}
	Expect(ParseFlag(h, "X-Flag")).To(Equal(set))
},
	Entry("none", "", false), Entry("1", "1", true), Entry("true", "true", true), Entry("0", "0", false), Entry("another word", "soon", false),
)

var _ = DescribeTable("a limit in a header", func(values []string, limit float64, named bool, odd string) {
	gotLimit, gotNamed, gotOdd := ParseLimit(http.Header{"X-Limit": values}, "X-Limit")
	Expect(gotLimit).To(Equal(limit))
	Expect(gotNamed).To(Equal(named))
	Expect(gotOdd).To(Equal(odd))
},
	Entry("none", nil, 0.0, false, ""),
	Entry("a whole number", []string{"3"}, 3.0, true, ""),
	Entry("a fraction", []string{" 0.2 "}, 0.2, true, ""),
	Entry("a small one in powers of ten", []string{"2e-1"}, 0.2, true, ""),
	Entry("none at all", []string{"0"}, 0.0, true, ""),
	Entry("a negative zero", []string{"-0"}, math.Copysign(0, -1), true, ""),
	Entry("more than a number holds", []string{"1e400"}, math.MaxFloat64, true, ""),
	Entry("less than a number tells from 0", []string{"1e-400"}, 0.0, true, ""),
	Entry("the lowest of several", []string{"2", "1", "3"}, 1.0, true, ""),
	Entry("what can be read of several", []string{"some", "2"}, 2.0, true, "some"),
	Entry("a negative number", []string{"-3"}, 0.0, false, "-3"),
	Entry("less than any", []string{"-1e400"}, 0.0, false, "-1e400"),
	Entry("no number", []string{"NaN"}, 0.0, false, "NaN"),
	Entry("no end", []string{"Inf"}, 0.0, false, "Inf"),
	Entry("hexadecimal", []string{"0x1p2"}, 0.0, false, "0x1p2"),
	Entry("nothing", []string{""}, 0.0, false, ""),
	Entry("a list", []string{"1, 2"}, 0.0, false, "1, 2"),
)
