package dispatch

import (
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/sirupsen/logrus"
)

// hear takes in what a server says of itself in an answer, whoever's request it answers.
func (p *Pipeline) hear(x *exchange, server *fleet.Server, a *Answer) {
	if a.Status == http.StatusMisdirectedRequest {
		return // another server speaks
	}
	now := p.now()
	log := p.log.WithFields(logrus.Fields{"server": server.ID, "start": server.Key(), "request": x.request.ID})
	if a.Info.Leaving && p.board.leaves(server.Key(), now) {
		log.Info("server says that it leaves")
	}
	if a.Status == http.StatusServiceUnavailable && a.Info.RetryAfter > 0 {
		left := p.board.asksForRest(server.Key(), a.Info.RetryAfter, now)
		log.WithFields(logrus.Fields{"asked_ms": a.Info.RetryAfter.Milliseconds(), "left_ms": left.Milliseconds()}).Info("server asks for rest")
	}
}

// asksForRest takes in that a server wants no requests for a time. It returns for how
// long it gets none.
func (b *Board) asksForRest(key string, rest time.Duration, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.row(key).notice.AskForRest(rest, now)
}

// leaves takes in that a server says that it leaves. It returns whether that is news.
func (b *Board) leaves(key string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.row(key).notice.Leave(now)
}
