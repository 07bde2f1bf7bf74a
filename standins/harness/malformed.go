package harness

import (
	"bytes"
	"encoding/binary"
	"net/http"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
)

// litter is what other writers leave on the store, by topic: bytes that can't be read, and
// entries with fields missing or of another type.
var malformedRecords = map[string][]string{
	platform.TopicConfiguration: {"short", "a time is 8 bytes, the rest is no record", "........{\"format\":\"one\"}"},
	"leases":                    {"\xff{", `{"group":5}`, `[]`},
	platform.TopicRegistrations: {"\x08stranger\xff", "\x05other{\"service\":1,\"state\":[]}", "\x05third{\"state\":\"resting\"}"},
}

// Litter leaves entries of other writers on the store, beside which all goes on.
func (c *Cluster) WriteMalformedRecords() error {
	for topic, records := range malformedRecords {
		var body bytes.Buffer
		for _, record := range records {
			body.Write(binary.BigEndian.AppendUint32(nil, uint32(len(record))))
			body.WriteString(record)
		}
		url := "http://" + c.platformAddresses[c.Layout.Zones[0]] + platform.PathAppend + "?part=0&topic=" + topic
		response, err := http.Post(url, "application/octet-stream", &body)
		if err != nil {
			return errors.Wrap(err, "litter")
		}
		if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
			return errors.Errorf("litter: topic %s: status %d", topic, response.StatusCode)
		}
	}
	return nil
}
