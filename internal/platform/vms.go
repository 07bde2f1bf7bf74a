package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// VMState is what the platform's list says of a VM.
type VMState string

// The states in the platform's list, which lags behind reality.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the platform's list.
type VM struct {
	Name  string  `json:"name"`
	State VMState `json:"state"`
}

// VMList is the platform's list of VMs.
type VMList interface {
	// VMs returns the list as the platform knows it now.
	VMs(ctx context.Context) ([]VM, error)
}

// HTTPVMList reads the list over HTTP.
type HTTPVMList struct {
	base   string
	client *http.Client
}

// NewHTTPVMList returns a client for the list at a base URL.
func NewHTTPVMList(base string) *HTTPVMList {
	return &HTTPVMList{base: base, client: &http.Client{}}
}

// VMs implements VMList.
func (l *HTTPVMList) VMs(ctx context.Context) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.base+"/v1/vms", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "VM list at %s", l.base)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "VM list at %s", l.base)
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("VM list at %s: status %d", l.base, response.StatusCode)
	}
	var vms []VM
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&vms)
	return vms, errors.Wrapf(err, "VM list at %s: answer", l.base)
}
