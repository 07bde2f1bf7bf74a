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

// The seed is fixed, so that CI gives the same verdict each time; -rapid.seed=0 draws one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// stage is how far a server's life has gone. It never goes back.
type stage int

const (
	unknown stage = iota
	up
	leaving
	gone
)

// eraWorld has daemons that read a store and ask each other; the store comes back from copies.
type restoredStoreModel struct {
	store   *fakeStore
	daemons []*fixture
	version int64
	// truth is the stage of each server's life, believed what each daemon knew of it last.
	actual   map[string]stage
	observed []map[string]stage
	versions []int64
	// copied is how many records of each topic the newest copy has.
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

// register writes what is true of a server.
func (w *restoredStoreModel) register(id string) {
	address := "1.1.1.1:" + id[1:]
	w.store.append(TopicServers, id, map[stage]string{up: address, leaving: address + " leaving"}[w.actual[id]])
}

// live takes a server on in its life.
func (w *restoredStoreModel) advanceServer(t *rapid.T) {
	id := fmt.Sprint("s", rapid.IntRange(1, 4).Draw(t, "server"))
	if w.actual[id] < gone {
		w.actual[id]++
		w.register(id)
	}
}

// read lets a daemon read both topics once; a read that was woken begins again.
func (w *restoredStoreModel) read(t *rapid.T, i int) {
	err := w.daemons[i].read()
	for errors.Is(err, errReadRestarted) {
		err = w.daemons[i].read()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// look notes what a daemon believes, and checks that it hasn't gone back.
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
			t.Fatalf("daemon %d went from configuration %d back to %d", i, w.versions[i], config.Version)
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
			t.Fatalf("daemon %d believed server %s at stage %d, now at %d", i, id, w.observed[i][id], now)
		}
		w.observed[i][id] = max(now, w.observed[i][id])
	}
}

// settle writes again what was lost, as operators and servers do, and lets all read it.
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
		one := func(t *rapid.T) int { return rapid.IntRange(0, daemons-1).Draw(t, "daemon") }
		read := func(t *rapid.T) {
			i := one(t)
			w.read(t, i)
			w.checkMonotonic(t, i)
		}
		ask := func(t *rapid.T) {
			i := one(t)
			pullFrom(w.daemons[i], w.daemons[(i+1)%daemons])
			w.checkMonotonic(t, i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(*rapid.T) { w.writeConfig() }, "live": w.advanceServer, "live on": w.advanceServer,
			"read": read, "read again": read, "ask": ask, "ask again": ask,
			"copy": func(*rapid.T) {
				w.copied = [topicCount]int{len(w.store.records[TopicOperators]), len(w.store.records[TopicServers])}
			},
			"come back": func(*rapid.T) { w.store.restoreCopy(w.copied[TopicOperators], w.copied[TopicServers]) },
			"start":     func(t *rapid.T) { w.start(one(t)) },
		})
		w.checkConvergence(t)
	})
}
