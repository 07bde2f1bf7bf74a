package entry

import (
	"net/http"
	"strings"

	"github.com/crowbridge/crowbridge/internal/headers"
)

// forwardedHeaders are the X-Crowbridge headers that are forwarded to callers.
var forwardedHeaders = map[string]bool{
	headers.Server: true, headers.Replayed: true, headers.Outcome: true,
}

// copyResponseHeaders copies a response's headers except internal ones and those that
// fasthttp sets itself.
func copyResponseHeaders(x *exchange, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, "X-Crowbridge-") && !forwardedHeaders[name] {
			continue
		}
		switch name {
		case "Content-Length", "Connection", "Transfer-Encoding", "Date":
			continue
		}
		for i, value := range values {
			if i == 0 {
				x.ctx.Response.Header.Set(name, value)
			} else {
				x.ctx.Response.Header.Add(name, value)
			}
		}
	}
}
