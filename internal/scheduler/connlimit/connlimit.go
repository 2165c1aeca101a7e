// Package connlimit decides which connections a server gives up when its clients hold too many
// connections, or too many bytes of requests that it can't answer yet.
//
// It answers the load of thousands of clients that stop in the middle of a request, or send it a few bytes
// at a time. What has waited longest for its client is given up, since refusing newcomers would leave the
// server to them. For memory, a wait counts in byte-seconds.
//
// A request that was received whole is never given up. The package has no network, clock and
// goroutine; callers pass in the time.
package connlimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits bound what all clients of a server hold together; 0: unlimited.
type Limits struct {
	Conns int   // open connections
	Bytes int64 // bodies that are being received or decoded
}

// Phase says which side of a connection has to act.
type Phase uint8

// Phases of a connection.
const (
	New       Phase = iota // no header of a request is complete yet
	Idle                   // the last request was answered, and the header of the next one is not complete
	Receiving              // the body of a request is incomplete
	Serving                // the request is complete and has no response yet
	Answered               // the response is complete, but not sent, or it was sent before the body was complete
	phases
)

// Timeouts limit, by phase, how long a connection may wait for its client; 0: unlimited.
type Timeouts [phases]time.Duration

// evictionShare is the part of a limit that is freed at a time, as a divisor. Selecting connections
// takes time in proportion to their number, and a crowd reaches the limit again at once.
const evictionShare = 32

// conn is a connection, in its phase since a time.
type conn struct {
	phase  Phase
	since  time.Time
	bytes  int64
	number uint64 // in the order in which connections were opened
}

// Table holds the connections of a server, which K identifies. It is not safe for concurrent use.
type Table[K comparable] struct {
	limits Limits
	conns  map[K]*conn
	bytes  int64
	opened uint64
}

// NewTable returns a table without connections.
func NewTable[K comparable](limits Limits) *Table[K] {
	return &Table[K]{limits: limits, conns: map[K]*conn{}}
}

// SetLimits sets the limits. Lower ones apply to the next connection or body.
func (t *Table[K]) SetLimits(limits Limits) { t.limits = limits }

// Limits returns the limits.
func (t *Table[K]) Limits() Limits { return t.limits }

// Len returns the number of open connections.
func (t *Table[K]) Len() int { return len(t.conns) }

// Bytes returns the bytes that all connections hold.
func (t *Table[K]) Bytes() int64 { return t.bytes }

// Open adds a connection. If there are too many, it returns those that must be closed, which are
// removed: the ones that have waited longest for their clients. It returns false, and does not add
// the connection, if all others are being served.
func (t *Table[K]) Open(now time.Time, key K) (evicted []K, ok bool) {
	if t.limits.Conns > 0 && len(t.conns) >= t.limits.Conns {
		excess := len(t.conns) - t.limits.Conns + 1
		evicted = t.longestWaiting(max(excess, t.limits.Conns/evictionShare))
		for _, k := range evicted {
			t.Close(k)
		}
		if len(t.conns) >= t.limits.Conns {
			return evicted, false
		}
	}
	t.opened++
	t.conns[key] = &conn{since: now, number: t.opened}
	return evicted, true
}

// SetPhase records that a connection has entered a phase, in which the wait for its client begins.
func (t *Table[K]) SetPhase(now time.Time, key K, phase Phase) {
	if c := t.conns[key]; c != nil {
		c.phase, c.since = phase, now
	}
}

// Phase returns the phase of a connection; false for one that is not open.
func (t *Table[K]) Phase(key K) (phase Phase, open bool) {
	c := t.conns[key]
	if c == nil {
		return 0, false
	}
	return c.phase, true
}

// Count returns the number of connections in a phase.
func (t *Table[K]) Count(phase Phase) (n int) {
	for _, c := range t.conns {
		if c.phase == phase {
			n++
		}
	}
	return n
}

// Hold adds bytes to those that a connection in phase Receiving holds. If all hold too many, it
// returns the connections whose bodies must be given up, which are in phase Answered from now on and
// hold nothing: those with the most byte-seconds. It returns false if the connection itself is one
// of them, or if it is not in phase Receiving.
func (t *Table[K]) Hold(now time.Time, key K, bytes int64) (evicted []K, ok bool) {
	c := t.conns[key]
	if c == nil || c.phase != Receiving {
		return nil, false
	}
	c.bytes += bytes
	t.bytes += bytes
	if t.limits.Bytes == 0 || t.bytes <= t.limits.Bytes {
		return nil, true
	}
	for _, k := range t.mostByteSeconds(now) {
		evicted = append(evicted, k)
		t.GiveUp(now, k)
		if k == key || t.bytes <= t.limits.Bytes-t.limits.Bytes/evictionShare {
			break
		}
	}
	return evicted, c.phase == Receiving
}

// GiveUp records that the body of a connection is given up: it is in phase Answered and holds nothing.
func (t *Table[K]) GiveUp(now time.Time, key K) {
	t.Release(key)
	t.SetPhase(now, key, Answered)
}

// Release records that a connection holds no bytes any more.
func (t *Table[K]) Release(key K) {
	if c := t.conns[key]; c != nil {
		t.release(c)
	}
}

func (t *Table[K]) release(c *conn) {
	t.bytes -= c.bytes
	c.bytes = 0
}

// Close removes a connection.
func (t *Table[K]) Close(key K) {
	t.Release(key)
	delete(t.conns, key)
}

// Expired returns the connections that have waited for their clients for as long as the timeout of their
// phase.
func (t *Table[K]) Expired(now time.Time, timeouts Timeouts) (keys []K) {
	for k, c := range t.conns {
		if limit := timeouts[c.phase]; c.phase != Serving && limit > 0 && now.Sub(c.since) >= limit {
			keys = append(keys, k)
		}
	}
	return keys
}

// Forgive shortens all waits by a time in which the process stood still, which says nothing of its clients.
func (t *Table[K]) Forgive(stall time.Duration) {
	for _, c := range t.conns {
		c.since = c.since.Add(stall)
	}
}

// CloseAll removes all connections and returns them.
func (t *Table[K]) CloseAll() []K {
	keys := slices.Collect(maps.Keys(t.conns))
	for _, k := range keys {
		t.Close(k)
	}
	return keys
}

// longestWaiting returns up to n connections that wait for their clients, the longest wait first.
func (t *Table[K]) longestWaiting(n int) (keys []K) {
	for k, c := range t.conns {
		if c.phase != Serving {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b K) int {
		x, y := t.conns[a], t.conns[b]
		return cmp.Or(x.since.Compare(y.since), cmp.Compare(x.number, y.number))
	})
	return keys[:min(n, len(keys))]
}

// mostByteSeconds returns the connections in phase Receiving, the most byte-seconds first.
func (t *Table[K]) mostByteSeconds(now time.Time) (keys []K) {
	byteSeconds := map[K]float64{}
	for k, c := range t.conns {
		if c.phase == Receiving && c.bytes > 0 {
			keys = append(keys, k)
			byteSeconds[k] = float64(c.bytes) * now.Sub(c.since).Seconds()
		}
	}
	slices.SortFunc(keys, func(a, b K) int {
		return cmp.Or(cmp.Compare(byteSeconds[b], byteSeconds[a]), cmp.Compare(t.conns[a].number, t.conns[b].number))
	})
	return keys
}
