package admission

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
)

// Request is a request for a slot at the server.
type Request struct {
	ID       string
	Customer string
	// Weight is the customer's relative share within the class.
	Weight int
	Class  config.Class
	// Deadline is the time after which a response is useless.
	Deadline time.Time
	// Cost is the estimated cost in tokens; Done corrects it.
	Cost float64
}

// Options configures a Queue.
type Options struct {
	// Limit configures the concurrency limit.
	Limit LimitOptions
	// MaxQueued bounds the number of waiting requests.
	MaxQueued int
	// PatientPercent is the share of dispatched cost guaranteed to patient requests while any
	// of them waits.
	PatientPercent int
}

// priority orders classes; lower is more urgent.
type priority int

const (
	priorityUrgent priority = iota
	priorityNormal
	priorityPatient
	priorityCount
)

func priorityOf(class config.Class) priority {
	switch class {
	case config.ClassUrgent:
		return priorityUrgent
	case config.ClassPatient:
		return priorityPatient
	case config.ClassNormal:
		return priorityNormal
	default:
		return priorityNormal
	}
}

// waiting is a queued request. It stays in its flow until dispatched or withdrawn.
type waiting struct {
	request Request
	queued  time.Time
	flow    *flow
	removed bool
}

// running is a dispatched request.
type running struct {
	request Request
	started time.Time
	flow    *flow
}
