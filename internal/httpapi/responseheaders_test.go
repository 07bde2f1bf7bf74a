package httpapi

import (
	"math"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("ParseRetryAfter parses values", func(values []string, date string, rest time.Duration, invalid string) {
	h := http.Header{"Retry-After": values}
	if date != "" {
		h.Set("Date", date)
	}
	gotRest, gotInvalid := ParseRetryAfter(http.StatusServiceUnavailable, h)
	Expect(gotRest).To(Equal(rest))
	Expect(gotInvalid).To(Equal(invalid))
},
	Entry("no header", nil, "", time.Duration(0), ""),
	Entry("seconds", []string{"3"}, "", 3*time.Second, ""),
	Entry("a fraction of a second", []string{" 0.25 "}, "", 250*time.Millisecond, ""),
	Entry("zero", []string{"0"}, "", time.Duration(0), ""),
	Entry("a year", []string{"31536000"}, "", 365*24*time.Hour, ""),
	Entry("more than a duration can hold", []string{"1e300"}, "", time.Duration(math.MaxInt64), ""),
	Entry("the longest of several", []string{"1", "4", "2"}, "", 4*time.Second, ""),
	Entry("the valid one of several", []string{"soon", "2"}, "", 2*time.Second, "soon"),
	Entry("a date relative to the response's date", []string{"Fri, 04 Dec 2026 10:00:07 GMT"}, "Fri, 04 Dec 2026 10:00:00 GMT", 7*time.Second, ""),
	Entry("a past date", []string{"Fri, 04 Dec 2026 10:00:00 GMT"}, "Fri, 04 Dec 2026 10:00:07 GMT", time.Duration(0), ""),
	Entry("a date in a response without a date", []string{"Fri, 04 Dec 2026 10:00:07 GMT"}, "", time.Duration(0), "Fri, 04 Dec 2026 10:00:07 GMT"),
	Entry("not a number", []string{"NaN"}, "", time.Duration(0), "NaN"),
	Entry("infinity", []string{"Inf"}, "", time.Duration(0), "Inf"),
	Entry("a negative number", []string{"-3"}, "", time.Duration(0), "-3"),
	Entry("an empty value", []string{""}, "", time.Duration(0), ""),
	Entry("text", []string{"in a while"}, "", time.Duration(0), "in a while"),
)

var _ = DescribeTable("ParseRetryAfter applies only to statuses of refused requests", func(status int, rest time.Duration) {
	got, invalid := ParseRetryAfter(status, http.Header{"Retry-After": {"2"}})
	Expect(got).To(Equal(rest))
	Expect(invalid).To(BeEmpty())
},
	Entry("unavailable", http.StatusServiceUnavailable, 2*time.Second),
	Entry("too many requests", http.StatusTooManyRequests, 2*time.Second),
	Entry("moved", http.StatusMovedPermanently, time.Duration(0)),
	Entry("accepted", http.StatusAccepted, time.Duration(0)),
)

var _ = DescribeTable("ParseFlag parses values", func(value string, set bool) {
	h := http.Header{}
	if value != "" {
		h.Set("X-Flag", value)
	}
	Expect(ParseFlag(h, "X-Flag")).To(Equal(set))
},
	Entry("no header", "", false), Entry("1", "1", true), Entry("true", "true", true), Entry("0", "0", false), Entry("not a boolean", "soon", false),
)

var _ = DescribeTable("ParseLimit parses values", func(values []string, limit float64, present bool, invalid string) {
	gotLimit, gotPresent, gotInvalid := ParseLimit(http.Header{"X-Limit": values}, "X-Limit")
	Expect(gotLimit).To(Equal(limit))
	Expect(gotPresent).To(Equal(present))
	Expect(gotInvalid).To(Equal(invalid))
},
	Entry("no header", nil, 0.0, false, ""),
	Entry("a whole number", []string{"3"}, 3.0, true, ""),
	Entry("a fraction", []string{" 0.2 "}, 0.2, true, ""),
	Entry("scientific notation", []string{"2e-1"}, 0.2, true, ""),
	Entry("zero", []string{"0"}, 0.0, true, ""),
	Entry("negative zero", []string{"-0"}, math.Copysign(0, -1), true, ""),
	Entry("more than a float64 can hold", []string{"1e400"}, math.MaxFloat64, true, ""),
	Entry("less than the smallest float64", []string{"1e-400"}, 0.0, true, ""),
	Entry("the lowest of several", []string{"2", "1", "3"}, 1.0, true, ""),
	Entry("the valid one of several", []string{"some", "2"}, 2.0, true, "some"),
	Entry("a negative number", []string{"-3"}, 0.0, false, "-3"),
	Entry("a negative number beyond float64", []string{"-1e400"}, 0.0, false, "-1e400"),
	Entry("not a number", []string{"NaN"}, 0.0, false, "NaN"),
	Entry("infinity", []string{"Inf"}, 0.0, false, "Inf"),
	Entry("hexadecimal", []string{"0x1p2"}, 0.0, false, "0x1p2"),
	Entry("an empty value", []string{""}, 0.0, false, ""),
	Entry("a list", []string{"1, 2"}, 0.0, false, "1, 2"),
)
