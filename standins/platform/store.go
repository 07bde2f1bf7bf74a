package platform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
)

// The stand-in of the platform's metadata store speaks its published protocol:
// one partition a topic, raw records with their lengths. It has the topic of
// the product's configuration and the registrations of servers.

// appendRecord takes one record of the configuration.
func (s *Server) appendRecord(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.log.delay())
	body, err := io.ReadAll(r.Body)
	if err != nil || r.URL.Query().Get("topic") != platform.TopicConfiguration || len(body) < platform.LengthBytes+platform.TimeBytes ||
		int(binary.BigEndian.Uint32(body)) != len(body)-platform.LengthBytes {
		http.Error(w, "one record of "+platform.TopicConfiguration+" with its length", http.StatusBadRequest)
		return
	}
	offset, err := s.log.Append(r.Context(), body[platform.LengthBytes+platform.TimeBytes:])
	if errors.Is(err, ErrLostAnswer) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset, "end": offset + 1})
}

// readRecords answers with the end, the first offset, and records.
func (s *Server) readRecords(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.log.delay())
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64) // missing: don't wait
	entries, err := s.log.Read(r.Context(), from-1, time.Duration(waitMs)*time.Millisecond)
	if err != nil && !errors.Is(err, replica.ErrGone) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	first, firstErr := s.log.First(r.Context())
	if firstErr != nil {
		http.Error(w, firstErr.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"first": first})
		return
	}
	_, _ = w.Write(encodeEntries(from+int64(len(entries)), first, entries)) // the reader is gone
}

func encodeEntries(end, first int64, entries []config.LogEntry) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for _, e := range entries {
		data = binary.BigEndian.AppendUint32(data, uint32(platform.TimeBytes+len(e.Data)))
		data = binary.BigEndian.AppendUint64(data, uint64(e.TimeMs))
		data = append(data, e.Data...)
	}
	return data
}

// newest answers with the registrations of servers.
func (s *Server) newest(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("topic") != platform.TopicRegistrations {
		http.Error(w, "topic: only "+platform.TopicRegistrations+" is kept by key here", http.StatusBadRequest)
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for id, state := range s.vms {
		value, err := json.Marshal(map[string]string{"state": state})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		items = append(items, item{Key: id, Value: base64.StdEncoding.EncodeToString(value), Offset: int64(len(items))})
	}
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end": len(items)})
}
