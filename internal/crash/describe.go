package crash

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// maxDescribedParts bounds the parts in one log line.
const maxDescribedParts = 16

// describeParts formats the evidence against parts for the log: the part, the server and what is
// known of the part.
func describeParts(evidence []quarantine.Evidence) []string {
	var described []string
	for _, e := range evidence {
		if e.Part == nil {
			continue
		}
		if len(described) == maxDescribedParts {
			return append(described, "...")
		}
		described = append(described, fmt.Sprintf("%s %s %s", e.Part.ID, e.Server, standing(e)))
	}
	return described
}

// standing returns what is known of a part at an exit.
func standing(e quarantine.Evidence) string {
	switch c := e.Context(); {
	case e.Cleared:
		return "cleared"
	case c.Vouched:
		return "vouched"
	case c.Contrast:
		return "incriminating"
	default:
		return "unknown"
	}
}

// countEvidence counts evidence by its way here and by what it is about.
func countEvidence(way string, evidence []quarantine.Evidence) {
	for _, e := range evidence {
		about := "request"
		if e.Part != nil {
			about = "part"
		}
		metrics.GetOrCreateCounter(`crowbridge_crash_evidence_total{way="` + way + `",about="` + about + `"}`).Inc()
	}
}
