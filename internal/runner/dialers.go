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
	// maxEntrySessions is the number of dispatchers with which a runner keeps sessions. Each
	// session costs both ends heartbeats and load reports; with a session to every dispatcher,
	// the work of a small entry host would grow with the fleet until it serves no caller. With
	// few sessions, a dispatcher would know too few targets to spread a wide job over.
	maxEntrySessions = 12
	// dialTimeout bounds a dial and its handshake: a host without power does not
	// answer at all.
	dialTimeout = 600 * time.Millisecond
	// The first retry follows soon, because an entry can't serve callers without its runners;
	// maxRetryDelay bounds how long an entry that has restarted stays without them.
	initialRetryDelay = 30 * time.Millisecond
	maxRetryDelay     = 200 * time.Millisecond
	// stableAfter is how long a session must last to reset the retry delay.
	stableAfter = 2 * time.Second
	// downAfter is how long an entry may be unreachable before another one replaces it. It is
	// longer than a restart: with immediate replacement, each restart would move the sessions
	// of a whole data centre there and back.
	downAfter = 5 * time.Second
	// downRetryDelay is the retry delay for an entry that has been replaced.
	downRetryDelay = time.Second
	// unrecordedTTL is how long an address that no record names may be unreachable before it
	// is removed: it was learned from an entry or the settings, and its host no longer exists.
	unrecordedTTL = 2 * time.Minute
	// aliasRetryDelay is the retry delay for an address of an entry that is connected at
	// another address.
	aliasRetryDelay = 2 * time.Second
	// selectionDelay is how long changes of the known entries are collected before the
	// selection is computed again: a read of the store delivers all records within it.
	selectionDelay = 25 * time.Millisecond
	// maxEntries bounds the number of known addresses.
	maxEntries = 1024
)

// entryAddr is a known address of a dispatcher and the state of its connection.
type entryAddr struct {
	addr, dataCentre string
	down             bool               // unreachable for downAfter
	cancel           context.CancelFunc // stops its goroutine; nil if it has none
	connID           runs.ConnID        // of its open session; 0: none
	selected         bool
}

// dialers selects the dispatchers with which the runner keeps sessions, and runs a goroutine
// for each of them, which reconnects whenever the session ends. Its methods are safe for
// concurrent use, except for those whose caller must hold the lock.
type dialers struct {
	runner     *Runner
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu               sync.Mutex
	entries          map[string]*entryAddr
	addrByHost       map[string]string // by the name of the host in the dispatcher's record
	sessionByOwner   map[job.Incarnation]runs.ConnID
	selectionPending bool // applySelection is scheduled
}

// aliasError reports that the dialled entry is already connected at another address.
type aliasError struct{ owner job.Incarnation }

// Error implements error.
func (e *aliasError) Error() string { return "already connected to entry " + e.owner.String() }

func newDialers(r *Runner) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{runner: r, ctx: ctx, stop: stop, entries: map[string]*entryAddr{}, addrByHost: map[string]string{},
		sessionByOwner: map[job.Incarnation]runs.ConnID{}}
}

// registerSession registers a session with an entry's process. It returns an *aliasError if
// there is one already: two sessions with the same process would replace each other
// endlessly, and each replacement ends the runs of the replaced session.
func (d *dialers) registerSession(owner job.Incarnation, id runs.ConnID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, exists := d.sessionByOwner[owner]; exists {
		return &aliasError{owner}
	}
	d.sessionByOwner[owner] = id
	return nil
}

// sessionOpened records the session of an address. Call it after adding the session to the
// control state, and sessionEnded when it ends.
func (d *dialers) sessionOpened(addr, dataCentre string, id runs.ConnID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[addr]
	if e == nil {
		return
	}
	e.connID = id
	if e.down {
		e.down = false
		d.scheduleSelection()
	}
	d.addEntry(addr, dataCentre)
}

// sessionEnded removes a session that has ended.
func (d *dialers) sessionEnded(addr string, owner job.Incarnation, id runs.ConnID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessionByOwner[owner] == id {
		delete(d.sessionByOwner, owner)
	}
	if e := d.entries[addr]; e != nil && e.connID == id {
		e.connID = 0
	}
}

// addPeers adds addresses that come from an entry or the settings.
func (d *dialers) addPeers(peers []wire.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range peers {
		d.addEntry(p.Addr, p.DataCentre)
	}
}

// addEntry adds an address, or updates the data centre of a known one. Empty addresses, and
// new ones beyond maxEntries, are ignored. The caller holds the lock.
func (d *dialers) addEntry(addr, dataCentre string) {
	e := d.entries[addr]
	switch {
	case addr == "" || e == nil && len(d.entries) >= maxEntries:
		return
	case e == nil:
		event.Log(d.runner.log, event.PeerLearned, "entry", addr, "data_centre", dataCentre)
		e = &entryAddr{addr: addr}
		d.entries[addr] = e
	case dataCentre == "" || e.dataCentre == dataCentre:
		return
	}
	e.dataCentre = dataCentre
	d.scheduleSelection()
}

// updateRecord sets the address in the record of a host's dispatcher; an empty address means
// that the record was deleted. The host's previous address is removed, because another host
// may get it.
func (d *dialers) updateRecord(host, addr, dataCentre string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.addrByHost[host]
	d.addrByHost[host] = addr
	if previous != "" && previous != addr && !d.hasRecord(previous) {
		d.removeEntry(previous)
	}
	d.addEntry(addr, dataCentre)
}

// hasRecord reports whether the record of any host names the address. The caller holds the
// lock.
func (d *dialers) hasRecord(addr string) bool {
	for _, a := range d.addrByHost {
		if a == addr {
			return true
		}
	}
	return false
}

// removeEntry removes an address and stops its goroutine. The caller holds the lock.
func (d *dialers) removeEntry(addr string) {
	e := d.entries[addr]
	if e == nil {
		return
	}
	if e.cancel != nil {
		e.cancel()
	}
	delete(d.entries, addr)
	d.scheduleSelection()
}

// scheduleSelection schedules applySelection after selectionDelay, unless it is scheduled
// already. The caller holds the lock.
func (d *dialers) scheduleSelection() {
	if d.selectionPending {
		return
	}
	d.selectionPending = true
	d.goroutines.Go(func() {
		clock.Sleep(d.ctx, selectionDelay)
		d.applySelection()
	})
}

// applySelection computes the selection again, dials the selected entries that are not dialled
// yet, and retires the sessions with entries that are reachable but no longer selected.
func (d *dialers) applySelection() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.selectionPending = false
	if d.ctx.Err() != nil {
		return
	}
	for _, e := range d.entries {
		e.selected = false
	}
	for _, addr := range d.selectedAddrs() {
		d.entries[addr].selected = true
	}
	for _, e := range d.entries {
		switch {
		case e.selected && e.cancel == nil:
			d.dial(e)
		case !e.selected && e.cancel != nil && !e.down:
			d.retireSession(e)
		}
	}
}

// selectedAddrs returns the addresses of the entries with which to keep sessions. The caller
// holds the lock.
func (d *dialers) selectedAddrs() []string {
	return subset.Choose(d.runner.options.Host, d.runner.options.DataCentre, d.candidates(), maxEntrySessions)
}

// candidates returns the known entries. If fewer than maxEntrySessions are reachable, the
// unreachable ones count as reachable too: after a power failure all entries return together.
// The caller holds the lock.
func (d *dialers) candidates() []subset.Candidate {
	candidates := make([]subset.Candidate, 0, len(d.entries))
	up := 0
	for _, e := range d.entries {
		if !e.down {
			up++
		}
	}
	for _, e := range d.entries {
		candidates = append(candidates, subset.Candidate{Addr: e.addr, DataCentre: e.dataCentre, Down: e.down && up >= maxEntrySessions})
	}
	return candidates
}

// dial starts the goroutine that connects to an entry. The caller holds the lock.
func (d *dialers) dial(e *entryAddr) {
	ctx, cancel := context.WithCancel(d.ctx)
	e.cancel = cancel
	event.Log(d.runner.log, event.EntryChosen, "entry", e.addr, "data_centre", e.dataCentre, "known", len(d.entries))
	d.goroutines.Go(func() { d.maintainSession(ctx, e) })
}

// retireSession closes the session with an entry after the work that the entry has on the
// target is finished. Without a session, it stops dialling. The caller holds the lock.
func (d *dialers) retireSession(e *entryAddr) {
	id := e.connID
	if id == 0 {
		e.cancel()
		e.cancel = nil
		return
	}
	event.Log(d.runner.log, event.SessionRetired, "entry", e.addr, "conn", uint64(id), "reason", "another entry ranks higher")
	go d.runner.enqueue(func(now time.Time, s *state) { s.table.Retire(now, id) })
}

// maintainSession keeps a session with an entry and reconnects after failures, until the entry
// is deselected or removed or the context ends.
func (d *dialers) maintainSession(ctx context.Context, e *entryAddr) {
	retry := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialRetryDelay), backoff.WithMaxInterval(maxRetryDelay), backoff.WithMaxElapsedTime(0),
	)
	lastReached := time.Now()
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := d.runner.runSession(ctx, e.addr)
		if time.Since(startedAt) > stableAfter {
			retry.Reset()
			lastReached = time.Now()
		}
		var alias *aliasError
		switch delay := retry.NextBackOff(); {
		case d.stopIfDeselected(e):
			return
		case time.Since(lastReached) > unrecordedTTL && d.removeUnrecorded(e.addr):
			event.Log(d.runner.log, event.SessionRetired, "entry", e.addr, "error", err.Error())
			return
		case errors.As(err, &alias):
			clock.Sleep(ctx, aliasRetryDelay)
		case time.Since(lastReached) > downAfter:
			d.markDown(e)
			clock.Sleep(ctx, downRetryDelay)
		default:
			clock.Sleep(ctx, delay)
		}
	}
}

// stopIfDeselected stops dialling an entry that is no longer selected, and reports whether it
// did. Entries that are down are still dialled, to detect their return.
func (d *dialers) stopIfDeselected(e *entryAddr) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.selected || e.down || e.cancel == nil {
		return false
	}
	e.cancel()
	e.cancel = nil
	return true
}

// markDown marks an entry as down and schedules the selection of a replacement.
func (d *dialers) markDown(e *entryAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.down {
		return
	}
	e.down = true
	event.Log(d.runner.log, event.EntryLost, "entry", e.addr, "after_ms", downAfter.Milliseconds())
	d.scheduleSelection()
}

// removeUnrecorded removes an address unless a record names it, and reports whether it did.
func (d *dialers) removeUnrecorded(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hasRecord(addr) {
		return false
	}
	d.removeEntry(addr)
	return true
}

// knownPeers returns all known addresses, to be passed on to entries.
func (d *dialers) knownPeers() []wire.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	peers := make([]wire.Peer, 0, len(d.entries))
	for _, e := range d.entries {
		peers = append(peers, wire.Peer{Addr: e.addr, DataCentre: e.dataCentre})
	}
	return peers
}

// shutdown ends all sessions and waits for the goroutines.
func (d *dialers) shutdown() {
	d.mu.Lock()
	d.stop()
	d.mu.Unlock()
	d.goroutines.Wait()
}
