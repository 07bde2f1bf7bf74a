package membership

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The seed is fixed for reproducible CI runs; -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// stage is the stage of a server's life cycle. It never decreases.
type stage int

const (
	unknown stage = iota
	up
	leaving
	gone
)

// restoredStoreModel has daemons that read a store and pull from each other while the store is
// restored from older copies of itself.
type restoredStoreModel struct {
	store   *fakeStore
	daemons []*fixture
	version int64
	// actual is the stage of each server, observed the last one that each daemon has seen.
	actual   map[string]stage
	observed []map[string]stage
	versions []int64
	// copied is the number of records of each topic in the latest copy.
	copied [topicCount]int
}

func (w *restoredStoreModel) start(i int) {
	b := newFixture()
	b.store, b.follower.store = w.store, w.store
	w.daemons[i], w.observed[i], w.versions[i] = b, map[string]stage{}, 0
}

func (w *restoredStoreModel) writeConfig() {
	w.version++
	w.store.append(TopicOperators, "config", strconv.FormatInt(w.version, 10))
}

// register writes the registration of a server at its stage.
func (w *restoredStoreModel) register(id string) {
	address := "1.1.1.1:" + id[1:]
	w.store.append(TopicServers, id, map[stage]string{up: address, leaving: address + " leaving"}[w.actual[id]])
}

// advanceServer moves a server to its next stage.
func (w *restoredStoreModel) advanceServer(t *rapid.T) {
	id := fmt.Sprint("s", rapid.IntRange(1, 4).Draw(t, "server"))
	if w.actual[id] < gone {
		w.actual[id]++
		w.register(id)
	}
}

// read makes a daemon read both topics once, and again after a restarted read.
func (w *restoredStoreModel) read(t *rapid.T, i int) {
	err := w.daemons[i].read()
	for errors.Is(err, errReadRestarted) {
		err = w.daemons[i].read()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// checkMonotonic checks that no configuration and no server has reverted at a daemon.
func (w *restoredStoreModel) checkMonotonic(t *rapid.T, i int) {
	for _, topic := range []*topic{w.daemons[i].members.operators, w.daemons[i].members.servers} {
		for key, r := range topic.records {
			if r.Position.Era() != topic.next.Era() {
				t.Fatalf("daemon %d has %s at %s in a topic up to %s", i, key, r.Position, topic.next)
			}
		}
	}
	config, servers := w.daemons[i].members.Config(), w.daemons[i].members.Servers()
	if config != nil {
		if config.Version < w.versions[i] {
			t.Fatalf("daemon %d reverted from configuration %d to %d", i, w.versions[i], config.Version)
		}
		w.versions[i] = config.Version
	}
	if servers == nil {
		return
	}
	for id, truth := range w.actual {
		now := unknown
		if server := servers.ByID(id); server != nil {
			now = up
			if server.Leaving {
				now = leaving
			}
		} else if w.observed[i][id] > unknown && truth == gone {
			now = gone
		}
		if now != unknown && now < w.observed[i][id] {
			t.Fatalf("daemon %d reverted server %s from stage %d to %d", i, id, w.observed[i][id], now)
		}
		w.observed[i][id] = max(now, w.observed[i][id])
	}
}

// checkConvergence writes lost records again, as operators and servers do, and checks that all
// daemons converge on them.
func (w *restoredStoreModel) checkConvergence(t *rapid.T) {
	w.store.append(TopicOperators, "config", strconv.FormatInt(w.version, 10))
	for id := range w.actual {
		w.register(id)
	}
	want := map[string]bool{}
	for id, stage := range w.actual {
		if stage < gone {
			want[id] = stage == leaving
		}
	}
	for i, b := range w.daemons {
		for range 2 {
			w.read(t, i)
			b.now = b.now.Add(outageGrace + departureHold)
		}
		got := map[string]bool{}
		for id, server := range b.members.Servers().All() {
			got[id] = server.Leaving
		}
		if !maps.Equal(got, want) || b.members.Config().Version != w.version {
			t.Fatalf("daemon %d has configuration %d and servers %v, want %d and %v", i, b.members.Config().Version, got, w.version, want)
		}
	}
}

func TestStateNeverRegressesAcrossStoreRestores(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		w := &restoredStoreModel{
			store: newFakeStore(), daemons: make([]*fixture, daemons), versions: make([]int64, daemons),
			actual: map[string]stage{}, observed: make([]map[string]stage, daemons),
		}
		for i := range daemons {
			w.start(i)
		}
		w.writeConfig()
		drawDaemon := func(t *rapid.T) int { return rapid.IntRange(0, daemons-1).Draw(t, "daemon") }
		read := func(t *rapid.T) {
			i := drawDaemon(t)
			w.read(t, i)
			w.checkMonotonic(t, i)
		}
		pull := func(t *rapid.T) {
			i := drawDaemon(t)
			pullFrom(w.daemons[i], w.daemons[(i+1)%daemons])
			w.checkMonotonic(t, i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(*rapid.T) { w.writeConfig() }, "lifecycle": w.advanceServer, "lifecycle again": w.advanceServer,
			"read": read, "read again": read, "ask peer": pull, "ask peer again": pull,
			"copy": func(*rapid.T) {
				w.copied = [topicCount]int{len(w.store.records[TopicOperators]), len(w.store.records[TopicServers])}
			},
			"come back from copy": func(*rapid.T) { w.store.restoreCopy(w.copied[TopicOperators], w.copied[TopicServers]) },
			"start":               func(t *rapid.T) { w.start(drawDaemon(t)) },
		})
		w.checkConvergence(t)
	})
}
