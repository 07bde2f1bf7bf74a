package crash

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/sirupsen/logrus"
)

// maxContextDelay is the longest random delay before a daemon adds what it knows to a peer's
// evidence, so that few do of the many that know the same. It is shorter than quarantine.SettleTime.
const maxContextDelay = 100 * time.Millisecond

// Updates returns the channel of evidence that is to be sent to peers at once.
func (det *Detector) Updates() <-chan []quarantine.Evidence { return det.updates }

// urgent returns the evidence that peers need at once. That against parts which completed requests had
// is left to their pulls: most entries have it after an exit.
func urgent(evidence []quarantine.Evidence) []quarantine.Evidence {
	return slices.DeleteFunc(slices.Clone(evidence), func(e quarantine.Evidence) bool { return e.Part != nil && e.Context().Vouched })
}

// publish queues evidence for peers.
func (det *Detector) publish(evidence []quarantine.Evidence) {
	if len(evidence) == 0 {
		return
	}
	select {
	case det.updates <- evidence:
	default:
		det.log.WithField("evidence", len(evidence)).Info("update queue full, evidence left to the peers' next pull")
	}
}

// Receive merges evidence received from a peer.
func (det *Detector) Receive(evidence []quarantine.Evidence, source string) {
	added := det.table.Merge(evidence, det.now())
	if len(added) == 0 {
		return
	}
	det.log.WithFields(logrus.Fields{
		"evidence": len(added), "source": source, "parts": describeParts(added),
		"age_ms": det.now().Sub(added[0].ExitedAt).Milliseconds(),
	}).Info("evidence of server exits received")
	countEvidence("received", added)
	if slices.ContainsFunc(added, func(e quarantine.Evidence) bool { return e.Part != nil }) {
		det.afterFunc(rand.N(maxContextDelay), func() { det.addContext(added, source) })
	}
	det.afterFunc(quarantine.SettleTime, det.notifyStore)
}

// addContext adds to a peer's evidence what is known here of the parts, unless another peer has told.
func (det *Detector) addContext(evidence []quarantine.Evidence, source string) {
	own := det.table.AddContext(evidence, det.now())
	if len(own) == 0 {
		return
	}
	det.log.WithFields(logrus.Fields{"source": source, "parts": describeParts(own)}).Info("evidence supplemented by what completed here")
	det.publish(own)
}
