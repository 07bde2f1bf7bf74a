package harness

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/crowbridge/crowbridge/standins/engine"
	"github.com/pkg/errors"
)

// SetServerFaults sets the faults of a backend server's responses, and returns the counts of the
// ones before.
func (c *Cluster) SetServerFaults(server Server, faults engine.Faults) (engine.FaultCounts, error) {
	var counts engine.FaultCounts
	body, err := json.Marshal(faults)
	if err != nil {
		return counts, errors.Wrap(err, "server faults")
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+server.BackendAddress()+engine.FaultsPath, bytes.NewReader(body))
	if err != nil {
		return counts, errors.Wrap(err, "server faults")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return counts, errors.Wrap(err, "server faults")
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	if response.StatusCode != http.StatusOK {
		return counts, errors.Errorf("server faults: %s: status %d", server.Name, response.StatusCode)
	}
	return counts, errors.Wrap(json.NewDecoder(response.Body).Decode(&counts), "server faults")
}
