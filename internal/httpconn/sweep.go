package httpconn

import (
	"time"

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
