package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/scheduler/membership"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
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
	// goneAfter is how long an entry may be unreachable before its record is deleted: its host no longer
	// exists. One that does exist writes its record again when it looks at its list.
	goneAfter = 15 * time.Minute
	// goneSpread is the time over which runners delete such a record: the first of them is enough.
	goneSpread = 5 * time.Minute
	// unrecordedTTL is how long an address that no record names may be unreachable before it
	// is removed: it was learned from an entry or the settings, and its host no longer exists.
	unrecordedTTL = 2 * time.Minute
	// aliasRetryDelay is the retry delay for an address of an entry that is connected at
	// another address.
	aliasRetryDelay = 2 * time.Second
	// selectionDelay is how long changes of the known entries are collected before the
	// selection is computed again: a read of the store delivers all records within it.
	selectionDelay = 25 * time.Millisecond
)

// entryConn is the connection to the entry at an address, which a goroutine maintains.
type entryConn struct {
	addr   string
	cancel context.CancelFunc // stops the goroutine
	connID runs.ConnID        // of its open session; 0: none
	// named are the entries that the session has named last, and name names others in their place.
	named []wire.Peer
	name  func([]wire.Peer)
}

// dialers keeps sessions with the entries that membership.Agent selects, and runs a goroutine
// for each of them, which reconnects whenever the session ends. Its methods are safe for
// concurrent use, except for those whose caller must hold the lock.
type dialers struct {
	runner *Runner
	// runSession and retire are those of the runner, replaced in tests.
	runSession func(ctx context.Context, addr string) error
	retire     func(runs.ConnID)
	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup

	mu               sync.Mutex
	known            *membership.Agent
	conns            map[string]*entryConn // by address
	sessionByOwner   map[job.Incarnation]runs.ConnID
	selectionPending bool // applySelection is scheduled
}

// aliasError reports that the dialled entry is already connected at another address.
type aliasError struct{ owner job.Incarnation }

// Error implements error.
func (e *aliasError) Error() string { return "already connected to entry " + e.owner.String() }

// errFull reports that an entry has turned the runner away because it has too many.
var errFull = errors.New("the entry has too many sessions")

func newDialers(r *Runner) *dialers {
	ctx, stop := context.WithCancel(context.Background())
	return &dialers{
		runner: r, runSession: r.runSession, retire: r.retire, ctx: ctx, stop: stop, conns: map[string]*entryConn{}, sessionByOwner: map[job.Incarnation]runs.ConnID{},
		known: membership.NewAgent(r.options.Host, r.options.DataCentre, r.options.DataCentres),
	}
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
// control state, and sessionEnded when it ends. name sends the entry the names of entries in place of
// those that helloNames has returned; it must not block.
func (d *dialers) sessionOpened(addr, dataCentre string, id runs.ConnID, name func([]wire.Peer)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, conn := d.known.Entry(addr), d.conns[addr]
	if e == nil || conn == nil {
		return
	}
	conn.connID, conn.name = id, name
	wasDown, wasReached := e.Down, e.Reached
	d.known.SetOpen(addr)
	conn.nameInstead(d.namedPeers())
	if wasDown || !wasReached && !e.Recorded() {
		d.scheduleSelection() // which also names the entry to others
	}
	d.learn(membership.Peer{Addr: addr, DataCentre: dataCentre})
}

// sessionEnded removes a session that has ended.
func (d *dialers) sessionEnded(addr string, owner job.Incarnation, id runs.ConnID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessionByOwner[owner] == id {
		delete(d.sessionByOwner, owner)
	}
	if conn := d.conns[addr]; conn != nil && conn.connID == id {
		conn.connID, conn.name = 0, nil
	}
}

// connected reports whether a session is open.
func (d *dialers) connected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.sessionByOwner) > 0
}

// handleChange logs a change of the known entries, schedules a selection, and stops dialling an
// address that was dropped. The caller holds the lock.
func (d *dialers) handleChange(p membership.Peer, changed, isNew bool, dropped string) {
	if dropped != "" {
		event.Log(d.runner.log, event.PeerDropped, "entry", dropped, "known", d.known.Len())
		d.stopDialling(dropped)
	}
	if !changed {
		return
	}
	if isNew {
		event.Log(d.runner.log, event.PeerLearned, "entry", p.Addr, "data_centre", p.DataCentre)
	}
	d.scheduleSelection()
}

// stopDialling stops the goroutine of an address, which ends its session. The caller holds the
// lock.
func (d *dialers) stopDialling(addr string) {
	if conn := d.conns[addr]; conn != nil {
		conn.cancel()
		delete(d.conns, addr)
	}
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
	d.known.Select(time.Now())
	for _, e := range d.known.Entries() {
		conn := d.conns[e.Addr]
		switch {
		case e.Selected && conn == nil:
			d.dial(e)
		case !e.Selected && conn != nil && !e.Down:
			d.retireSession(conn)
		}
	}
	peers := d.namedPeers()
	for _, conn := range d.conns {
		conn.nameInstead(peers)
	}
}

// dial starts the goroutine that connects to an entry. The caller holds the lock.
func (d *dialers) dial(e *membership.Entry) {
	ctx, cancel := context.WithCancel(d.ctx)
	conn := &entryConn{addr: e.Addr, cancel: cancel}
	d.conns[e.Addr] = conn
	event.Log(d.runner.log, event.EntryChosen, "entry", e.Addr, "data_centre", e.DataCentre, "known", d.known.Len())
	d.goroutines.Go(func() { d.maintainSession(ctx, conn) })
}

// retireSession closes the session with an entry after the work that the entry has on the
// target is finished. Without a session, it stops dialling. The caller holds the lock.
func (d *dialers) retireSession(conn *entryConn) {
	id := conn.connID
	if id == 0 {
		d.stopDialling(conn.addr)
		return
	}
	event.Log(d.runner.log, event.SessionRetired, "entry", conn.addr, "conn", uint64(id), "reason", "another entry ranks higher")
	go d.retire(id)
}

// maintainSession keeps a session with an entry and reconnects after failures, until the entry
// is deselected or removed or the context ends.
func (d *dialers) maintainSession(ctx context.Context, conn *entryConn) {
	retry := backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialRetryDelay), backoff.WithMaxInterval(maxRetryDelay), backoff.WithMaxElapsedTime(0),
	)
	lastReached, lastAnswer := time.Now(), time.Now()
	removeAfter := goneAfter + rand.N(goneSpread)
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := d.runSession(ctx, conn.addr)
		if time.Since(startedAt) > stableAfter {
			retry.Reset()
			lastReached, lastAnswer = time.Now(), time.Now()
		}
		var alias *aliasError
		if errors.As(err, &alias) {
			lastAnswer = time.Now()
		}
		switch delay := retry.NextBackOff(); {
		case d.stopIfDeselected(conn):
			return
		case time.Since(lastReached) > unrecordedTTL && d.removeUnrecorded(conn.addr):
			event.Log(d.runner.log, event.SessionRetired, "entry", conn.addr, "error", err.Error())
			return
		case time.Since(lastAnswer) > removeAfter && d.removeGone(conn.addr):
			lastAnswer = time.Now() // the next attempt is due if the record is written again
			clock.Sleep(ctx, downRetryDelay)
		case errors.Is(err, errFull):
			d.replaceFull(conn)
			return
		case alias != nil:
			clock.Sleep(ctx, aliasRetryDelay)
		case time.Since(lastReached) > downAfter:
			d.markDown(conn.addr)
			clock.Sleep(ctx, downRetryDelay)
		default:
			clock.Sleep(ctx, delay)
		}
	}
}

// stopIfDeselected stops dialling an entry that is no longer selected, and reports whether it
// did. Entries that are down are still dialled, to detect their return.
func (d *dialers) stopIfDeselected(conn *entryConn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.known.Entry(conn.addr)
	if e == nil || e.Selected || e.Down || d.conns[conn.addr] != conn {
		return false
	}
	d.stopDialling(conn.addr)
	return true
}

// replaceFull stops dialling an entry that has too many sessions, selects another, and selects again
// when the entry may have room.
func (d *dialers) replaceFull(conn *entryConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[conn.addr] != conn {
		return
	}
	wait := d.known.SetFull(time.Now(), conn.addr)
	event.Log(d.runner.log, event.EntryFull, "entry", conn.addr, "retry_after_ms", wait.Milliseconds())
	d.stopDialling(conn.addr)
	d.scheduleSelection()
	d.goroutines.Go(func() {
		clock.Sleep(d.ctx, wait)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.scheduleSelection()
	})
}

// markDown marks an entry as down and schedules the selection of a replacement.
func (d *dialers) markDown(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.known.Entry(addr)
	if e == nil || e.Down {
		return
	}
	d.known.SetDown(addr)
	event.Log(d.runner.log, event.EntryLost, "entry", addr, "after_ms", downAfter.Milliseconds())
	d.scheduleSelection()
}

// removeUnrecorded removes an address unless a record names it, and reports whether it did.
func (d *dialers) removeUnrecorded(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.known.Entry(addr); e == nil || e.Recorded() {
		return false
	}
	d.known.Remove(addr)
	d.stopDialling(addr)
	d.scheduleSelection()
	return true
}

// removeGone deletes the records that name an entry from the store. It returns false if the runner has
// no session with another entry either: it may be cut off itself.
func (d *dialers) removeGone(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.sessionByOwner) == 0 {
		return false
	}
	store := d.runner.options.Store
	for _, r := range d.known.Records(addr) {
		event.Log(d.runner.log, event.RecordRemoved, "entry", addr, "host", r.Host, "data_centre", r.Shard.DataCentre, "shard", r.Shard.Index)
		d.goroutines.Go(func() {
			// After an error the record is deleted goneAfter later.
			_ = store.Put(d.ctx, r.Shard.Partition(store.Partitions()), r.Host, nil)
		})
	}
	return true
}

// shutdown ends all sessions and waits for the goroutines.
func (d *dialers) shutdown() {
	d.mu.Lock()
	d.stop()
	d.mu.Unlock()
	d.goroutines.Wait()
}
