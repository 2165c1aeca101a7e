package leased_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/dispatch"
	"github.com/camphorrack/camphorrack/internal/evacuation"
	"github.com/camphorrack/camphorrack/internal/runs"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// simSession is a session between an entry and a host; its two ends close independently.
type simSession struct {
	id              uint64
	entry, host     int
	entryUp, hostUp bool
	broken          bool // no frame is delivered any more
	proof           lease.Proof
	verifiedAt      time.Time // as of which the entry has confirmed that it wants the runs; zero: not yet
}

// entryOutbox and hostOutbox deliver frames after one step; those of a broken session are
// lost.
type entryOutbox struct {
	w     *simWorld
	entry int
}

func (o entryOutbox) Send(id dispatch.ConnID, f *wire.ToAgent) {
	s := o.w.sessions[uint64(id)]
	o.w.schedule(step, func() {
		if s.hostUp && !s.broken {
			h := o.w.hosts[s.host]
			h.evacuations.MergeFromPeer(o.w.now, evacuation.PeerID(s.id), f.Leased.Evacuations)
			h.table.Receive(o.w.now, runs.ConnID(s.id), f.Leased)
		}
	})
}

func (o entryOutbox) Close(id dispatch.ConnID) { o.w.disconnect(o.w.sessions[uint64(id)], 0, 0) }

type hostOutbox struct{ w *simWorld }

func (o hostOutbox) Send(id runs.ConnID, f *wire.ToEntry) {
	s := o.w.sessions[uint64(id)]
	var deliver func()
	deliver = func() {
		if s.entryUp && !s.broken {
			e := o.w.entries[s.entry]
			if paused := e.pausedFor(o.w); paused > 0 {
				o.w.schedule(paused, deliver)
				return
			}
			e.evacuations.MergeFromPeer(o.w.now, evacuation.PeerID(s.id), f.Leased.Evacuations)
			e.Receive(o.w.now, dispatch.ConnID(s.id), f.Leased)
		}
	}
	o.w.schedule(step, deliver)
}

func (o hostOutbox) Close(id runs.ConnID) { o.w.disconnect(o.w.sessions[uint64(id)], 0, 0) }

func (o hostOutbox) WantedAt(id runs.ConnID, now time.Time) time.Time {
	return o.w.sessions[uint64(id)].proof.Time(now)
}

// confirms reports whether the entries confirm what they want. In every fourth schedule they are of an
// earlier build that only acknowledges frames; then no entry is late.
func (w *simWorld) confirms() bool { return w.seed%4 != 3 }

// heartbeat makes an entry acknowledge what the host has sent one heartbeat interval before, and confirm
// what it has verified.
func (s *simSession) heartbeat(w *simWorld) {
	if !s.entryUp || !s.hostUp || s.broken || w.entries[s.entry].suspendedUntil > w.elapsed {
		return
	}
	if !w.confirms() {
		s.proof.Acknowledge(w.now, w.now.Add(-heartbeatInterval-2*step))
		return
	}
	if confirmed := s.verifiedAt; !confirmed.IsZero() {
		w.schedule(step, func() { s.proof.Confirm(confirmed.Add(-heartbeatInterval)) })
	}
}

// verify makes an entry verify which of its callers wait.
func (e *simEntry) verify(w *simWorld, n int) {
	e.VerifyCallers(w.now)
	e.Flush()
	for _, s := range w.sessions {
		if s.entry == n && s.entryUp {
			s.verifiedAt = e.WantedAt(dispatch.ConnID(s.id))
		}
	}
}

func (w *simWorld) connect(entry, host int) {
	w.lastID++
	s := &simSession{id: w.lastID, entry: entry, host: host, entryUp: true, hostUp: true}
	w.sessions[s.id] = s
	w.entries[entry].Connect(w.now, dispatch.ConnID(s.id), &wire.Hello{Worker: fmt.Sprint(host), DataCentre: dataCentre(host)}, w.features(host))
	w.entries[entry].evacuations.PeerUp(evacuation.PeerID(s.id))
	if w.confirms() {
		s.proof.Confirm(w.now)
	} else {
		s.proof.Acknowledge(w.now, w.now)
	}
	w.hosts[host].table.Connect(w.now, runs.ConnID(s.id), w.features(host))
	w.hosts[host].evacuations.PeerUp(evacuation.PeerID(s.id))
}

// disconnect breaks a session. Each end detects that after a delay of its own, and a new
// session opens 50 ms after both have.
func (w *simWorld) disconnect(s *simSession, entryAfter, hostAfter time.Duration) {
	if s.broken {
		return
	}
	s.broken = true
	w.logf("", "session of entry %d and host %d breaks; detected after %s and %s", s.entry, s.host, entryAfter, hostAfter)
	w.schedule(entryAfter, func() {
		if s.entryUp {
			s.entryUp = false
			w.entries[s.entry].Disconnect(w.now, dispatch.ConnID(s.id))
			w.entries[s.entry].evacuations.PeerDown(evacuation.PeerID(s.id))
		}
	})
	w.schedule(hostAfter, func() {
		if s.hostUp {
			s.hostUp = false
			w.hosts[s.host].table.Disconnect(w.now, runs.ConnID(s.id))
			w.hosts[s.host].evacuations.PeerDown(evacuation.PeerID(s.id))
		}
	})
	w.schedule(max(entryAfter, hostAfter)+50*time.Millisecond, func() { w.connect(s.entry, s.host) })
}

// sessionsByAge returns all sessions, ended ones included, in the order in which they opened.
func (w *simWorld) sessionsByAge() []*simSession {
	return slices.SortedFunc(maps.Values(w.sessions), func(a, b *simSession) int { return cmp.Compare(a.id, b.id) })
}
