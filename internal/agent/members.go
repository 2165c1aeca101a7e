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
	// planEvery is how often the choice of entries is looked at when nothing calls
	// for it. It bounds how much later than replaceAfter a substitute is dialled.
	planEvery = 250 * time.Millisecond
	// replaceAfter is how long an entry may be out of reach before another one is
	// dialled in its place. A connection that went silent is replaced within less,
	// and an agent has other sessions meanwhile; sooner, each lost connection of a
	// busy minute would open one more session elsewhere and close it again.
	replaceAfter = time.Second
	// surplusAfter is how long all chosen entries must be connected before the
	// session of a substitute is given up. An entry that comes and goes would else
	// make its agents open and close sessions with each of its starts.
	surplusAfter = 10 * time.Second
)

// member is an entry that the agent knows. Its fields but addr and configured are
// guarded by the lock of dialers.
type member struct {
	addr       string
	configured bool
	dataCentre string
	alias      bool // leads to an entry that has another address
	leaving    bool // it said that it takes no new submissions
	met        bool // it has opened a session once, so its data centre is its own word
	told       bool // the other entries were told of it

	cancel       context.CancelFunc // nil while nothing dials it
	session      *entrySession      // nil while it is not connected
	openedAt     time.Time
	failingSince time.Time // zero while it is well
	surplusSince time.Time // zero while it is chosen
	retiring     bool
}

// down reports whether another entry should take its place.
func (m *member) down(now time.Time) bool {
	if m.session != nil && now.Sub(m.openedAt) > steadyAfter {
		m.failingSince = time.Time{}
	}
	patience := replaceAfter
	if m.session != nil {
		patience += steadyAfter // it may be well again; one that comes and goes is not
	}
	return m.leaving || !m.failingSince.IsZero() && now.Sub(m.failingSince) > patience
}

// configured adds an address from the settings, which is never forgotten.
func (d *dialers) configured(addr string) { d.add(wire.Peer{Addr: canonical(addr)}, true) }

// learn adds an entry that another one named. One that is malformed or beyond the
// cap is left out.
func (d *dialers) learn(p wire.Peer) {
	p.Addr = canonical(p.Addr)
	if d.add(p, false) {
		event.Log(d.agent.log, event.PeerLearned, "entry", p.Addr, "data_centre", p.DataCentre)
	}
}

func (d *dialers) add(p wire.Peer, configured bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.known[p.Addr]; known != nil {
		if !known.met && p.DataCentre != "" {
			known.dataCentre = p.DataCentre
		}
		return false
	}
	if p.Addr == "" || !d.hasRoom() || d.ctx.Err() != nil {
		return false
	}
	d.known[p.Addr] = &member{addr: p.Addr, dataCentre: p.DataCentre, configured: configured}
	d.wake()
	return true
}

// hasRoom reports whether one more entry may be known, if need be in the place of
// one that can't be reached: addresses of replaced hosts would else keep new ones out.
func (d *dialers) hasRoom() bool {
	if len(d.known) < d.agent.o.MaxEntries {
		return true
	}
	for addr, m := range d.known {
		if !m.configured && m.session == nil && !m.failingSince.IsZero() {
			if m.cancel != nil {
				m.cancel()
			}
			delete(d.known, addr)
			return true
		}
	}
	return false
}

func (d *dialers) forget(m *member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known[m.addr] == m {
		delete(d.known, m.addr)
	}
}

// wake has the choice looked at soon.
func (d *dialers) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// opened notes a session that an entry has welcomed, and tells the other entries
// of it when it is new.
func (d *dialers) opened(s *entrySession, w *wire.Welcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.known[s.addr]
	if m == nil {
		return // its place was given to another
	}
	m.session, m.openedAt, m.retiring, m.leaving = s, time.Now(), false, w.Leaving
	m.alias = !s.strict
	if s.strict {
		m.told = m.told && m.dataCentre == w.DataCentre
		m.met, m.dataCentre = true, w.DataCentre
		d.tell(m)
	}
	d.wake()
}

// tell passes an entry on to the others that are connected.
func (d *dialers) tell(m *member) {
	if m.told {
		return
	}
	m.told = true
	news := []wire.Peer{{Addr: m.addr, DataCentre: m.dataCentre}}
	for _, other := range d.known {
		if other != m && other.session != nil {
			other.session.conn.Send(&wire.ToEntry{Entries: slices.Clone(news)})
		}
	}
}

// left notes that an entry takes no new submissions. Its session stays: it still
// needs targets for what it has accepted.
func (d *dialers) left(s *entrySession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.known[s.addr]; m != nil && m.session == s {
		m.leaving = true
		d.wake()
	}
}

// ended notes that a connection has ended or could not be made.
func (d *dialers) ended(ctx context.Context, m *member, alias bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return // the agent ended it
	}
	m.session, m.alias = nil, m.alias || alias
	if m.failingSince.IsZero() {
		m.failingSince = time.Now()
	}
	d.wake()
}

// run keeps the sessions with the entries that are chosen until the agent ends.
func (d *dialers) run() {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		d.plan(time.Now())
		select {
		case <-d.ctx.Done():
			return
		case <-d.kick:
		case <-tick.C:
		}
	}
}

// plan dials the entries that are chosen and gives up the sessions that others
// have taken the place of.
func (d *dialers) plan(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	whole := true
	chosen := d.choose(now)
	for _, addr := range chosen {
		m := d.known[addr]
		m.surplusSince = time.Time{}
		whole = whole && m.session != nil
		if m.cancel == nil {
			d.dial(m)
		}
		if m.retiring {
			m.retiring = false
			d.retire(m.session, false)
		}
	}
	for _, m := range d.known {
		if m.session != nil && !m.alias && !m.down(now) && !slices.Contains(chosen, m.addr) {
			d.surplus(now, m, whole)
		}
	}
}

func (d *dialers) choose(now time.Time) []string {
	candidates := make([]subset.Candidate, 0, len(d.known))
	for _, m := range d.known {
		if !m.alias {
			candidates = append(candidates, subset.Candidate{Addr: m.addr, DataCentre: m.dataCentre, Down: m.down(now)})
		}
	}
	return subset.Choose(d.agent.o.Worker, d.agent.o.DataCentre, candidates, d.agent.o.entrySessions())
}

// surplus gives up a session that is not chosen, once the chosen ones have stood
// for long enough.
func (d *dialers) surplus(now time.Time, m *member, whole bool) {
	switch {
	case m.surplusSince.IsZero() || !whole && !m.retiring:
		m.surplusSince = now
	case now.Sub(m.surplusSince) > d.surplusAfter:
		m.retiring = true
		d.retire(m.session, true)
	}
}

// retire takes credits back from an entry and closes the session once nothing
// hangs on it. It is asked for again with each plan until then.
func (d *dialers) retire(s *entrySession, on bool) {
	if s == nil {
		return
	}
	// A goroutine of its own, because the control goroutine may be waiting for the
	// lock that is held here. The error means that the process ends.
	go func() {
		_ = s.control.Push(func(_ time.Time, st *state) {
			st.table.SetRetired(s.id, on)
			if on && st.table.CanClose(s.id) {
				d.close(s)
			}
		})
	}()
}

// close ends a session for good, unless it was chosen again meanwhile.
func (d *dialers) close(s *entrySession) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.known[s.addr]
	if m == nil || m.session != s || !m.retiring {
		return
	}
	event.Log(d.agent.log, event.SessionRetired, "entry", m.addr, "data_centre", m.dataCentre)
	d.agent.metrics.retired.Inc(1)
	m.cancel()
	m.cancel, m.session, m.retiring, m.surplusSince = nil, nil, false, time.Time{}
}

// memberCounts are the figures of GET /metrics.
type memberCounts struct{ known, connected, home, down int64 }

func (d *dialers) counts() memberCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	var n memberCounts
	now := time.Now()
	for _, m := range d.known {
		n.known++
		if m.session != nil {
			n.connected++
			if m.dataCentre == d.agent.o.DataCentre {
				n.home++
			}
		}
		if !m.alias && m.down(now) {
			n.down++
		}
	}
	return n
}
