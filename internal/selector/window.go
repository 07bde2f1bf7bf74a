package selector

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/pkg/errors"
)

const minutesPerHour = 60

// window is a compiled config.Window. It compares local wall-clock times: an hour repeated by
// daylight saving is open twice, and a start within a skipped hour takes effect at the first
// minute after it.
type window struct {
	location *time.Location
	days     [7]bool
	from, to int // minutes of the local day
}

func newWindow(w config.Window) (window, error) {
	location, err := time.LoadLocation(w.Timezone)
	if err != nil {
		return window{}, errors.Wrap(err, "timezone")
	}
	from, err := time.Parse(config.TimeOfDayLayout, w.From)
	if err != nil {
		return window{}, errors.Wrap(err, "from")
	}
	to, err := time.Parse(config.TimeOfDayLayout, w.To)
	if err != nil {
		return window{}, errors.Wrap(err, "to")
	}
	compiled := window{location: location, from: minuteOfDay(from), to: minuteOfDay(to)}
	for day := range compiled.days {
		compiled.days[day] = len(w.Days) == 0
	}
	for _, name := range w.Days {
		compiled.days[config.Weekdays[name]] = true
	}
	return compiled, nil
}

func minuteOfDay(t time.Time) int { return t.Hour()*minutesPerHour + t.Minute() }

func (w window) contains(now time.Time) bool {
	local := now.In(w.location)
	minute := minuteOfDay(local)
	today := local.Weekday()
	if w.from < w.to {
		return w.days[today] && minute >= w.from && minute < w.to
	}
	yesterday := (today + 6) % 7
	startedToday := w.days[today] && minute >= w.from
	startedYesterday := w.days[yesterday] && minute < w.to
	return startedToday || startedYesterday
}
