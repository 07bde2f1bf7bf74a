package crash

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

const (
	// gossipInterval is the time between pulls from a random peer.
	gossipInterval = time.Second
	// gossipTimeout bounds a call to a peer.
	gossipTimeout = 500 * time.Millisecond
	// silentPerRound is the number of peers that didn't answer and are called again each round.
	silentPerRound = 2
)

// RPCServer serves evidence to other entries. It implements peerrpc.Crashes.
type RPCServer struct{ Detector *Detector }

// Tell implements peerrpc.Crashes.
func (s RPCServer) Tell(_ context.Context, t *peerrpc.CrashTelling) (*peerrpc.CrashNews, error) {
	s.Detector.Receive(Decode(t, s.Detector.now()), "another entry")
	return s.Detector.Delta(t.GetKnown()), nil
}

// PullFromSeveral pulls evidence from several of the peers at the control addresses at once.
func (det *Detector) PullFromSeveral(ctx context.Context, peers []string, client *http.Client) {
	RefreshFrom(slices.Clone(peers), func(peer string) { det.exchange(ctx, peer, nil, client) })
}

// Gossip sends new evidence to the entries at the control addresses at once, and periodically
// pulls missed evidence from a random one and from some that didn't answer before, until ctx ends.
func (det *Detector) Gossip(ctx context.Context, peers []string, client *http.Client) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	det.RecordPull(ctx)
	for {
		select {
		case evidence := <-det.updates:
			for _, peer := range peers {
				go det.exchange(ctx, peer, evidence, client)
			}
		case <-ticker.C:
			det.pullRound(ctx, peers, client)
			det.RecordPull(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pullRound pulls from a random peer and from some that didn't answer the last call.
func (det *Detector) pullRound(ctx context.Context, peers []string, client *http.Client) {
	if len(peers) == 0 {
		return
	}
	asked := append(det.silentPeers(), peers[rand.IntN(len(peers))])
	slices.Sort(asked)
	var pulls sync.WaitGroup
	for _, peer := range slices.Compact(asked) {
		pulls.Go(func() { det.exchange(ctx, peer, nil, client) })
	}
	pulls.Wait()
}

// silentPeers returns up to silentPerRound of the peers that didn't answer the last call.
func (det *Detector) silentPeers() []string {
	det.mu.Lock()
	defer det.mu.Unlock()
	silent := slices.Collect(maps.Keys(det.silent))
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	return silent[:min(len(silent), silentPerRound)]
}

// setSilent records whether a peer answered a call.
func (det *Detector) setSilent(peer string, silent bool) {
	det.mu.Lock()
	defer det.mu.Unlock()
	delete(det.silent, peer)
	if silent {
		det.silent[peer] = true
	}
}

func (det *Detector) exchange(ctx context.Context, peer string, evidence []quarantine.Evidence, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	told := Encode(evidence, det.now())
	delta, err := peerrpc.NewCrashesProtobufClient("http://"+peer, client).Tell(ctx, &peerrpc.CrashTelling{
		Known: det.Digest(peer), Evidence: told.GetEvidence(), Parts: told.GetParts(),
	})
	det.setSilent(peer, err != nil)
	if err != nil {
		det.log.WithError(err).WithField("peer", peer).Debug("peer unreachable")
		return
	}
	det.ApplyDelta(peer, delta)
}
