package entry

import (
	"net/http"
	"strings"

	"github.com/crowbridge/crowbridge/internal/wire"
)

// answerHeaders are crowbridge's own headers that callers get to see.
var answerHeaders = map[string]bool{
	wire.HeaderServer: true, wire.HeaderReplayed: true, wire.HeaderOutcome: true,
}

func copyAnswerHeaders(x *exchange, from http.Header) {
	for name, values := range from {
		if strings.HasPrefix(name, "X-Crowbridge-") && !answerHeaders[name] {
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
