package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// EncodeSnapshot encodes the state for DecodeSnapshot.
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

// DecodeSnapshot decodes a state that EncodeSnapshot encoded.
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
