// Package httpconn limits and observes the connections of the daemons' HTTP servers.
package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/connlimit"
)

const (
	// sweepInterval is how often connections are checked for timeouts, and the shortest time between two
	// log lines.
	sweepInterval = time.Second
	// answerTimeout is how long a client may take to receive a response that is complete. Responses to
	// callers are a few hundred bytes, so they wait only for a client that leaves many of them unread.
	answerTimeout = 10 * time.Second
	// stallThreshold is the shortest delay of a check that counts as a standstill of the process.
	stallThreshold = 100 * time.Millisecond
)

// Reason is why a connection or a request of a client was given up.
type Reason int

// Reasons to give up.
const (
	TooManyConns   Reason = iota // it had waited longest for its client when the limit of connections was reached
	AllServing                   // a new connection was closed, because the requests of all others are being served
	TooManyBytes                 // its body had the most byte-seconds when the limit of bytes was reached
	SlowBody                     // its body was not complete after bodyTimeout
	TooManyFields                // a header had more lines than maxHeaderLines
	UnreadAnswer                 // the client did not receive its response within answerTimeout
	GivenUpInDrain               // the client did not complete its request or receive its response in a drain
	reasons
)

var reasonNames = [reasons]string{"too_many_connections", "all_serving", "too_many_bytes", "slow_body", "too_many_header_fields", "unread_answer", "drain"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

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
		c := clientOf(r.Context())
		serve(next, w, r, phaseHooks{
			complete: func() { g.setPhase(c, connlimit.Serving) },
			answered: func() { g.setPhase(c, connlimit.Answered) },
		})
	})
}

// setPhase records a phase. A request that is answered holds no bytes.
func (g *Guard) setPhase(c *client, phase connlimit.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if phase == connlimit.Answered {
		g.table.Release(c)
	}
	g.table.SetPhase(time.Now(), c, phase)
}

// scheduleSweep schedules the next sweep unless it is scheduled. The caller holds the lock.
func (g *Guard) scheduleSweep(now time.Time) {
	if g.sweeping || g.draining || g.closed {
		return
	}
	g.sweeping, g.sweptAt = true, now
	time.AfterFunc(sweepInterval, g.sweep)
}

// timeouts are the limits of the phases while the server is not draining. Those of the header and
// between requests are http.Server's.
var timeouts = connlimit.Timeouts{connlimit.Answered: answerTimeout}

// sweep gives up what has reached its timeout and logs what was given up since the last line.
func (g *Guard) sweep() {
	now := time.Now()
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return
	}
	g.forgiveStall(now, sweepInterval)
	slow := g.giveUpBodies(now, bodyTimeout, SlowBody)
	expired := g.expire(now, timeouts, UnreadAnswer)
	g.report(now)
	g.sweeping = false
	if g.table.Len() > 0 || g.counts != g.reported {
		g.scheduleSweep(now)
	}
	g.mu.Unlock()
	interrupt(slow)
	closeAll(expired)
}

// forgiveStall shortens all waits by the time in which the process stood still since the timeouts were
// checked last, which they are at an interval. The caller holds the lock.
func (g *Guard) forgiveStall(now time.Time, interval time.Duration) {
	if stall := now.Sub(g.sweptAt) - interval; stall >= max(interval, stallThreshold) {
		g.table.Forgive(stall)
	}
	g.sweptAt = now
}

// expire removes the connections that have reached the timeout of their phase and returns them, to be
// closed without the lock. The caller holds it.
func (g *Guard) expire(now time.Time, limits connlimit.Timeouts, reason Reason) []*client {
	expired := g.table.Expired(now, limits)
	for _, c := range expired {
		if phase, _ := g.table.Phase(c); phase != connlimit.Idle { // which any server may close
			g.counts[reason]++
		}
		g.table.Close(c)
	}
	return expired
}

func closeAll(clients []*client) {
	for _, c := range clients {
		_ = c.Close() // the peer may have closed it already
	}
}

// report logs what was given up since the last line, at most once in sweepInterval. The caller holds
// the lock.
func (g *Guard) report(now time.Time) {
	if g.counts == g.reported || now.Before(g.logAt) {
		return
	}
	values := []any{"serves", g.serves, "connections", g.table.Len(), "connections_limit", g.table.Limits().Conns,
		"body_bytes", g.table.Bytes(), "body_bytes_limit", g.table.Limits().Bytes}
	for r := range reasons {
		if n := g.counts[r] - g.reported[r]; n > 0 {
			values = append(values, r.String(), n)
		}
	}
	event.Log(g.log, event.ClientsGivenUp, values...)
	g.reported, g.logAt = g.counts, now.Add(sweepInterval)
}

// Close closes all connections and ends the sweeps.
func (g *Guard) Close() {
	g.mu.Lock()
	g.closed = true
	open := g.table.CloseAll()
	g.mu.Unlock()
	closeAll(open)
}

// RegisterGauge is the method of a metrics registry that adds a gauge.
type RegisterGauge func(name string, read func() int64)

// Register adds gauges of what is held and of the limits, and a counter for each reason to give up, all
// with names that begin with prefix and a dot.
func (g *Guard) Register(prefix string, register RegisterGauge) {
	read := func(value func() int64) func() int64 {
		return func() int64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return value()
		}
	}
	register(prefix+".connections", read(func() int64 { return int64(g.table.Len()) }))
	register(prefix+".connections_limit", read(func() int64 { return int64(g.table.Limits().Conns) }))
	register(prefix+".body_bytes", read(g.table.Bytes))
	register(prefix+".body_bytes_limit", read(func() int64 { return g.table.Limits().Bytes }))
	for r := range reasons {
		register(prefix+".given_up."+r.String(), read(func() int64 { return g.counts[r] }))
	}
}
