package platform

import (
	_ "embed"
	"fmt"
	"net/http"

	"github.com/crowbridge/crowbridge/platform"
)

// BackendConfig is a configuration in the platform's format. Its routes lead to the paths
// that BackendHandler serves at BackendHost.
//
//go:embed backend_config.json
var BackendConfig string

// Public routes of BackendConfig and their service.
const (
	BackendHost       = "h.example"
	BackendPlainPath  = "/plain/x"
	BackendStreamPath = "/stream/x"
	BackendService    = "s"
)

// BackendHandler responds like the platform's backend servers, with the request's ID and a
// signature. BackendStreamPath sends the given number of events, one per write.
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
				return // the caller disconnected
			}
		}
	})
	return mux
}

func setPlatformHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "s")
}
