// Package httpconn limits and observes the connections of the daemons' HTTP servers.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

// Guard limits what the clients of an HTTP server hold together. The decisions are those of package
// connlimit. A server passes each accepted connection to Admit, and uses Track, ConnContext and
// Handler. A Guard is safe for concurrent use.
type Guard struct {
	log    logr.Logger
	serves string // for the log

	mu       sync.Mutex
	table    *connlimit.Table[*client]
	counts   [reasons]int64
	reported [reasons]int64 // counts that were logged
	logAt    time.Time      // when the next line may be logged
	sweeping bool           // sweep is scheduled
	sweptAt  time.Time      // when the timeouts were checked last
	draining bool           // Drain checks the timeouts
	closed   bool
}

// NewGuard returns a Guard. serves names the server in the log.
func NewGuard(log logr.Logger, serves string, limits connlimit.Limits) *Guard {
	return &Guard{log: log, serves: serves, table: connlimit.NewTable[*client](limits)}
}

// SetLimits sets the limits. Lower ones apply as soon as the next connection is accepted.
func (g *Guard) SetLimits(limits connlimit.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetLimits(limits)
}

// Admit records an accepted connection and returns the one to serve in its place. It closes others if
// there are too many, or conn, and then returns false.
func (g *Guard) Admit(conn net.Conn) (net.Conn, bool) {
	now := time.Now()
	c := newClient(g, conn)
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		_ = conn.Close() // the peer may have closed it already
		return nil, false
	}
	evicted, ok := g.table.Open(now, c)
	g.counts[TooManyConns] += int64(len(evicted))
	if ok {
		g.scheduleSweep(now)
	} else {
		g.counts[AllServing]++
	}
	g.report(now)
	g.mu.Unlock()
	closeAll(evicted)
	if !ok {
		_ = conn.Close() // the peer may have closed it already
	}
	return c, ok
}

// Listener returns a listener whose connections are admitted.
func (g *Guard) Listener(l net.Listener) net.Listener { return &guardedListener{l, g} }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted, ok := l.guard.Admit(conn); ok {
			return admitted, nil
		}
	}
}

// Track records the state of a connection that Admit has returned. It is the ConnState hook of an
// http.Server.
func (g *Guard) Track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*client)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive: // the header of a request is complete
		c.reason = nil
		c.header.end()
		g.table.SetPhase(time.Now(), c, connlimit.Receiving)
	case http.StateIdle:
		c.header.begin()
		g.table.SetPhase(time.Now(), c, connlimit.Idle)
	case http.StateClosed, http.StateHijacked:
		g.table.Close(c)
	}
}

// Forget removes a connection that was admitted and that no http.Server got.
func (g *Guard) Forget(conn net.Conn) { g.Track(conn, http.StateClosed) }

// ConnContext stores the client in the context of its requests. It is the hook of an http.Server.
func (g *Guard) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, conn)
}

// Handler returns a handler that sends the response of next without waiting for the rest of the body, and
// records for each request which side has to act. The connections have the context of ConnContext.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clientOf(r.Context()).serve(next, w, r)
	})
}

// Close closes all connections and ends the sweeps.
func (g *Guard) Close() {
	g.mu.Lock()
	g.closed = true
	open := g.table.CloseAll()
	g.mu.Unlock()
	closeAll(open)
}
