package httpconn

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

const (
	// drainInterval is how often Drain looks at the connections.
	drainInterval = 5 * time.Millisecond
	// firstRequestTimeout is how long Drain waits for the first request of a new connection.
	firstRequestTimeout = time.Second
)

// drainTimeouts are the limits of the phases in a drain.
var drainTimeouts = connlimit.Timeouts{connlimit.New: firstRequestTimeout, connlimit.Idle: 1}

// Drain closes idle connections and waits until the others have ended. Call it after the listener is
// closed, while each response ends its connection. A request that arrives on an idle connection as it is
// closed gets no response. The error is that of the context.
//
// http.Server.Shutdown closes a connection without a response if it reads a request after Shutdown was
// called, and the sender can't tell whether the request has run. Drain answers such requests.
func (g *Guard) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for g.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeIdle closes the connections that need not be waited for and returns how many others are open.
func (g *Guard) closeIdle() int {
	g.mu.Lock()
	expired := g.expire(time.Now(), drainTimeouts, ClosedInDrain)
	open := g.table.Len()
	g.mu.Unlock()
	closeAll(expired)
	return open
}
