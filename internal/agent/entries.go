package agent

import (
	"context"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/subset"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// planInterval is how often the selection of entries is computed again without an event.
	// It limits how long after replaceAfter a substitute is dialled.
	planInterval = 250 * time.Millisecond
	// replaceAfter is how long an entry may be unreachable before another one is dialled as a
	// substitute. A silent connection is replaced in less time, and the agent has other
	// sessions meanwhile. With a shorter time, each connection lost under load would open one
	// more session elsewhere and close it again.
	replaceAfter = time.Second
	// surplusAfter is how long all selected entries must be connected before the session of a
	// substitute is closed. Otherwise an entry that restarts repeatedly would make its agents
	// open and close sessions at each start.
	surplusAfter = 10 * time.Second
)

// entryAddr is a known address of an entry and the state of its connection. All fields but addr
// and configured are guarded by dialers.mu.
type entryAddr struct {
	addr       string
	configured bool // from the settings; never dropped
	dataCentre string
	alias      bool // another address is the own address of its entry
	leaving    bool // it has announced that it accepts no new submissions
	confirmed  bool // it has opened a session, so dataCentre comes from its own welcome
	advertised bool // its address was sent to the other connected entries

	cancel       context.CancelFunc // stops its dialling goroutine; nil without one
	session      *entrySession      // nil while disconnected
	openedAt     time.Time
	failingSince time.Time // zero while it is healthy
	surplusSince time.Time // zero while it is selected
	retiring     bool      // its session is to be closed as soon as that is safe
}

// down reports whether a substitute should take the place of the entry at now. It also clears
// failingSince once the session is stable. The caller holds dialers.mu.
func (e *entryAddr) down(now time.Time) bool {
	if e.session != nil && now.Sub(e.openedAt) > stableAfter {
		e.failingSince = time.Time{}
	}
	limit := replaceAfter
	if e.session != nil {
		limit += stableAfter // until the session is stable, the entry may be restarting repeatedly
	}
	return e.leaving || !e.failingSince.IsZero() && now.Sub(e.failingSince) > limit
}

// addConfigured adds an address from the settings, which is never dropped.
func (d *dialers) addConfigured(addr string) { d.add(wire.Peer{Addr: canonicalAddr(addr)}, true) }

// addPeer adds an entry that another one named. It ignores a malformed address, and a new one
// when the limit of known entries is reached.
func (d *dialers) addPeer(p wire.Peer) {
	p.Addr = canonicalAddr(p.Addr)
	if d.add(p, false) {
		event.Log(d.agent.log, event.PeerLearned, "entry", p.Addr, "data_centre", p.DataCentre)
	}
}

// add adds an entry or updates its data centre, and returns true if the entry is new.
func (d *dialers) add(p wire.Peer, configured bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.known[p.Addr]; known != nil {
		if !known.confirmed && p.DataCentre != "" {
			known.dataCentre = p.DataCentre
		}
		return false
	}
	if p.Addr == "" || !d.makeRoom() || d.ctx.Err() != nil {
		return false
	}
	d.known[p.Addr] = &entryAddr{addr: p.Addr, dataCentre: p.DataCentre, configured: configured}
	d.requestPlan()
	return true
}

// makeRoom reports whether one more entry can be added. At the limit it drops an unreachable
// entry that is not from the settings: addresses of replaced hosts would otherwise block new
// ones. The caller holds d.mu.
func (d *dialers) makeRoom() bool {
	if len(d.known) < d.agent.options.MaxEntries {
		return true
	}
	for addr, e := range d.known {
		if !e.configured && e.session == nil && !e.failingSince.IsZero() {
			if e.cancel != nil {
				e.cancel()
			}
			delete(d.known, addr)
			return true
		}
	}
	return false
}

// forget drops an address that stayed unreachable and is not from the settings.
func (d *dialers) forget(e *entryAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known[e.addr] == e {
		delete(d.known, e.addr)
	}
}

// requestPlan makes run compute the selection again soon. It does not block.
func (d *dialers) requestPlan() {
	select {
	case d.replan <- struct{}{}:
	default:
	}
}

// sessionOpened records a session whose welcome was accepted, and sends the entry to the
// others if it is new or its data centre has changed.
func (d *dialers) sessionOpened(s *entrySession, w *wire.Welcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.known[s.addr]
	if e == nil {
		return // it was dropped in makeRoom
	}
	e.session, e.openedAt, e.retiring, e.leaving = s, time.Now(), false, w.Leaving
	e.alias = !s.requireOwnAddr
	if s.requireOwnAddr {
		e.advertised = e.advertised && e.dataCentre == w.DataCentre
		e.confirmed, e.dataCentre = true, w.DataCentre
		d.advertise(e)
	}
	d.requestPlan()
}

// advertise sends an entry to the other connected entries, once. The caller holds d.mu.
func (d *dialers) advertise(e *entryAddr) {
	if e.advertised {
		return
	}
	e.advertised = true
	news := []wire.Peer{{Addr: e.addr, DataCentre: e.dataCentre}}
	for _, other := range d.known {
		if other != e && other.session != nil {
			other.session.conn.Send(&wire.ToEntry{Entries: slices.Clone(news)})
		}
	}
}

// markLeaving records that an entry accepts no new submissions. Its session stays open: the
// entry still needs targets for the jobs that it has accepted.
func (d *dialers) markLeaving(s *entrySession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.known[s.addr]; e != nil && e.session == s {
		e.leaving = true
		d.requestPlan()
	}
}

// connectionEnded records that a connection has ended or could not be made, or that its
// address proved to be an alias.
func (d *dialers) connectionEnded(ctx context.Context, e *entryAddr, alias bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return // the agent closed it
	}
	e.session, e.alias = nil, e.alias || alias
	if e.failingSince.IsZero() {
		e.failingSince = time.Now()
	}
	d.requestPlan()
}

// run maintains the selection of entries and their sessions until the agent stops.
func (d *dialers) run() {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		d.plan(time.Now())
		select {
		case <-d.ctx.Done():
			return
		case <-d.replan:
		case <-tick.C:
		}
	}
}

// plan dials the selected entries, and closes the sessions of others that are no longer needed
// as substitutes.
func (d *dialers) plan(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	allConnected := true
	chosen := d.choose(now)
	for _, addr := range chosen {
		e := d.known[addr]
		e.surplusSince = time.Time{}
		allConnected = allConnected && e.session != nil
		if e.cancel == nil {
			d.startDialling(e)
		}
		if e.retiring {
			e.retiring = false
			d.setRetired(e.session, false)
		}
	}
	for _, e := range d.known {
		if e.session != nil && !e.alias && !e.down(now) && !slices.Contains(chosen, e.addr) {
			d.handleSurplus(now, e, allConnected)
		}
	}
}

// choose returns the addresses of the selected entries, best first. The caller holds d.mu.
func (d *dialers) choose(now time.Time) []string {
	candidates := make([]subset.Candidate, 0, len(d.known))
	for _, e := range d.known {
		if !e.alias {
			candidates = append(candidates, subset.Candidate{Addr: e.addr, DataCentre: e.dataCentre, Down: e.down(now)})
		}
	}
	return subset.Choose(d.agent.options.Worker, d.agent.options.DataCentre, candidates, d.agent.options.entrySessions())
}

// handleSurplus retires the session of an entry that is not selected, after all selected
// entries have been connected for d.surplusAfter. The caller holds d.mu.
func (d *dialers) handleSurplus(now time.Time, e *entryAddr, allConnected bool) {
	switch {
	case e.surplusSince.IsZero() || !allConnected && !e.retiring:
		e.surplusSince = now
	case now.Sub(e.surplusSince) > d.surplusAfter:
		e.retiring = true
		d.setRetired(e.session, true)
	}
}

// setRetired starts or, with on false, cancels the retirement of a session. It recalls the
// credits of the entry and closes the session once the entry can start nothing on it and all
// reports are acknowledged. Each plan calls it again until then.
func (d *dialers) setRetired(s *entrySession, on bool) {
	if s == nil {
		return
	}
	// Runs in a goroutine because the control goroutine may be waiting for the lock that is
	// held here. The error means that the process is stopping.
	go func() {
		_ = s.control.Push(func(_ time.Time, st *state) {
			st.table.SetRetired(s.id, on)
			if on && st.table.CanClose(s.id) {
				d.close(s)
			}
		})
	}()
}

// close closes the session of a retired entry and stops dialling it, unless the entry has been
// selected again.
func (d *dialers) close(s *entrySession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.known[s.addr]
	if e == nil || e.session != s || !e.retiring {
		return
	}
	event.Log(d.agent.log, event.SessionRetired, "entry", e.addr, "data_centre", e.dataCentre)
	d.agent.metrics.retired.Inc(1)
	e.cancel()
	e.cancel, e.session, e.retiring, e.surplusSince = nil, nil, false, time.Time{}
}

// entryCounts holds the numbers of entries for GET /metrics.
type entryCounts struct{ known, connected, local, down int64 }

// counts returns the current numbers. An alias counts as known, but never as down.
func (d *dialers) counts() entryCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var n entryCounts
	now := time.Now()
	for _, e := range d.known {
		n.known++
		if e.session != nil {
			n.connected++
			if e.dataCentre == d.agent.options.DataCentre {
				n.local++
			}
		}
		if !e.alias && e.down(now) {
			n.down++
		}
	}
	return n
}
