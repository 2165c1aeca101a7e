package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
)

const (
	// The first retry comes soon, because it is how a silent connection is replaced, and
	// reports wait for it. The maximum keeps 5,700 agents that have all lost a region from
	// dialling it more than a few thousand times a second; the jitter spreads them when it
	// returns.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	retryJitter       = 0.5
	// stableAfter is how long a session must last for the retry delay to start over.
	stableAfter = 2 * time.Second
	// forgetAfter is how long an address that is not from the settings may be unreachable before
	// it is dropped. Hosts of entries are replaced all the time, and their old addresses would be
	// dialled for ever.
	forgetAfter = 10 * time.Minute
	// aliasCheckInterval is how often the goroutine of an alias, an address whose entry is
	// known by its own address, checks whether any entry is still connected.
	aliasCheckInterval = time.Second
)

// dialers keeps the known entries, and a dialling goroutine for each entry that has a session
// or is being dialled. With a single goroutine per address, the connection that was dialled
// last is always the newest one at the entry.
type dialers struct {
	agent      *Agent
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	replan     chan struct{} // signals that the selection of entries should be computed again
	// surplusAfter is the constant of that name, or a shorter time in tests.
	surplusAfter time.Duration

	mu    sync.Mutex
	known map[string]*entryAddr
}

func newDialers(a *Agent) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{agent: a, ctx: ctx, stop: stop, replan: make(chan struct{}, 1), surplusAfter: surplusAfter, known: map[string]*entryAddr{}}
}

// canonicalAddr returns addr in canonical form, for comparison, or "" if it is not the ip:port
// of a single host.
func canonicalAddr(addr string) string {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return ""
	}
	return parsed.String()
}

// startDialling starts the dialling goroutine of an entry. The caller holds d.mu.
func (d *dialers) startDialling(e *entryAddr) {
	ctx, cancel := context.WithCancel(d.ctx)
	e.cancel = cancel
	d.goroutines.Go(func() {
		defer cancel()
		d.maintain(ctx, e)
	})
}

// maintain connects to the entry, again after each failure, until ctx is cancelled or the
// address is dropped as unreachable.
func (d *dialers) maintain(ctx context.Context, e *entryAddr) {
	wait := newBackoff()
	lastReached := time.Now()
	requireOwnAddr := true
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := d.agent.connect(ctx, e.addr, requireOwnAddr)
		var alias *aliasError
		isAlias := errors.As(err, &alias)
		d.connectionEnded(ctx, e, isAlias)
		if time.Since(startedAt) > stableAfter {
			wait.Reset()
		}
		switch {
		case isAlias:
			// The entry's own address is dialled instead. With both dialled, the two
			// connections would replace each other for ever. If the own address proves
			// unreachable, the alias is used.
			requireOwnAddr = !d.waitUntilDisconnected(ctx, e.addr)
			lastReached = time.Now()
			continue
		case wasConnected(err):
			lastReached = time.Now()
		case !e.configured && time.Since(lastReached) > forgetAfter:
			d.forget(e)
			return
		}
		clock.Sleep(ctx, wait.NextBackOff())
	}
}

// waitUntilDisconnected waits while any entry is connected. It returns true when none is, and
// false when ctx is cancelled. At random intervals it asks through the alias for unknown
// entries.
func (d *dialers) waitUntilDisconnected(ctx context.Context, addr string) bool {
	next := time.Now().Add(randomProbeDelay())
	for ctx.Err() == nil {
		clock.Sleep(ctx, aliasCheckInterval)
		if d.agent.openSessionCount() == 0 {
			return true
		}
		if time.Now().After(next) {
			d.probe(ctx, addr)
			next = time.Now().Add(randomProbeDelay())
		}
	}
	return false
}

// newBackoff returns the retry delays of one entry, which never run out.
func newBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialRetryDelay),
		backoff.WithMaxInterval(maxRetryDelay),
		backoff.WithRandomizationFactor(retryJitter),
		backoff.WithMaxElapsedTime(0),
	)
}

// shutdown closes all connections and waits for the dialling goroutines.
func (d *dialers) shutdown() {
	d.mu.Lock() // no address is added after this
	d.stop()
	d.mu.Unlock()
	d.goroutines.Wait()
}
