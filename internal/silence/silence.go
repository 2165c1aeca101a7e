// Package silence finds peers that don't answer, without taking the caller's own
// standstill for theirs. A process that was frozen, or had no processor, finds every
// timer due when it goes on, while the reply waits in a socket that it has not read.
package silence

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent is a call on which nothing moved for too long.
var ErrSilent = errors.New("the peer is silent")

// quanta is in how many parts a silence is counted.
const quanta = 8

// counter counts for how long nothing was heard of a peer. It does so in quanta of which
// each counts once however long it took, and finds a peer silent only after one that was
// on time.
type counter struct {
	limit   time.Duration
	counted time.Duration
	last    time.Time // of the last look, or when the peer was heard
}

func newCounter(now time.Time, limit time.Duration) counter { return counter{limit: limit, last: now} }

// quantum is the time between two looks.
func (c *counter) quantum() time.Duration { return c.limit / quanta }

// heard notes a sign of life.
func (c *counter) heard(now time.Time) { c.counted, c.last = 0, now }

// look counts the time since the last look and reports whether the peer is silent.
func (c *counter) look(now time.Time) bool {
	gap := now.Sub(c.last)
	c.last = now
	c.counted += min(gap, c.quantum())
	return c.counted >= c.limit && gap < 2*c.quantum()
}

// Watchdog gives up a call on which nothing moved for too long. It is safe for concurrent use.
type Watchdog struct {
	giveUp func(error)

	mu      sync.Mutex
	counter counter
	timer   *time.Timer
	stopped bool
}

// NewWatchdog begins to watch. giveUp is called at most once, with ErrSilent, and must not
// call the watch; it fits a context.CancelCauseFunc.
func NewWatchdog(limit time.Duration, giveUp func(error)) *Watchdog {
	w := &Watchdog{giveUp: giveUp, counter: newCounter(time.Now(), limit)}
	w.mu.Lock() // look may run before the timer is assigned
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.counter.quantum(), w.look)
	return w
}

func (w *Watchdog) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.counter.look(time.Now()) {
		w.giveUp(ErrSilent)
		return
	}
	w.timer.Reset(w.counter.quantum())
}

// RecordProgress notes that bytes moved.
func (w *Watchdog) RecordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counter.heard(time.Now())
}

// Stop ends the watch.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// Dialer returns a dialer that gives up a connection that does not come about in time. The
// error is then a *net.OpError of a dial, as for one that is refused, and wraps ErrSilent.
func Dialer(limit time.Duration) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		watch := NewWatchdog(limit, cancel)
		defer watch.Stop()
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: ErrSilent}
		}
		return conn, err
	}
}
