package membership

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

// plainDecoder decodes "VERSION" as a configuration and "ADDRESS [leaving]" as a server.
type plainDecoder struct{}

func (plainDecoder) ConfigKey() string { return "config" }

func (plainDecoder) DecodeConfig(data []byte) (*fleet.Config, error) {
	version, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return nil, err
	}
	return fleet.NewConfig(version, fleet.Limits{}, nil, nil, nil, false), nil
}

func (plainDecoder) DecodeServer(id string, data []byte) (*fleet.Server, error) {
	address, rest, _ := strings.Cut(string(data), " ")
	if address == "" {
		return nil, errors.New("no address")
	}
	return &fleet.Server{ID: id, Service: "s", Address: address, Leaving: rest == "leaving"}, nil
}

// fakeStore is an in-memory store.
type fakeStore struct {
	records map[Topic][]Record
	// first is the oldest position of each topic that Read accepts.
	first map[Topic]storelog.Position
	err   error
	reads int
	era   int64
}

// restoreCopy moves the store to the next era with only the first records of each topic.
func (s *fakeStore) restoreCopy(operators, servers int) {
	s.era++
	for topic, kept := range map[Topic]int{TopicOperators: operators, TopicServers: servers} {
		s.records[topic] = slices.Clone(s.records[topic][:min(kept, len(s.records[topic]))])
		for i := range s.records[topic] {
			s.records[topic][i].Position = storelog.NewPosition(s.era, int64(i))
		}
	}
}

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[Topic][]Record{}, first: map[Topic]storelog.Position{}}
}

func (s *fakeStore) append(topic Topic, key, value string) {
	s.records[topic] = append(s.records[topic], Record{Key: key, Value: []byte(value), Position: storelog.NewPosition(s.era, int64(len(s.records[topic])))})
}

func (s *fakeStore) Read(_ context.Context, topic Topic, from storelog.Position, _ time.Duration) ([]Record, storelog.Position, error) {
	s.reads++
	if s.err != nil {
		return nil, 0, s.err
	}
	all := s.records[topic]
	end := storelog.NewPosition(s.era, int64(len(all)))
	if from.Era() != s.era || from < s.first[topic] || from > end {
		return nil, 0, ErrGone
	}
	return all[from.Offset():], end, nil
}

func (s *fakeStore) Newest(_ context.Context, topic Topic) ([]Record, storelog.Position, error) {
	if s.err != nil {
		return nil, 0, s.err
	}
	newest := map[string]Record{}
	for _, r := range s.records[topic] {
		newest[r.Key] = r
	}
	var found []Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			found = append(found, r)
		}
	}
	return found, storelog.NewPosition(s.era, int64(len(s.records[topic]))), nil
}

type fixture struct {
	now      time.Time
	store    *fakeStore
	members  *Membership
	follower *Follower
	logs     *logrustest.Hook
}

func newFixture() *fixture {
	logger, logs := logrustest.NewNullLogger()
	f := &fixture{now: time.Unix(1000, 0), store: newFakeStore(), logs: logs}
	log := logrus.NewEntry(logger)
	f.members = New(plainDecoder{}, func() time.Time { return f.now }, log)
	f.follower = NewFollower(f.members, f.store, nil, 0, log)
	return f
}

func (f *fixture) read() error {
	select {
	case <-f.follower.restartRead: // signalled by an earlier read that reached the store
	default:
	}
	config := f.follower.readConfig(context.Background())
	servers := f.follower.readServers(context.Background())
	f.follower.recordStoreResult(servers)
	return errors.Join(config, servers)
}

func (f *fixture) ids() []string {
	var ids []string
	for id := range f.members.Servers().All() {
		ids = append(ids, id)
	}
	return ids
}

var _ = Describe("a daemon that follows the store", func() {
	It("has no configuration and no servers before the first read", func() {
		f := newFixture()
		Expect(f.members.Config()).To(BeNil())
		Expect(f.members.Servers()).To(BeNil())
		f.store.append(TopicOperators, "config", "4")
		Expect(f.read()).To(Succeed())
		Expect(f.members.Config().Version).To(Equal(int64(4)))
		Expect(f.members.Servers()).NotTo(BeNil())
	})

	It("applies newer configurations and ignores older ones", func() {
		f := newFixture()
		f.store.append(TopicOperators, "config", "4")
		Expect(f.read()).To(Succeed())
		f.store.append(TopicOperators, "config", "9")
		f.store.append(TopicOperators, "config", "7")
		Expect(f.read()).To(Succeed())
		Expect(f.members.Config().Version).To(Equal(int64(9)))
	})

	It("keeps the current configuration and logs an error when a new one is invalid", func() {
		f := newFixture()
		f.store.append(TopicOperators, "config", "4")
		Expect(f.read()).To(Succeed())
		f.store.append(TopicOperators, "config", "rubbish")
		f.store.append(TopicOperators, "other", "x")
		Expect(f.read()).To(Succeed())
		Expect(f.members.Config().Version).To(Equal(int64(4)))
		Expect(f.logs.LastEntry().Message).To(ContainSubstring("refused"))
	})

	It("tracks servers that register, leave and are removed", func() {
		f := newFixture()
		f.store.append(TopicServers, "a", "1.1.1.1:1")
		Expect(f.read()).To(Succeed())
		f.store.append(TopicServers, "a", "1.1.1.1:1 leaving")
		Expect(f.read()).To(Succeed())
		Expect(f.members.Servers().ByID("a").Leaving).To(BeTrue())
		f.store.append(TopicServers, "a", "")
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(BeEmpty())
	})

	It("reads a snapshot when its position is gone, and removes servers that are missing from it", func() {
		f := newFixture()
		f.store.append(TopicServers, "a", "1.1.1.1:1")
		f.store.append(TopicServers, "b", "1.1.1.2:1")
		Expect(f.read()).To(Succeed())
		f.store.append(TopicServers, "a", "")
		f.store.append(TopicServers, "c", "1.1.1.3:1")
		f.store.first[TopicServers] = 4
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("b", "c"))
	})

	Describe("around a store outage", func() {
		It("keeps a lapsed server for a grace period", func() {
			f := newFixture()
			f.store.append(TopicServers, "a", "1.1.1.1:1")
			f.store.append(TopicServers, "b", "1.1.1.2:1")
			Expect(f.read()).To(Succeed())
			f.store.err = errors.New("down")
			Expect(f.read()).NotTo(Succeed())
			f.store.err = nil
			f.store.append(TopicServers, "a", "")
			f.store.append(TopicServers, "b", "")
			Expect(f.read()).To(Succeed())
			Expect(f.ids()).To(ConsistOf("a", "b"))
			f.store.append(TopicServers, "a", "1.1.1.1:1")
			f.now = f.now.Add(outageGrace + time.Millisecond)
			Expect(f.read()).To(Succeed())
			Expect(f.ids()).To(ConsistOf("a"))
		})

		It("removes a server at once that is deleted after the first successful read", func() {
			f := newFixture()
			f.store.append(TopicServers, "a", "1.1.1.1:1")
			Expect(f.read()).To(Succeed())
			f.store.err = errors.New("down")
			Expect(f.read()).NotTo(Succeed())
			f.store.err = nil
			Expect(f.read()).To(Succeed())
			f.store.append(TopicServers, "a", "")
			Expect(f.read()).To(Succeed())
			Expect(f.ids()).To(BeEmpty())
		})

		It("removes a deleted server at once when only this daemon lost the store", func() {
			f, other := newFixture(), newFixture()
			f.store.append(TopicServers, "a", "1.1.1.1:1")
			Expect(f.read()).To(Succeed())
			other.store.append(TopicServers, "a", "1.1.1.1:1")
			other.store.append(TopicServers, "a", "")
			Expect(other.read()).To(Succeed())
			f.store.err = errors.New("refused")
			Expect(f.read()).NotTo(Succeed())
			exchange := NewExchange(other.members, Peer{}, nil, http.DefaultClient, other.follower.log)
			server := httptest.NewServer(peerrpc.NewMembershipServer(exchange))
			DeferCleanup(server.Close)
			own := NewExchange(f.members, Peer{}, nil, http.DefaultClient, f.follower.log)
			Expect(own.Pull(context.Background(), strings.TrimPrefix(server.URL, "http://"))).To(Succeed())
			Expect(f.ids()).To(BeEmpty())
		})

		It("removes a leaving server at once when it is deleted", func() {
			f := newFixture()
			f.store.append(TopicServers, "a", "1.1.1.1:1 leaving")
			Expect(f.read()).To(Succeed())
			f.store.err = errors.New("down")
			Expect(f.read()).NotTo(Succeed())
			f.store.err = nil
			f.store.append(TopicServers, "a", "")
			Expect(f.read()).To(Succeed())
			Expect(f.ids()).To(BeEmpty())
		})

		It("logs each transition once", func() {
			f := newFixture()
			Expect(f.read()).To(Succeed())
			f.store.err = errors.New("down")
			for range 3 {
				Expect(f.read()).NotTo(Succeed())
			}
			f.store.err = nil
			Expect(f.read()).To(Succeed())
			var messages []string
			for _, entry := range f.logs.AllEntries() {
				messages = append(messages, entry.Message)
			}
			Expect(messages).To(Equal([]string{"store reachable", "store unreachable", "store reachable"}))
		})
	})
})

// countingTransport records the size of the largest request.
type countingTransport struct{ largest int64 }

func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.largest = max(t.largest, r.ContentLength)
	return http.DefaultTransport.RoundTrip(r)
}

var _ = Describe("pulls between daemons", func() {
	// serve serves an exchange on a loopback port and returns its address.
	serve := func(f *fixture) (string, *Exchange) {
		e := NewExchange(f.members, Peer{}, nil, http.DefaultClient, logrus.NewEntry(logrus.New()))
		server := httptest.NewServer(peerrpc.NewMembershipServer(e))
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://"), e
	}

	It("transfer what the caller lacks", func() {
		source, caller := newFixture(), newFixture()
		source.store.append(TopicOperators, "config", "5")
		source.store.append(TopicServers, "a", "1.1.1.1:1")
		Expect(source.read()).To(Succeed())
		address, _ := serve(source)
		e := NewExchange(caller.members, Peer{}, []string{address}, http.DefaultClient, caller.follower.log)
		Expect(e.Pull(context.Background(), address)).To(Succeed())
		Expect(caller.members.Config().Version).To(Equal(int64(5)))
		Expect(caller.ids()).To(ConsistOf("a"))
	})

	It("send nothing to the peer, which pulls by itself", func() {
		peer, caller := newFixture(), newFixture()
		caller.store.append(TopicOperators, "config", "5")
		Expect(caller.read()).To(Succeed())
		address, server := serve(peer)
		sent := &countingTransport{}
		e := NewExchange(caller.members, Peer{Control: "10.0.0.9:1"}, []string{address}, &http.Client{Transport: sent}, caller.follower.log)
		for range 3 {
			Expect(e.Pull(context.Background(), address)).To(Succeed())
		}
		Expect(sent.largest).To(BeNumerically("<", 40))
		Expect(peer.members.Config()).To(BeNil())
		source, _ := serve(caller)
		Expect(server.Pull(context.Background(), source)).To(Succeed())
		Expect(peer.members.Config().Version).To(Equal(int64(5)))
	})

	It("leave the configuration out if only servers are requested", func() {
		source, caller := newFixture(), newFixture()
		source.store.append(TopicOperators, "config", "5")
		source.store.append(TopicServers, "a", "1.1.1.1:1")
		Expect(source.read()).To(Succeed())
		address, _ := serve(source)
		e := NewExchange(caller.members, Peer{}, []string{address}, http.DefaultClient, caller.follower.log)
		Expect(e.PullServers(context.Background(), address)).To(Succeed())
		Expect(caller.members.Config()).To(BeNil())
		Expect(caller.ids()).To(ConsistOf("a"))
		Expect(e.Pull(context.Background(), address)).To(Succeed())
		Expect(caller.members.Config().Version).To(Equal(int64(5)))
	})

	It("never replace a configuration by an older one", func() {
		old, newer := newFixture(), newFixture()
		old.store.append(TopicOperators, "config", "5")
		Expect(old.read()).To(Succeed())
		newer.store.append(TopicOperators, "config", "5")
		newer.store.append(TopicOperators, "config", "8")
		Expect(newer.read()).To(Succeed())
		address, _ := serve(old)
		e := NewExchange(newer.members, Peer{}, []string{address}, http.DefaultClient, newer.follower.log)
		Expect(e.Pull(context.Background(), address)).To(Succeed())
		Expect(newer.members.Config().Version).To(Equal(int64(8)))
	})

	It("make the caller known to the peer", func() {
		peer, caller := newFixture(), newFixture()
		address, server := serve(peer)
		e := NewExchange(caller.members, Peer{Control: "10.0.0.9:1"}, []string{address}, http.DefaultClient, caller.follower.log)
		Expect(e.Pull(context.Background(), address)).To(Succeed())
		Expect(server.Peers()).To(ConsistOf("10.0.0.9:1"))
	})
})
