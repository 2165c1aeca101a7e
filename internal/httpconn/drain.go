package httpconn

import (
	"context"
	"time"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

const (
	// drainInterval is how often Drain looks at the connections.
	drainInterval = 5 * time.Millisecond
	// requestTimeout is how long a drain waits for the first request of a new connection, for the rest of a
	// body, and for a client to take its response.
	requestTimeout = time.Second
)

// drainTimeouts are the limits of the phases in a drain.
var drainTimeouts = connlimit.Timeouts{connlimit.New: requestTimeout, connlimit.Idle: 1, connlimit.Answered: requestTimeout}

// Drain closes idle connections and waits until the others have ended, with an answer to each request that
// was received whole, or whose body is on its way. Call it after the listener is closed, while each response
// ends its connection. A request that arrives on an idle connection as it is closed gets no response. The
// error is that of the context.
//
// http.Server.Shutdown closes a connection without a response if it reads a request after Shutdown was
// called, and the sender can't tell whether the request has run. Drain answers such requests.
func (g *Guard) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	g.mu.Lock()
	g.draining, g.sweptAt = true, time.Now()
	g.mu.Unlock()
	for g.endWaits() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// endWaits gives up what need not be waited for any longer and returns how many connections are open.
func (g *Guard) endWaits() int {
	now := time.Now()
	g.mu.Lock()
	g.forgiveStall(now, drainInterval)
	incomplete := g.giveUpBodies(now, requestTimeout, GivenUpInDrain)
	expired := g.expire(now, drainTimeouts, GivenUpInDrain)
	open := g.table.Len()
	g.report(now)
	g.mu.Unlock()
	interrupt(incomplete)
	closeAll(expired)
	return open
}
