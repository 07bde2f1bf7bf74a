package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/httpjson"
	"github.com/pkg/errors"
)

// EngineState is what an engine that is a rank of a group tells.
type EngineState struct {
	// Instance is another with each start of the engine.
	Instance string           `json:"instance"`
	Plan     group.EnginePlan `json:"plan"`
	// Popularity counts the work per expert since the engine's start, layer by
	// layer.
	Popularity []int64 `json:"popularity,omitempty"`
	// BusyUs is how long the engine was busy itself in its last step.
	BusyUs int64 `json:"busyUs"`
}

// EngineControl gives an engine orders about steps and maps. An engine may
// ignore the fencing number; the agent has checked it before.
type EngineControl interface {
	// State reads the engine back.
	State(ctx context.Context) (*EngineState, error)
	// Stage loads a map version's weights beside the one in use.
	Stage(ctx context.Context, fence int64, version group.Version, expertMap []byte) error
	// Map returns the expert map of a version that was staged.
	Map(ctx context.Context, version group.Version) ([]byte, error)
	// Tell sets the switch to come and the last step that may begin. An engine that
	// isn't the instance refuses: the plan was made for the process before it.
	Tell(ctx context.Context, fence int64, instance string, plan group.EnginePlan) error
}

// HTTPEngine speaks the engines' order protocol over HTTP.
type HTTPEngine struct {
	client *httpjson.Client
}

const engineTimeout = 5 * time.Second

// NewHTTPEngine returns a client for the engine at a base URL.
func NewHTTPEngine(base string) *HTTPEngine {
	return &HTTPEngine{client: httpjson.NewClient("engine", base, engineTimeout)}
}

// State implements EngineControl.
func (e *HTTPEngine) State(ctx context.Context) (*EngineState, error) {
	var state EngineState
	return &state, e.client.Call(ctx, http.MethodGet, "/admin/state", nil, &state)
}

// Stage implements EngineControl.
func (e *HTTPEngine) Stage(ctx context.Context, fence int64, version group.Version, expertMap []byte) error {
	return e.client.Call(ctx, http.MethodPut, fmt.Sprintf("/admin/stage/%d?fence=%d", version, fence), expertMap, nil)
}

// Map implements EngineControl.
func (e *HTTPEngine) Map(ctx context.Context, version group.Version) ([]byte, error) {
	var expertMap json.RawMessage
	err := e.client.Call(ctx, http.MethodGet, fmt.Sprintf("/admin/map/%d", version), nil, &expertMap)
	return expertMap, err
}

// Tell implements EngineControl.
func (e *HTTPEngine) Tell(ctx context.Context, fence int64, instance string, plan group.EnginePlan) error {
	body, err := json.Marshal(plan)
	if err != nil {
		return errors.Wrap(err, "plan")
	}
	return e.client.Call(ctx, http.MethodPut, fmt.Sprintf("/admin/plan?fence=%d&instance=%s", fence, url.QueryEscape(instance)), body, nil)
}
