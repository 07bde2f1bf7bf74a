package entry

import (
	"net/http"
	"strings"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/sirupsen/logrus"
)

// answerHeaders are crowbridge's own headers that callers get to see.
var answerHeaders = map[string]bool{
	wire.HeaderServer: true, wire.HeaderReplayed: true, wire.HeaderOutcome: true,
}

func (e *Entry) writeAnswer(x *exchange, a *answer) {
	if a.failure != nil {
		e.logEnd(x, a.server, a.failure)
		writeFailure(x, a.failure)
		e.leave(x, a.failure.Outcome)
		return
	}
	copyAnswerHeaders(x, a.header)
	x.ctx.SetStatusCode(a.status)
	x.ctx.Response.Header.Set(wire.HeaderOutcome, string(failure.OutcomeAnswered))
	x.ctx.SetBody(a.body)
	e.leave(x, failure.OutcomeAnswered)
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

func (e *Entry) logEnd(x *exchange, server string, f *failure.Error) {
	e.log.WithFields(logrus.Fields{
		"request": x.id, "customer": x.customer.Name, "class": x.intent.Class, "peer": server,
		"step": f.Step, "code": f.Code, "outcome": f.Outcome,
	}).Info("request failed")
}
