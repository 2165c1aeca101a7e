package agent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/event"
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

// dialers keeps one dialling goroutine for each entry's address. A single
// goroutine an address makes the connection dialled last the newest one.
type dialers struct {
	agent *Agent
	ctx   context.Context
	stop  context.CancelFunc
	done  sync.WaitGroup

	mu    sync.Mutex
	known map[string]bool
}

func newDialers(a *Agent) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{agent: a, ctx: ctx, stop: stop, known: map[string]bool{}}
}

// canonical returns the address in the one form it is compared by, or "".
func canonical(addr string) string {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		return ""
	}
	return parsed.String()
}

// configured starts dialling an address from the settings, which is never forgotten.
func (d *dialers) configured(addr string) { d.add(canonical(addr), true) }

// learn starts dialling an address that an entry named. One that is known,
// malformed or beyond the cap is left out.
func (d *dialers) learn(addr string) {
	if own := canonical(addr); d.add(own, false) {
		event.Log(d.agent.log, event.PeerLearned, "entry", own)
	}
}

func (d *dialers) add(addr string, configured bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == "" || d.known[addr] || len(d.known) >= d.agent.o.MaxEntries || d.ctx.Err() != nil {
		return false
	}
	d.known[addr] = true
	d.done.Go(func() {
		d.keep(addr, configured)
		d.forget(addr)
	})
	return true
}

func (d *dialers) forget(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.known, addr)
}

// keep holds a connection to the address until the agent ends or the address is
// given up.
func (d *dialers) keep(addr string, configured bool) {
	wait := newBackoff()
	lastReached := time.Now()
	strict := true
	for d.ctx.Err() == nil {
		began := time.Now()
		err := d.agent.connect(d.ctx, addr, strict)
		var alias *aliasError
		isAlias := errors.As(err, &alias)
		lasted := time.Since(began)
		if lasted > steadyAfter {
			wait.Reset()
		}
		switch {
		case isAlias:
			// The entry's own address is dialled from here on. Dialling it here too
			// would only make the two connections replace each other for ever. Should
			// the own address prove out of reach, this one has to do.
			strict = !d.idleUntilAlone()
			lastReached = time.Now()
			continue
		case reached(err):
			lastReached = time.Now()
		case !configured && time.Since(lastReached) > forgetAfter:
			return
		}
		d.sleep(wait.NextBackOff())
	}
}

// idleUntilAlone waits while any entry is connected and returns true when none is.
func (d *dialers) idleUntilAlone() bool {
	for d.ctx.Err() == nil {
		d.sleep(aliasRetry)
		if d.agent.sessionsOpen() == 0 {
			return true
		}
	}
	return false
}

func (d *dialers) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.ctx.Done():
	}
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
