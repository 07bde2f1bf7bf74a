package platform

import (
	_ "embed"
	"fmt"
	"net/http"

	"github.com/crowbridge/crowbridge/platform"
)

// BackendConfig is a configuration in the platform's format, with the routes that
// Backend serves at BackendHost: BackendPlain and BackendStream.
//
//go:embed backend_config.json
var BackendConfig string

// Where BackendConfig's public routes are, and their service.
const (
	BackendHost       = "h.example"
	BackendPlainPath  = "/plain/x"
	BackendStreamPath = "/stream/x"
	BackendService    = "s"
)

// Backend answers as the platform's backend servers do: with the request's ID and
// a signature, and on the stream's path with a number of events, one a write.
func BackendHandler(events int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(BackendPlainPath, func(w http.ResponseWriter, r *http.Request) {
		setPlatformHeaders(w, r)
		fmt.Fprint(w, "an answer")
	})
	mux.HandleFunc(BackendStreamPath, func(w http.ResponseWriter, r *http.Request) {
		setPlatformHeaders(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		stream := http.NewResponseController(w)
		for id := range events {
			fmt.Fprintf(w, "id: %d\ndata: five tokens of text or so\n\n", id+1)
			if stream.Flush() != nil {
				return // the caller left
			}
		}
	})
	return mux
}

func setPlatformHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "s")
}
