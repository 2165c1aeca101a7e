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
	// The first retry comes soon, because a silent connection is replaced this way
	// and reports wait meanwhile. The cap keeps 5,700 agents that all lost a region
	// from dialling it more than some thousand times a second; the jitter spreads
	// them when it comes back.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
	jitter     = 0.5
	// steadyAfter is how long a session must last for the next retry to be soon.
	steadyAfter = 2 * time.Second
	// forgetAfter drops a learned address that can't be reached: entries' hosts are
	// replaced all the time, and their old addresses would be dialled for ever.
	forgetAfter = 10 * time.Minute
	// aliasRetry is how often an address that belongs to an entry known by another
	// one is looked at again.
	aliasRetry = time.Second
)

// dialers keeps one dialling goroutine for each entry that is kept a session with
// or can't be reached. A single goroutine an address makes the connection dialled
// last the newest one.
type dialers struct {
	agent *Agent
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup
	kick  chan struct{} // the choice of entries should be looked at
	// surplusAfter is the constant of that name; tests shorten it.
	surplusAfter time.Duration

	mu    sync.Mutex
	known map[string]*member
}

func newDialers(a *Agent) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{agent: a, ctx: ctx, stop: stop, kick: make(chan struct{}, 1), surplusAfter: surplusAfter, known: map[string]*member{}}
}

// canonical returns the address in the one form it is compared by, or "".
func canonical(addr string) string {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return ""
	}
	return parsed.String()
}

// dial starts the dialling goroutine of an entry. The caller holds the lock.
func (d *dialers) dial(m *member) {
	ctx, cancel := context.WithCancel(d.ctx)
	m.cancel = cancel
	d.done.Go(func() {
		defer cancel()
		d.keep(ctx, m)
	})
}

// keep holds a connection to the entry until it is no longer wanted, or until the
// address is given up.
func (d *dialers) keep(ctx context.Context, m *member) {
	wait := newBackoff()
	lastReached := time.Now()
	strict := true
	for ctx.Err() == nil {
		began := time.Now()
		err := d.agent.connect(ctx, m.addr, strict)
		var alias *aliasError
		isAlias := errors.As(err, &alias)
		d.ended(ctx, m, isAlias)
		if time.Since(began) > steadyAfter {
			wait.Reset()
		}
		switch {
		case isAlias:
			// The entry's own address is dialled from here on. Dialling it here too
			// would only make the two connections replace each other for ever. Should
			// the own address prove out of reach, this one has to do.
			strict = !d.idleUntilAlone(ctx, m.addr)
			lastReached = time.Now()
			continue
		case reached(err):
			lastReached = time.Now()
		case !m.configured && time.Since(lastReached) > forgetAfter:
			d.forget(m)
			return
		}
		clock.Sleep(ctx, wait.NextBackOff())
	}
}

// idleUntilAlone waits while any entry is connected and returns true when none is.
// Now and then it asks through the alias for entries that are not known yet.
func (d *dialers) idleUntilAlone(ctx context.Context, addr string) bool {
	next := time.Now().Add(probeWait())
	for ctx.Err() == nil {
		clock.Sleep(ctx, aliasRetry)
		if d.agent.sessionsOpen() == 0 {
			return true
		}
		if time.Now().After(next) {
			d.probe(ctx, addr)
			next = time.Now().Add(probeWait())
		}
	}
	return false
}

func newBackoff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstRetry),
		backoff.WithMaxInterval(lastRetry),
		backoff.WithRandomizationFactor(jitter),
		backoff.WithMaxElapsedTime(0),
	)
}

// end closes every connection and waits for the dialling goroutines.
func (d *dialers) end() {
	d.mu.Lock() // no address is added from here on
	d.stop()
	d.mu.Unlock()
	d.done.Wait()
}
