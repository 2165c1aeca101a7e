package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// dialTimeout bounds a dial and its handshake: a host without power does not
	// answer at all.
	dialTimeout = 600 * time.Millisecond
	// firstRetry comes soon, because an entry without its runners serves nobody;
	// lastRetry bounds how long an entry that is back stays without them.
	firstRetry = 30 * time.Millisecond
	lastRetry  = 200 * time.Millisecond
	// steadyAfter is how long a session must last for the next retry to be soon.
	steadyAfter = 2 * time.Second
	// strangeAfter is how long an address that no record names is tried without
	// success before it is forgotten: it was named by a neighbour or by the settings,
	// and its host is gone for good.
	strangeAfter = 2 * time.Minute
	// aliasRetry is how often an address is tried that leads to an entry with which there
	// is a session at another one.
	aliasRetry = 2 * time.Second
	// maxDialled bounds the addresses dialled at a time.
	maxDialled = 256
)

// dialers keeps one goroutine for each address of a dispatcher, which holds a session
// with it or tries to.
type dialers struct {
	runner *Runner
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	dialed map[string]context.CancelFunc
	byHost map[string]string // address by the name of the host in its record
	held   map[job.Incarnation]runs.ConnID
}

// aliasError is an address of an entry with which there is a session at another one.
type aliasError struct{ owner job.Incarnation }

// Error implements error.
func (e *aliasError) Error() string { return "there is a session with entry " + e.owner.String() }

// hold notes the session with an entry's process. Two with the same one would replace each
// other for ever, and each replacement ends the runs of the other.
func (d *dialers) hold(owner job.Incarnation, id runs.ConnID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, held := d.held[owner]; held {
		return &aliasError{owner}
	}
	d.held[owner] = id
	return nil
}

// release notes that a session has ended.
func (d *dialers) release(owner job.Incarnation, id runs.ConnID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held[owner] == id {
		delete(d.held, owner)
	}
}

func newDialers(r *Runner) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{runner: r, ctx: ctx, stop: stop, dialed: map[string]context.CancelFunc{}, byHost: map[string]string{},
		held: map[job.Incarnation]runs.ConnID{}}
}

// learn dials an address that is not dialled yet.
func (d *dialers) learn(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr == "" || d.dialed[addr] != nil || len(d.dialed) >= maxDialled || d.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	d.dialed[addr] = cancel
	event.Log(d.runner.log, event.PeerLearned, "entry", addr)
	d.done.Go(func() { d.keep(ctx, addr) })
}

// place notes where a host's dispatcher is reached. An address that the host had
// before is given up: another host may get it. An empty address drops the host.
func (d *dialers) place(host, addr string) {
	d.mu.Lock()
	old := d.byHost[host]
	d.byHost[host] = addr
	if old != "" && old != addr && !d.recorded(old) {
		d.drop(old)
	}
	d.mu.Unlock()
	d.learn(addr)
}

func (d *dialers) recorded(addr string) bool {
	for _, a := range d.byHost {
		if a == addr {
			return true
		}
	}
	return false
}

// drop ends the goroutine of an address. The caller holds the lock.
func (d *dialers) drop(addr string) {
	if cancel := d.dialed[addr]; cancel != nil {
		cancel()
		delete(d.dialed, addr)
	}
}

// keep holds a session with the address until it is given up.
func (d *dialers) keep(ctx context.Context, addr string) {
	retry := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstRetry), backoff.WithMaxInterval(lastRetry), backoff.WithMaxElapsedTime(0),
	)
	reached := time.Now()
	for ctx.Err() == nil {
		began := time.Now()
		err := d.runner.connect(ctx, addr)
		if time.Since(began) > steadyAfter {
			retry.Reset()
			reached = time.Now()
		}
		if time.Since(reached) > strangeAfter && d.forget(addr) {
			event.Log(d.runner.log, event.SessionRetired, "entry", addr, "error", err.Error())
			return
		}
		wait := retry.NextBackOff()
		var alias *aliasError
		if errors.As(err, &alias) {
			wait = aliasRetry
		}
		clock.Sleep(ctx, wait)
	}
}

// forget drops an address that no record names.
func (d *dialers) forget(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.recorded(addr) {
		return false
	}
	d.drop(addr)
	return true
}

// known returns the addresses that are dialled.
func (d *dialers) known() []wire.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make([]wire.Peer, 0, len(d.dialed))
	for addr := range d.dialed {
		peers = append(peers, wire.Peer{Addr: addr})
	}
	return peers
}

func (d *dialers) end() {
	d.mu.Lock()
	d.stop()
	d.mu.Unlock()
	d.done.Wait()
}
