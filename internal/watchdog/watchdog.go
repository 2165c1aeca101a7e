// Package watchdog detects peers that don't respond, and does not mistake a pause of the
// calling process for one of the peer. After the process was frozen or starved of processor
// time, all its timers have expired, although the reply may be waiting unread in a socket.
package watchdog

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent reports a call that made no progress for longer than the limit.
var ErrSilent = errors.New("the peer is silent")

// quantaPerLimit is the number of intervals into which the limit is divided.
const quantaPerLimit = 8

// counter measures how long a peer has been silent. It checks once per quantum and adds at most
// one quantum per check, however late the check is. It reports a peer as silent only at a check
// less than one quantum late, so that the process has had time to read a waiting reply.
type counter struct {
	limit     time.Duration
	counted   time.Duration
	lastCheck time.Time // time of the last check or reset
}

func newCounter(now time.Time, limit time.Duration) counter {
	return counter{limit: limit, lastCheck: now}
}

// quantum returns the time between two checks.
func (c *counter) quantum() time.Duration { return c.limit / quantaPerLimit }

// reset records that the peer has responded.
func (c *counter) reset(now time.Time) { c.counted, c.lastCheck = 0, now }

// check adds the time since the last check, at most one quantum, and reports whether the peer
// is silent.
func (c *counter) check(now time.Time) bool {
	gap := now.Sub(c.lastCheck)
	c.lastCheck = now
	c.counted += min(gap, c.quantum())
	return c.counted >= c.limit && gap < 2*c.quantum()
}

// Watchdog aborts a call that makes no progress. It is safe for concurrent use.
type Watchdog struct {
	onSilence func(error)

	mu      sync.Mutex
	counter counter
	timer   *time.Timer
	stopped bool
}

// NewWatchdog starts a watchdog that calls onSilence with ErrSilent after the limit without
// progress, at most once. onSilence must not call the watchdog's methods; a
// context.CancelCauseFunc is suitable.
func NewWatchdog(limit time.Duration, onSilence func(error)) *Watchdog {
	w := &Watchdog{onSilence: onSilence, counter: newCounter(time.Now(), limit)}
	w.mu.Lock() // check may run before the timer is assigned
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.counter.quantum(), w.check)
	return w
}

func (w *Watchdog) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.counter.check(time.Now()) {
		w.onSilence(ErrSilent)
		return
	}
	w.timer.Reset(w.counter.quantum())
}

// RecordProgress restarts the limit. Call it when bytes were sent or received.
func (w *Watchdog) RecordProgress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counter.reset(time.Now())
}

// Stop stops the watchdog; onSilence is not called afterwards.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// Dialer returns a dial function that aborts when the connection is not established within
// the limit. The error is then a *net.OpError with the operation "dial", as for a refused
// connection, and wraps ErrSilent.
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
