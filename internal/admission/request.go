package admission

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
)

// Request is one request that wants to run at the server.
type Request struct {
	ID       string
	Customer string
	// Weight is the customer's share relative to others in the same class.
	Weight int
	Class  config.Class
	// Deadline after which the answer is of no use.
	Deadline time.Time
	// Cost is the estimate in tokens; Done corrects it.
	Cost float64
}

// Options are the limits of a Queue.
type Options struct {
	// Limit governs how many requests run at once.
	Limit LimitOptions
	// MaxQueued bounds the waiting requests of all customers together.
	MaxQueued int
	// PatientPercent is the share of dispatched cost kept for patient requests
	// while any of them waits.
	PatientPercent int
}

// rank orders classes; lower is more urgent.
type rank int

const (
	rankUrgent rank = iota
	rankNormal
	rankPatient
	rankCount
)

func rankOf(class config.Class) rank {
	switch class {
	case config.ClassUrgent:
		return rankUrgent
	case config.ClassPatient:
		return rankPatient
	case config.ClassNormal:
		return rankNormal
	default:
		return rankNormal
	}
}

// waiting is a queued request; it is in its flow until dispatched or withdrawn.
type waiting struct {
	request Request
	queued  time.Time
	flow    *flow
	gone    bool
}

// running is a dispatched request.
type running struct {
	request Request
	started time.Time
	flow    *flow
}
