package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// topicLog is a topic with one partition, numbered 0.
type topicLog struct {
	records   [][]byte
	writtenAt []time.Time
	newest    map[string]int // offset of the newest record of each key, in a keyed topic
}

// store stands in for the platform's store: topics, conditional appends, long polls, newest records.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topicLog
	changed chan struct{}
	address string
	// keep is how long records are retained, but for the newest of each key; 0 retains all.
	keep time.Duration
	// lost decides whether a write gets no answer and is done later; nil loses none. wrote is told of
	// each append to a topic; nil is told of none.
	lost  func(topic string) (late time.Duration, lost bool)
	wrote func(topic string, offset int)
}

func newStore() *store {
	s := &store{topics: map[string]*topicLog{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func (s *store) topic(name string) *topicLog {
	t := s.topics[name]
	if t == nil {
		t = &topicLog{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record of a key to a keyed topic. The caller's answer is the acknowledgement.
func (s *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	if value == nil {
		data = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, append(append([]byte{byte(len(key))}, key...), data...))
}

// append adds a record and wakes pending reads. The caller holds mu.
func (s *store) append(name string, record []byte) {
	t := s.topic(name)
	t.records, t.writtenAt = append(t.records, record), append(t.writtenAt, time.Now())
	if strings.HasPrefix(name, "keyed.") {
		t.newest[string(record[1:1+int(record[0])])] = len(t.records) - 1
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	query := r.URL.Query()
	name := query.Get("topic")
	switch r.URL.Path {
	case "/log-read":
		from, _ := strconv.Atoi(query.Get("from"))
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.read(w, r, name, from, time.Duration(wait)*time.Millisecond)
	case "/log-newest":
		s.readNewest(w, name)
	case "/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if s.lost != nil {
			if late, lost := s.lost(name); lost {
				time.AfterFunc(late, func() { s.appendAt(discard{}, name, query.Get("expected_end"), body) })
				<-r.Context().Done()
				return
			}
		}
		s.appendAt(w, name, query.Get("expected_end"), body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from int, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		records, first := s.topic(name).records, s.first(name)
		changed := s.changed
		s.mu.Unlock()
		if from > len(records) || from < first {
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int{"first": first})
			return
		}
		if len(records) > from || wait == 0 {
			writeRecords(w, records, first, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// first returns the first offset that is retained. The caller holds mu.
func (s *store) first(name string) int {
	t, first := s.topic(name), 0
	for s.keep > 0 && first < len(t.records) && time.Since(t.writtenAt[first]) > s.keep {
		first++
	}
	return first
}

func writeRecords(w http.ResponseWriter, records [][]byte, first, from int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, record := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out)
}

func (s *store) readNewest(w http.ResponseWriter, name string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	items := []item{}
	for key, offset := range t.newest {
		value := t.records[offset][1+len(key):]
		if len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

// discard is the answer that nobody gets.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}

func (s *store) appendAt(w http.ResponseWriter, name, expected string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if end, err := strconv.Atoi(expected); err == nil && end != len(t.records) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]int{"end": len(t.records)})
		return
	}
	first := len(t.records)
	if s.wrote != nil {
		s.wrote(name, first)
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		s.append(name, append([]byte(nil), body[:size]...))
		body = body[size:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": len(s.topic(name).records)})
}
