package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log of topics with one partition each. It
// never loses an acknowledged record, and all its answers are current.
type store struct {
	mu      sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
	// busy holds the callers whose calls are answered with 503, cut those whose calls are reset.
	busy, cut map[string]bool
	// rejectedAt is the time of a caller's last read of registrations that was answered so.
	rejectedAt map[string]time.Time
	// returns reports whether the store comes back for a busy caller with its present call. The
	// callee may not use the store.
	returns func(caller string, r *http.Request, rejectedAt map[string]time.Time) bool
	// heals reports whether the path of a caller that is cut off heals with its present call.
	heals func(caller string, r *http.Request) bool
	// onRead is called after a caller has read registrations up to an offset.
	onRead func(caller string, end int64)
}

// logRecord is a record; key and value are set in topics with keys. A nil value deletes the key.
type logRecord struct {
	raw        []byte
	key        string
	value      []byte
	keyed      bool
	appendedAt time.Time
}

func newStore() *store {
	return &store{
		topics: map[string][]logRecord{}, changed: make(chan struct{}), busy: map[string]bool{}, cut: map[string]bool{}, rejectedAt: map[string]time.Time{},
		returns: func(string, *http.Request, map[string]time.Time) bool { return false }, heals: func(string, *http.Request) bool { return false }, onRead: func(string, int64) {},
	}
}

const registrations = "keyed.servers"

// put appends the newest record of a key; a nil value deletes the key. It returns the record's offset.
func (s *store) put(topic, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	raw = append(raw, value...)
	return s.append(topic, raw)
}

// append appends a raw record. The caller holds mu.
func (s *store) append(topic string, raw []byte) int64 {
	r := logRecord{raw: raw, appendedAt: time.Now()}
	if strings.HasPrefix(topic, "keyed.") && len(raw) > 0 && len(raw) >= 1+int(raw[0]) {
		end := 1 + int(raw[0])
		r.keyed, r.key, r.value = true, string(raw[1:end]), raw[end:]
	}
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return int64(len(s.topics[topic]) - 1)
}

// setBusy makes the store turn a caller away, or serve it.
func (s *store) setBusy(caller string, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[caller] = busy
	close(s.changed) // pending long polls of the caller end
	s.changed = make(chan struct{})
}

// setCut cuts a caller off. The path heals as heals says.
func (s *store) setCut(caller string, heals func(caller string, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[caller], s.heals = true, heals
	close(s.changed) // pending long polls of the caller end
	s.changed = make(chan struct{})
}

// isCut reports whether a new call of a caller is reset.
func (s *store) isCut(caller string, r *http.Request) bool {
	s.mu.Lock()
	cut, heals := s.cut[caller], s.heals
	s.mu.Unlock()
	if !cut || !heals(caller, r) {
		return cut
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[caller] = false
	return false
}

// rejects reports whether a new call of a caller is turned away.
func (s *store) rejects(caller string, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[caller] && s.returns(caller, r, s.rejectedAt) {
		s.busy[caller] = false
	}
	if s.busy[caller] {
		if r.URL.Query().Get("topic") == registrations {
			s.rejectedAt[caller] = time.Now()
		}
	}
	return s.busy[caller]
}

// serve serves one caller at an address of its own, and returns that address.
func (s *store) serve(caller string) string {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log-read", func(w http.ResponseWriter, r *http.Request) { s.read(caller, w, r) })
	mux.HandleFunc("GET /log-newest", func(w http.ResponseWriter, r *http.Request) { s.newest(caller, w, r) })
	mux.HandleFunc("POST /log-append", s.appendCall)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isCut(caller, r) {
				panic(http.ErrAbortHandler)
			}
			if s.rejects(caller, r) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return listener.Addr().String()
}

func (s *store) read(caller string, w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed, busy, cut := s.topics[topic], s.changed, s.busy[caller], s.cut[caller]
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		end := int64(len(records))
		if busy {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if end <= from && wait > 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				wait = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, record := range records[min(from, end):] {
			body = binary.BigEndian.AppendUint32(body, uint32(len(record.raw)))
			body = append(body, record.raw...)
		}
		_, _ = w.Write(body)
		if topic == registrations {
			s.onRead(caller, end)
		}
		return
	}
}

func (s *store) newest(caller string, w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	newest := map[string]item{}
	for offset, record := range records {
		delete(newest, record.key)
		if len(record.value) > 0 {
			newest[record.key] = item{record.key, base64.StdEncoding.EncodeToString(record.value), int64(offset)}
		}
	}
	items := []item{}
	for _, i := range newest {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(records)})
	if topic == registrations {
		s.onRead(caller, int64(len(records)))
	}
}

func (s *store) appendCall(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if expected := r.URL.Query().Get("expected_end"); expected != "" && expected != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"end": end})
		return
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		s.append(topic, body[4:4+size])
		body = body[4+size:]
	}
	writeJSON(w, map[string]any{"offset": end, "end": len(s.topics[topic])})
}

func writeJSON(w http.ResponseWriter, value any) {
	data := must(json.Marshal(value))
	_, _ = w.Write(data)
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(fmt.Errorf("stand-in: %w", err))
	}
	return value
}
