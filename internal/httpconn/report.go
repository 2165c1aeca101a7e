package httpconn

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
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
