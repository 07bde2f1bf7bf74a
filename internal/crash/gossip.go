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
	// gossipInterval is the time between pulls from a random peer.
	gossipInterval = time.Second
	// gossipTimeout bounds a call to a peer.
	gossipTimeout = 500 * time.Millisecond
)

// RPCServer serves evidence to other entries. It implements peerrpc.Crashes.
type RPCServer struct{ Detector *Detector }

// Tell implements peerrpc.Crashes.
func (s RPCServer) Tell(_ context.Context, t *peerrpc.CrashTelling) (*peerrpc.CrashNews, error) {
	s.Detector.Receive(Decode(t.GetEvidence(), s.Detector.now()), "another entry")
	return s.Detector.Delta(t.GetKnown()), nil
}

// Gossip sends new evidence to the entries at the control addresses at once, and periodically
// pulls missed evidence from a random one, until ctx ends.
func (det *Detector) Gossip(ctx context.Context, peers []string, client *http.Client) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case evidence := <-det.updates:
			for _, peer := range peers {
				go det.exchange(ctx, peer, evidence, client)
			}
		case <-ticker.C:
			if len(peers) > 0 {
				det.exchange(ctx, peers[rand.IntN(len(peers))], nil, client)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (det *Detector) exchange(ctx context.Context, peer string, evidence []quarantine.Evidence, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	delta, err := peerrpc.NewCrashesProtobufClient("http://"+peer, client).Tell(ctx, &peerrpc.CrashTelling{
		Known: det.Digest(peer), Evidence: Encode(evidence, det.now()),
	})
	if err != nil {
		det.log.WithError(err).WithField("peer", peer).Debug("peer unreachable")
		return
	}
	det.ApplyDelta(peer, delta)
}
