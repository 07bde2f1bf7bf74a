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

func (m *restoredStoreModel) start(i int) {
	f := newFixture()
	f.store, f.follower.store = m.store, m.store
	m.daemons[i], m.observed[i], m.versions[i] = f, map[string]stage{}, 0
}

func (m *restoredStoreModel) writeConfig() {
	m.version++
	m.store.append(TopicOperators, "config", strconv.FormatInt(m.version, 10))
}

// register writes the registration of a server at its stage.
func (m *restoredStoreModel) register(id string) {
	address := "1.1.1.1:" + id[1:]
	m.store.append(TopicServers, id, map[stage]string{up: address, leaving: address + " leaving"}[m.actual[id]])
}

// advanceServer moves a server to its next stage.
func (m *restoredStoreModel) advanceServer(t *rapid.T) {
	id := fmt.Sprint("s", rapid.IntRange(1, 4).Draw(t, "server"))
	if m.actual[id] < gone {
		m.actual[id]++
		m.register(id)
	}
}

// read makes a daemon read both topics once, and again after a restarted read.
func (m *restoredStoreModel) read(t *rapid.T, i int) {
	err := m.daemons[i].read()
	for errors.Is(err, errReadRestarted) {
		err = m.daemons[i].read()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// checkMonotonic checks that no configuration and no server has reverted at a daemon.
func (m *restoredStoreModel) checkMonotonic(t *rapid.T, i int) {
	for _, topic := range []*topic{m.daemons[i].members.operators, m.daemons[i].members.servers} {
		for key, r := range topic.records {
			if r.Position.Era() != topic.next.Era() {
				t.Fatalf("daemon %d has %s at %s in a topic up to %s", i, key, r.Position, topic.next)
			}
		}
	}
	config, servers := m.daemons[i].members.Config(), m.daemons[i].members.Servers()
	if config != nil {
		if config.Version < m.versions[i] {
			t.Fatalf("daemon %d reverted from configuration %d to %d", i, m.versions[i], config.Version)
		}
		m.versions[i] = config.Version
	}
	if servers == nil {
		return
	}
	for id, truth := range m.actual {
		now := unknown
		if server := servers.ByID(id); server != nil {
			now = up
			if server.Leaving {
				now = leaving
			}
		} else if m.observed[i][id] > unknown && truth == gone {
			now = gone
		}
		if now != unknown && now < m.observed[i][id] {
			t.Fatalf("daemon %d reverted server %s from stage %d to %d", i, id, m.observed[i][id], now)
		}
		m.observed[i][id] = max(now, m.observed[i][id])
	}
}

// checkConvergence writes lost records again, as operators and servers do, and checks that all
// daemons converge on them.
func (m *restoredStoreModel) checkConvergence(t *rapid.T) {
	m.store.append(TopicOperators, "config", strconv.FormatInt(m.version, 10))
	for id := range m.actual {
		m.register(id)
	}
	want := map[string]bool{}
	for id, stage := range m.actual {
		if stage < gone {
			want[id] = stage == leaving
		}
	}
	for i, f := range m.daemons {
		for range 2 {
			m.read(t, i)
			f.now = f.now.Add(outageGrace + departureHold)
		}
		got := map[string]bool{}
		for id, server := range f.members.Servers().All() {
			got[id] = server.Leaving
		}
		if !maps.Equal(got, want) || f.members.Config().Version != m.version {
			t.Fatalf("daemon %d has configuration %d and servers %v, want %d and %v", i, f.members.Config().Version, got, m.version, want)
		}
	}
}

func TestStateNeverRegressesAcrossStoreRestores(t *testing.T) {
	RegisterTestingT(t)
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		m := &restoredStoreModel{
			store: newFakeStore(), daemons: make([]*fixture, daemons), versions: make([]int64, daemons),
			actual: map[string]stage{}, observed: make([]map[string]stage, daemons),
		}
		for i := range daemons {
			m.start(i)
		}
		m.writeConfig()
		drawDaemon := func(t *rapid.T) int { return rapid.IntRange(0, daemons-1).Draw(t, "daemon") }
		read := func(t *rapid.T) {
			i := drawDaemon(t)
			m.read(t, i)
			m.checkMonotonic(t, i)
		}
		pull := func(t *rapid.T) {
			i := drawDaemon(t)
			pullFrom(m.daemons[i], m.daemons[(i+1)%daemons])
			m.checkMonotonic(t, i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(*rapid.T) { m.writeConfig() }, "lifecycle": m.advanceServer, "lifecycle again": m.advanceServer,
			"read": read, "read again": read, "ask peer": pull, "ask peer again": pull,
			"copy": func(*rapid.T) {
				m.copied = [topicCount]int{len(m.store.records[TopicOperators]), len(m.store.records[TopicServers])}
			},
			"come back from copy": func(*rapid.T) { m.store.restoreCopy(m.copied[TopicOperators], m.copied[TopicServers]) },
			"start":               func(t *rapid.T) { m.start(drawDaemon(t)) },
		})
		m.checkConvergence(t)
	})
}
