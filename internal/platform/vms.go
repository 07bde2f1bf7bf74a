package platform

import (
	"context"
	"net/http"

	"github.com/crowbridge/crowbridge/internal/httpjson"
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
	client *httpjson.Client
}

// NewHTTPVMList returns a client for the list at a base URL.
func NewHTTPVMList(base string) *HTTPVMList {
	return &HTTPVMList{client: httpjson.NewClient("VM list", base, 0)}
}

// VMs implements VMList.
func (l *HTTPVMList) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := l.client.Call(ctx, http.MethodGet, "/v1/vms", nil, &vms)
	return vms, err
}
