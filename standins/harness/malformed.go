package harness

import (
	"bytes"
	"encoding/binary"
	"net/http"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
)

// malformedRecords are records of other writers, by topic: undecodable bytes, and records with
// missing fields or fields of another type.
var malformedRecords = map[string][]string{
	platform.TopicConfiguration: {"short", "a time is 8 bytes, the rest is no record", "........{\"format\":\"one\"}"},
	"leases":                    {"\xff{", `{"group":5}`, `[]`},
	platform.TopicRegistrations: {"\x08stranger\xff", "\x05other{\"service\":1,\"state\":[]}", "\x05third{\"state\":\"resting\"}"},
}

// WriteMalformedRecords appends records to the store that daemons must ignore.
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
			return errors.Wrap(err, "write malformed records")
		}
		if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
			return errors.Errorf("write malformed records: topic %s: status %d", topic, response.StatusCode)
		}
	}
	return nil
}
