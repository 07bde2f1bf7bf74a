// Package platform is a test double of the users' platform: an in-memory store that speaks
// the published protocol, with injectable faults, and simple backend servers.
package platform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/platform"
)

// Store keeps topics of one partition each in memory. It implements http.Handler and is
// safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	faults  Faults
	era     int64 // incremented by each restore
	backup  map[string]*topic
}

// topic is a log whose oldest records may have been dropped.
type topic struct {
	first   int64 // offset of records[0]
	records [][]byte
	newest  map[string]item // by key, in a keyed topic
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"` // base64
	Offset int64  `json:"offset"`
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Faults are the injectable faults of a store.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// LoseResponses executes appends and then drops the connection.
	LoseResponses bool `json:"loseAnswers"`
	// DelayMs delays every call.
	DelayMs int64 `json:"delayMs"`
	// MaxRecords bounds the records that a topic retains; 0 retains all.
	MaxRecords int `json:"keep"`
	// OmitEra leaves the era out of responses, like a store without eras.
	OmitEra bool `json:"noEra"`
	// StallReads makes reads that start while it is set return new records only after
	// their wait time.
	StallReads bool `json:"deaf"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, changed: make(chan struct{}), era: firstEra}
}

const firstEra = 1

// TakeBackup saves the topics for RestoreBackup.
func (s *Store) TakeBackup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = cloneTopics(s.topics)
}

// RestoreBackup replaces the topics by those of the last backup and starts the next era.
// Pending reads get no response.
func (s *Store) RestoreBackup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(s.backup)
	s.era++
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clone := make(map[string]*topic, len(topics))
	for name, t := range topics {
		clone[name] = &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return clone
}

// lockWithEra locks the store and writes the era header of a response.
func (s *Store) lockWithEra(w http.ResponseWriter) (era int64) {
	s.mu.Lock()
	if !s.faults.OmitEra {
		w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.era, 10))
	}
	return s.era
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	for _, t := range s.topics {
		s.trim(t)
	}
	close(s.changed) // pending reads fail if the store is down now
	s.changed = make(chan struct{})
}

// Put appends a record to a keyed topic.
func (s *Store) Put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(name, append([]byte{byte(len(key))}, key+value...))
}

// Compact drops the log of a topic and retains the newest record of each key. Reads from
// earlier offsets fail with status 410, also pending ones.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first, t.records = t.end(), nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// Records returns the retained records of a topic.
func (s *Store) Records(name string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.topic(name).records)
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}}
		s.topics[name] = t
	}
	return t
}

const (
	// Limits of the users' platform for one record and one append.
	maxRecordBytes = 256 << 10
	maxAppendBytes = 2 << 20
)

// keyedPrefix starts the names of topics whose records have keys.
const keyedPrefix = "keyed."

func (s *Store) appendRecord(name string, record []byte) {
	t := s.topic(name)
	if strings.HasPrefix(name, keyedPrefix) {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		t.newest[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: t.end()}
		if len(value) == 0 {
			delete(t.newest, key)
		}
	}
	t.records = append(t.records, record)
	s.trim(t)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) trim(t *topic) {
	if excess := len(t.records) - s.faults.MaxRecords; s.faults.MaxRecords > 0 && excess > 0 {
		t.first += int64(excess)
		t.records = slices.Clone(t.records[excess:])
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.lockWithEra(w)
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMs) * time.Millisecond)
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case platform.PathAppend:
		s.serveAppend(w, r)
	case platform.PathRead:
		s.serveRead(w, r)
	case platform.PathNewest:
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

// splitRecords decodes length-prefixed records.
func splitRecords(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < platform.LengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[platform.LengthBytes:]
		if size > len(body) || size > maxRecordBytes {
			return nil, false
		}
		records = append(records, body[:size])
		body = body[size:]
	}
	return records, len(records) > 0
}

// serveAppend appends all records of a request or none.
func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := splitRecords(body)
	if err != nil || !ok || len(body) > maxAppendBytes {
		http.Error(w, "body: want length-prefixed records within the size limits", http.StatusBadRequest)
		return
	}
	s.lockWithEra(w)
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	end := s.topic(name).end()
	if expected := r.URL.Query().Get(platform.QueryExpectedEnd); expected != "" && expected != strconv.FormatInt(end, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int64{"end": end})
		return
	}
	for _, record := range records {
		s.appendRecord(name, record)
	}
	if s.faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"offset": end, "end": end + int64(len(records))})
}

// serveRead returns the topic's end, its first retained offset, and records. It waits up to
// wait_ms for a new record.
func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64) // missing: don't wait
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	stalled, startEra := s.readState()
	for {
		changed, era, done := s.tryRead(w, query.Get("topic"), from, waitMs <= 0, startEra)
		if done {
			return
		}
		if stalled || era != startEra {
			changed = nil
		}
		select {
		case <-changed:
		case <-timeout:
			if era != startEra {
				panic(http.ErrAbortHandler)
			}
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// readState returns whether reads stall, and the era.
func (s *Store) readState() (stalled bool, era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.StallReads, s.era
}

// tryRead responds to a read if a record is available, or if allowEmpty is set. It never
// responds to a read that started in another era.
func (s *Store) tryRead(w http.ResponseWriter, name string, from int64, allowEmpty bool, startEra int64) (<-chan struct{}, int64, bool) {
	era := s.lockWithEra(w)
	defer s.mu.Unlock()
	if era != startEra {
		return nil, era, false
	}
	t := s.topic(name)
	switch {
	case s.faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case from < t.first || from > t.end():
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"first": t.first})
	case from >= t.end() && !allowEmpty:
		return s.changed, era, false
	default:
		_, _ = w.Write(t.encode(from)) // fails if the reader disconnected
	}
	return nil, era, true
}

// maxReadRecords bounds the records in one response.
const maxReadRecords = 1000

func (t *topic) encode(from int64) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	data = binary.BigEndian.AppendUint64(data, uint64(t.first))
	if from >= t.end() {
		return data
	}
	records := t.records[from-t.first:]
	for _, record := range records[:min(len(records), maxReadRecords)] {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

// serveNewest returns the newest record of each key, in one page.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.lockWithEra(w)
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for _, newest := range t.newest {
		items = append(items, newest)
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": t.end()})
}

func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value) // fails if the reader disconnected
}
