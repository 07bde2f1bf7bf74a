package main

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"github.com/urfave/cli/v3"
)

const callTimeout = 15 * time.Second

// tokenTransport adds the operator's token to each call.
type tokenTransport struct {
	token string
}

// RoundTrip implements http.RoundTripper.
func (t tokenTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("Authorization", "Bearer "+t.token)
	return http.DefaultTransport.RoundTrip(request)
}

// call runs f with the first entry that responds.
func call(ctx context.Context, cmd *cli.Command, f func(context.Context, rpc.Operators) error) error {
	entries := cmd.StringSlice("entry")
	if len(entries) == 0 {
		return errors.New("no entry: set --entry IP:port or CROWBRIDGE_ENTRY")
	}
	client := &http.Client{Transport: tokenTransport{token: cmd.String("token")}, Timeout: callTimeout}
	var last error
	for _, address := range entries {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("--entry %q: use IP:port", address)
		}
		last = f(ctx, rpc.NewOperatorsProtobufClient("http://"+address, client))
		if last == nil || isEntryResponse(last) {
			return last
		}
		last = errors.Wrapf(last, "entry %s", address)
	}
	return last
}

// isEntryResponse reports whether an error is an entry's response instead of a failure to reach the
// entry.
func isEntryResponse(err error) bool {
	var commandErr *commandError
	if errors.As(err, &commandErr) {
		return true
	}
	var failure twirp.Error
	return errors.As(err, &failure) && failure.Code() != twirp.Internal && failure.Code() != twirp.Unavailable
}
