package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// chunkBytes is the largest payload of one snapshot chunk before base64.
const chunkBytes = 256 << 10

// SnapshotChunk is one part of a snapshot on the log.
type SnapshotChunk struct {
	// Hash of the whole encoded snapshot; it also identifies the snapshot.
	Hash string `json:"hash"`
	// Base is the offset up to which the snapshot folded.
	Base  int64  `json:"base"`
	Index int    `json:"index"`
	Count int    `json:"count"`
	Data  []byte `json:"data"`
}

// maxAssemblies bounds how many torn snapshots are held while chunks may still come.
const maxAssemblies = 4

type assembly struct {
	base  int64
	parts map[int][]byte
}

// EncodeSnapshot returns the state as bytes that DecodeSnapshot reads.
func (s *State) EncodeSnapshot() ([]byte, error) {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(writer).Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot reads the bytes of EncodeSnapshot.
func DecodeSnapshot(data []byte) (*State, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "open snapshot")
	}
	plain, err := io.ReadAll(reader)
	if err != nil {
		return nil, errors.Wrap(err, "read snapshot")
	}
	state := NewState()
	if err := json.Unmarshal(plain, state); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return state, nil
}

// SnapshotRecords cuts the state into records for the log.
func (s *State) SnapshotRecords() ([]*Record, error) {
	data, err := s.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	hash := hex.EncodeToString(sum[:])
	count := (len(data) + chunkBytes - 1) / chunkBytes
	records := make([]*Record, 0, count)
	for i := range count {
		part := data[i*chunkBytes : min((i+1)*chunkBytes, len(data))]
		records = append(records, &Record{
			Format: FormatVersion, Kind: RecordSnapshot,
			Snapshot: &SnapshotChunk{Hash: hash, Base: s.Offset, Index: i, Count: count, Data: part},
		})
	}
	return records, nil
}

// foldSnapshotChunk only notes when a snapshot is complete: a process that
// folds already has the state, so the chunks change nothing.
func (s *State) foldSnapshotChunk(chunk *SnapshotChunk) {
	if _, complete := s.collect(chunk); complete {
		s.SnapshotBase = max(s.SnapshotBase, chunk.Base)
	}
}

// collect adds a chunk to its snapshot and returns the whole once it's there
// and its hash is right. Doubled and interleaved chunks are harmless.
func (s *State) collect(chunk *SnapshotChunk) ([]byte, bool) {
	if chunk.Count < 1 || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return nil, false
	}
	part := s.assembly[chunk.Hash]
	if part == nil {
		part = &assembly{base: chunk.Base, parts: map[int][]byte{}}
		s.assembly[chunk.Hash] = part
		s.dropOldestAssembly()
	}
	part.parts[chunk.Index] = chunk.Data
	if len(part.parts) < chunk.Count {
		return nil, false
	}
	delete(s.assembly, chunk.Hash)
	var whole []byte
	for i := range chunk.Count {
		whole = append(whole, part.parts[i]...)
	}
	sum := sha256.Sum256(whole)
	return whole, hex.EncodeToString(sum[:]) == chunk.Hash
}

func (s *State) dropOldestAssembly() {
	if len(s.assembly) <= maxAssemblies {
		return
	}
	oldest := ""
	for hash, part := range s.assembly {
		if oldest == "" || part.base < s.assembly[oldest].base {
			oldest = hash
		}
	}
	delete(s.assembly, oldest)
}

// Restore finds the newest complete snapshot among entries and folds what
// follows its base. It is for a process whose own history fell off the log;
// entries start at the log's first kept offset. It returns nil when no
// snapshot is complete or records after its base are missing.
func Restore(entries []LogEntry) *State {
	best := newestSnapshot(entries)
	if best == nil {
		return nil
	}
	for _, entry := range entries {
		if err := best.Fold(entry); err != nil {
			return nil
		}
	}
	return best
}

func newestSnapshot(entries []LogEntry) *State {
	scratch := NewState()
	var best *State
	for _, entry := range entries {
		record, err := DecodeRecord(entry.Data)
		if err != nil || record.Kind != RecordSnapshot || record.Snapshot == nil {
			continue
		}
		whole, complete := scratch.collect(record.Snapshot)
		if !complete {
			continue
		}
		state, err := DecodeSnapshot(whole)
		if err != nil || (best != nil && state.Offset <= best.Offset) {
			continue
		}
		best = state
	}
	return best
}
