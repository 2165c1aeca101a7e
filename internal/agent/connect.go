package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/attempt"
	"github.com/camphorrack/camphorrack/internal/session"
)

// connect dials an entry and serves the session until it ends. The error gives the reason.
// With requireOwnAddr, the session ends with an *aliasError if the entry names another address
// as its own.
func (a *Agent) connect(ctx context.Context, addr string, requireOwnAddr bool) error {
	conn, err := session.Dial(ctx, addr, session.Options{Counters: a.metrics.sessions})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close(nil) })
	defer stop()
	id := attempt.ConnID(a.lastConnID.Add(1))
	s := &entrySession{Agent: a, addr: addr, id: id, conn: conn, requireOwnAddr: requireOwnAddr}
	return s.serve()
}

// wasConnected reports whether err ended a connection, rather than the attempt to open one.
func wasConnected(err error) bool {
	var closed *session.CloseError
	return errors.As(err, &closed)
}

// openSessionCount returns the number of sessions whose welcome has been accepted.
func (a *Agent) openSessionCount() int { return int(a.openSessions.Load()) }
