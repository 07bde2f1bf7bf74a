package crash

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

const (
	// gossipPace is the time between questions to one other entry for what was missed.
	gossipPace = time.Second
	// gossipTimeout bounds a call to another entry.
	gossipTimeout = 500 * time.Millisecond
)

// Server answers other entries. It implements peerrpc.Crashes.
type RPCServer struct{ Detector *Detector }

// Tell implements peerrpc.Crashes.
func (s RPCServer) Tell(_ context.Context, t *peerrpc.CrashTelling) (*peerrpc.CrashNews, error) {
	s.Detector.MergeEvidence(Decode(t.GetEvidence(), s.Detector.now()), "another entry")
	return s.Detector.Delta(t.GetKnown()), nil
}

// Gossip tells the entries at some control addresses what this one finds out, at once, and
// asks one of them from time to time what it has missed, until the context ends.
func (w *Detector) Gossip(ctx context.Context, peers []string, client *http.Client) {
	ticker := time.NewTicker(gossipPace)
	defer ticker.Stop()
	for {
		select {
		case evidence := <-w.news:
			for _, peer := range peers {
				go w.exchange(ctx, peer, evidence, client)
			}
		case <-ticker.C:
			if len(peers) > 0 {
				w.exchange(ctx, peers[rand.IntN(len(peers))], nil, client)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *Detector) exchange(ctx context.Context, peer string, evidence []quarantine.Evidence, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	news, err := peerrpc.NewCrashesProtobufClient("http://"+peer, client).Tell(ctx, &peerrpc.CrashTelling{
		Known: w.Digest(peer), Evidence: Encode(evidence, w.now()),
	})
	if err != nil {
		w.log.WithError(err).WithField("peer", peer).Debug("peer not reached")
		return
	}
	w.ApplyDelta(peer, news)
}
