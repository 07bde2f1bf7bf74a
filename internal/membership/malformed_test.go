package membership

import (
	"fmt"
	"maps"
	"strings"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

var _ = Describe("malformed registrations", func() {
	It("are dropped and logged once", func() {
		f := newFixture()
		f.store.append(TopicServers, "a", "1.1.1.1:1")
		f.store.append(TopicServers, "b", "1.1.1.2:1")
		Expect(f.read()).To(Succeed())
		for range 3 {
			f.store.append(TopicServers, "a", " no address")
			Expect(f.read()).To(Succeed())
		}
		Expect(f.ids()).To(ConsistOf("b"))
		refusals := 0
		for _, entry := range f.logs.AllEntries() {
			if strings.Contains(entry.Message, "registration refused") {
				refusals++
			}
		}
		Expect(refusals).To(Equal(1))
		f.store.append(TopicServers, "a", "1.1.1.1:1")
		Expect(f.read()).To(Succeed())
		Expect(f.ids()).To(ConsistOf("a", "b"))
	})

	// The result is the same whether the records are read from the store in any batches or pulled
	// from a peer.
	It("don't affect valid registrations", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			here, there := newFixture(), newFixture()
			want := map[string]bool{}
			for range rapid.IntRange(1, 25).Draw(t, "entries") {
				id := fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))
				switch rapid.IntRange(0, 4).Draw(t, "entry") {
				case 0, 1:
					here.store.append(TopicServers, id, "1.1.1.1:1")
					want[id] = true
				case 2:
					here.store.append(TopicServers, id, " bad")
					delete(want, id)
				case 3:
					here.store.append(TopicServers, id, "")
					delete(want, id)
				case 4:
					here.store.append(TopicServers, "", "")
					last := &here.store.records[TopicServers][len(here.store.records[TopicServers])-1]
					last.Unreadable = "shorter than its key"
				}
				if rapid.Bool().Draw(t, "read now") {
					if err := here.read(); err != nil {
						t.Fatal(err)
					}
				}
			}
			if err := here.read(); err != nil {
				t.Fatal(err)
			}
			log := logrus.NewEntry(logrus.New())
			source := NewExchange(here.members, Peer{}, nil, nil, log)
			_, servers := source.changesSince(&peerrpc.ExchangeRequest{OperatorsNext: -1, ServersNext: -1})
			NewExchange(there.members, Peer{}, nil, nil, log).mergeReply(&peerrpc.ExchangeReply{Servers: servers}, there.now, "peer")
			for _, f := range []*fixture{here, there} {
				got := map[string]bool{}
				for _, id := range f.ids() {
					got[id] = true
				}
				if !maps.Equal(got, want) {
					t.Fatalf("servers %v, want %v", got, want)
				}
			}
		})
	})
})
