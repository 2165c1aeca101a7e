package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/session"
)

// connect dials an entry and serves the session until it ends. The error says why.
func (a *Agent) connect(ctx context.Context, addr string, strict bool) error {
	conn, err := session.Dial(ctx, addr, session.Options{Counters: a.metrics.sessions})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	id := attempt.ConnID(a.lastConn.Add(1))
	s := &entrySession{Agent: a, addr: addr, id: id, conn: conn, strict: strict}
	return s.serve()
}

// reached reports whether a connection was made at all.
func reached(err error) bool {
	var closed *session.CloseError
	return errors.As(err, &closed)
}

// sessionsOpen returns the number of entries that are connected.
func (a *Agent) sessionsOpen() int { return int(a.open.Load()) }
