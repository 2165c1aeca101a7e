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
	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// entrySessions is how many dispatchers a runner keeps sessions with. Each costs both
	// ends heartbeats and reports of the load; with all of them, the work of a small entry
	// host grows with the fleet until it serves nobody. With a few only, a dispatcher would
	// see too few targets to spread a wide job over.
	entrySessions = 12
	// dialTimeout bounds a dial and its handshake: a host without power does not
	// answer at all.
	dialTimeout = 600 * time.Millisecond
	// firstRetry comes soon, because an entry without its runners serves nobody;
	// lastRetry bounds how long an entry that is back stays without them.
	firstRetry = 30 * time.Millisecond
	lastRetry  = 200 * time.Millisecond
	// steadyAfter is how long a session must last for the next retry to be soon.
	steadyAfter = 2 * time.Second
	// downAfter is how long an entry may be out of reach before another one takes its
	// place. Restarts are over by then: replaced at once, each would move the sessions of
	// a whole data centre there and back.
	downAfter = 5 * time.Second
	// downRetry is how often an entry is tried that another one stands in for.
	downRetry = time.Second
	// strangeAfter is how long an address that no record names is tried without
	// success before it is forgotten: it was named by a neighbour or by the settings,
	// and its host is gone for good.
	strangeAfter = 2 * time.Minute
	// aliasRetry is how often an address is tried that leads to an entry with which there
	// is a session at another one.
	aliasRetry = 2 * time.Second
	// gatherFor is how long what is learned of entries gathers before the choice is made
	// anew: a read of the store names them all within it.
	gatherFor = 25 * time.Millisecond
	// maxKnown bounds the addresses that are remembered.
	maxKnown = 1024
)

// entryAddr is an address at which a dispatcher may be reached.
type entryAddr struct {
	addr, dataCentre string
	down             bool               // out of reach for downAfter
	hangUp           context.CancelFunc // ends its goroutine; nil while it is not dialled
	session          runs.ConnID        // 0: none
	chosen           bool
}

// dialers chooses the dispatchers that the runner keeps sessions with, and keeps one
// goroutine for each, which holds a session with it or tries to.
type dialers struct {
	runner *Runner
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	entries map[string]*entryAddr
	byHost  map[string]string // address by the name of the host in its record
	held    map[job.Incarnation]runs.ConnID
	waiting bool // the next choice is on its way
}

// aliasError is an address of an entry with which there is a session at another one.
type aliasError struct{ owner job.Incarnation }

// Error implements error.
func (e *aliasError) Error() string { return "there is a session with entry " + e.owner.String() }

func newDialers(r *Runner) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{runner: r, ctx: ctx, stop: stop, entries: map[string]*entryAddr{}, byHost: map[string]string{},
		held: map[job.Incarnation]runs.ConnID{}}
}

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

// opened notes a session that the control state knows.
func (d *dialers) opened(addr, dataCentre string, id runs.ConnID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[addr]
	if e == nil {
		return
	}
	e.session = id
	if e.down {
		e.down = false
		d.chooseSoon()
	}
	d.note(addr, dataCentre)
}

// release notes that a session has ended.
func (d *dialers) release(addr string, owner job.Incarnation, id runs.ConnID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.held[owner] == id {
		delete(d.held, owner)
	}
	if e := d.entries[addr]; e != nil && e.session == id {
		e.session = 0
	}
}

// learn notes addresses that an entry, a neighbour or the settings have named.
func (d *dialers) learn(peers []wire.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range peers {
		d.note(p.Addr, p.DataCentre)
	}
}

// note adds an address, or the data centre of one that is known. The caller holds the lock.
func (d *dialers) note(addr, dataCentre string) {
	e := d.entries[addr]
	switch {
	case addr == "" || e == nil && len(d.entries) >= maxKnown:
		return
	case e == nil:
		event.Log(d.runner.log, event.PeerLearned, "entry", addr, "data_centre", dataCentre)
		e = &entryAddr{addr: addr}
		d.entries[addr] = e
	case dataCentre == "" || e.dataCentre == dataCentre:
		return
	}
	e.dataCentre = dataCentre
	d.chooseSoon()
}

// place notes where a host's dispatcher is reached. An address that the host had
// before is given up: another host may get it. An empty address drops the host.
func (d *dialers) place(host, addr, dataCentre string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.byHost[host]
	d.byHost[host] = addr
	if old != "" && old != addr && !d.recorded(old) {
		d.drop(old)
	}
	d.note(addr, dataCentre)
}

func (d *dialers) recorded(addr string) bool {
	for _, a := range d.byHost {
		if a == addr {
			return true
		}
	}
	return false
}

// drop forgets an address. The caller holds the lock.
func (d *dialers) drop(addr string) {
	e := d.entries[addr]
	if e == nil {
		return
	}
	if e.hangUp != nil {
		e.hangUp()
	}
	delete(d.entries, addr)
	d.chooseSoon()
}

// chooseSoon makes the choice anew after gatherFor. The caller holds the lock.
func (d *dialers) chooseSoon() {
	if d.waiting {
		return
	}
	d.waiting = true
	d.done.Go(func() {
		clock.Sleep(d.ctx, gatherFor)
		d.choose()
	})
}

// choose dials the entries that are to be kept sessions with, and retires the others.
func (d *dialers) choose() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting = false
	if d.ctx.Err() != nil {
		return
	}
	for _, e := range d.entries {
		e.chosen = false
	}
	for _, addr := range d.chosenAddrs() {
		d.entries[addr].chosen = true
	}
	for _, e := range d.entries {
		switch {
		case e.chosen && e.hangUp == nil:
			d.dial(e)
		case !e.chosen && e.hangUp != nil && !e.down:
			d.retire(e)
		}
	}
}

// chosenAddrs returns the entries to keep sessions with. The caller holds the lock.
func (d *dialers) chosenAddrs() []string {
	return subset.Choose(d.runner.o.Host, d.runner.o.DataCentre, d.candidates(), entrySessions)
}

// candidates lists the entries. Where too few are within reach, those that are not count as
// if they were: all of them come back together after a loss of power.
func (d *dialers) candidates() []subset.Candidate {
	candidates := make([]subset.Candidate, 0, len(d.entries))
	up := 0
	for _, e := range d.entries {
		if !e.down {
			up++
		}
	}
	for _, e := range d.entries {
		candidates = append(candidates, subset.Candidate{Addr: e.addr, DataCentre: e.dataCentre, Down: e.down && up >= entrySessions})
	}
	return candidates
}

// dial starts the goroutine of an entry. The caller holds the lock.
func (d *dialers) dial(e *entryAddr) {
	ctx, cancel := context.WithCancel(d.ctx)
	e.hangUp = cancel
	event.Log(d.runner.log, event.EntryChosen, "entry", e.addr, "data_centre", e.dataCentre, "known", len(d.entries))
	d.done.Go(func() { d.keep(ctx, e) })
}

// retire lets the session with an entry run out: work that the entry has there is finished.
// The caller holds the lock.
func (d *dialers) retire(e *entryAddr) {
	id := e.session
	if id == 0 {
		e.hangUp()
		e.hangUp = nil
		return
	}
	event.Log(d.runner.log, event.SessionRetired, "entry", e.addr, "conn", uint64(id), "reason", "another entry ranks higher")
	go d.runner.do(func(now time.Time, s *state) { s.table.Retire(now, id) })
}

// keep holds a session with the entry until it is given up.
func (d *dialers) keep(ctx context.Context, e *entryAddr) {
	retry := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstRetry), backoff.WithMaxInterval(lastRetry), backoff.WithMaxElapsedTime(0),
	)
	reached := time.Now()
	for ctx.Err() == nil {
		began := time.Now()
		err := d.runner.connect(ctx, e.addr)
		if time.Since(began) > steadyAfter {
			retry.Reset()
			reached = time.Now()
		}
		var alias *aliasError
		switch wait := retry.NextBackOff(); {
		case d.released(e):
			return
		case time.Since(reached) > strangeAfter && d.forget(e.addr):
			event.Log(d.runner.log, event.SessionRetired, "entry", e.addr, "error", err.Error())
			return
		case errors.As(err, &alias):
			clock.Sleep(ctx, aliasRetry)
		case time.Since(reached) > downAfter:
			d.lost(e)
			clock.Sleep(ctx, downRetry)
		default:
			clock.Sleep(ctx, wait)
		}
	}
}

// released reports whether an entry that is within reach is no longer to be dialled.
func (d *dialers) released(e *entryAddr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.chosen || e.down || e.hangUp == nil {
		return false
	}
	e.hangUp()
	e.hangUp = nil
	return true
}

// lost notes that an entry has been out of reach for long.
func (d *dialers) lost(e *entryAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	event.Log(d.runner.log, event.EntryLost, "entry", e.addr, "after_ms", downAfter.Milliseconds())
	d.chooseSoon()
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

// known returns the addresses that were learned.
func (d *dialers) known() []wire.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make([]wire.Peer, 0, len(d.entries))
	for _, e := range d.entries {
		peers = append(peers, wire.Peer{Addr: e.addr, DataCentre: e.dataCentre})
	}
	return peers
}

func (d *dialers) end() {
	d.mu.Lock()
	d.stop()
	d.mu.Unlock()
	d.done.Wait()
}
