package runs

import (
	"iter"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// An announcement shows neither that its sender answers at the address, nor that another target has ended: a
// successor may start before its predecessor has drained, and announcements may arrive late. A target is adopted
// once it has answered for its name; the runs of the one before end by its own word or with its lease.

const (
	// maxClaims bounds the announced targets that are not adopted, maxFormer the superseded ones with
	// unsettled runs, and maxDropped those without.
	maxClaims, maxFormer, maxDropped = 4, 4, 4
	// maxHeard bounds the incarnations whose newest announcement is remembered.
	maxHeard = 8
	// claimLifetime is how long after its last announcement a target may be adopted: three announcement
	// intervals.
	claimLifetime = 5 * time.Second
	// probeInterval is the interval of probes while the known target is of no use.
	probeInterval = 50 * time.Millisecond
	// formerRetryInterval is the delay of renewals for a superseded target after a failed one, and
	// maxRenewalTime the time after which one without any answer is made again.
	formerRetryInterval = 50 * time.Millisecond
	maxRenewalTime      = time.Second
)

// claim is the announcement of a target that is not adopted.
type claim struct {
	Announcement
	announcedAt time.Time
	probeOpen   bool // a probe is not answered yet
	probedAt    time.Time
	reported    bool // that it is not adopted was logged
}

// heard is the newest announcement of an incarnation, whether or not that is known.
type heard struct {
	incarnation Incarnation
	seq         uint64
}

// isLate reports whether an announcement is not newer than the last one of its incarnation. A target that was
// superseded or misdirected may be adopted again, but not with what it said before its last announcement.
func (t *Table) isLate(a Announcement) bool {
	i := slices.IndexFunc(t.heard, func(h heard) bool { return h.incarnation == a.Incarnation })
	switch {
	case i >= 0 && a.Seq <= t.heard[i].seq:
		return true
	case i >= 0:
		t.heard = slices.Delete(t.heard, i, i+1)
	case len(t.heard) == maxHeard:
		t.heard = slices.Delete(t.heard, 0, 1)
	}
	t.heard = append(t.heard, heard{a.Incarnation, a.Seq})
	return false
}

// on makes the methods act on another target until the returned function is called.
func (t *Table) on(s *targetState) (end func()) {
	previous := t.targetState
	t.targetState = s
	return func() { t.targetState = previous }
}

// targets returns the target that gets new runs and the former ones.
func (t *Table) targets() iter.Seq[*targetState] {
	return func(yield func(*targetState) bool) {
		if !yield(t.targetState) {
			return
		}
		for _, s := range t.former {
			if !yield(s) {
				return
			}
		}
	}
}

// onEach calls f on each target.
func (t *Table) onEach(f func()) {
	for s := range t.targets() {
		end := t.on(s)
		f()
		end()
	}
}

// targetNamed returns the target of a name, or nil.
func (t *Table) targetNamed(name string) *targetState {
	for s := range t.targets() {
		if s.target.Incarnation.Name == name {
			return s
		}
	}
	return nil
}

// recordClaim handles the announcement of an incarnation that is not known: it asks at the address for it.
func (t *Table) recordClaim(a Announcement) {
	i := slices.IndexFunc(t.claims, func(c *claim) bool { return c.Incarnation.Name == a.Incarnation.Name })
	if i < 0 {
		if len(t.claims) == maxClaims {
			t.claims = slices.Delete(t.claims, 0, 1)
		}
		i = len(t.claims)
		t.claims = append(t.claims, &claim{})
	}
	c := t.claims[i]
	if c.Incarnation != a.Incarnation {
		*c = claim{}
	}
	c.Announcement, c.announcedAt = a, t.now
	t.probe(c)
}

func (t *Table) probe(c *claim) {
	if c.probeOpen && t.now.Sub(c.probedAt) < maxRenewalTime {
		return
	}
	c.probeOpen, c.probedAt = true, t.now
	t.options.Target.Renew(RenewCall{Incarnation: c.Incarnation, ReplyTimeout: maxCallTimeout, Probe: true})
}

// probeClaims asks for the announced targets again while the known one is of no use.
func (t *Table) probeClaims() {
	t.claims = slices.DeleteFunc(t.claims, func(c *claim) bool { return t.now.Sub(c.announcedAt) >= claimLifetime })
	if t.announced() && t.reachable && !t.target.Leaving {
		return
	}
	for _, c := range t.claims {
		if t.now.Sub(c.probedAt) >= probeInterval {
			t.probe(c)
		}
	}
}

// probed handles the answer to a probe: some incarnation of the name answers at the address.
func (t *Table) probed(call RenewCall, l Listing) {
	i := slices.IndexFunc(t.claims, func(c *claim) bool { return c.Incarnation == call.Incarnation })
	if i < 0 {
		return
	}
	c := t.claims[i]
	c.probeOpen = false
	s := t.targetNamed(c.Incarnation.Name)
	if s != nil && s.targetKnown && s.target.Incarnation == c.Incarnation {
		t.claims = slices.Delete(t.claims, i, i+1) // it was adopted meanwhile: its runs go on
		if s.unannounced {
			t.update(s, c.Announcement)
		}
		return
	}
	if !answersFor(c, s, l) {
		event.Log(t.log, event.AnnouncementStale, "target", c.Incarnation.Name, "born_ms", c.Incarnation.StartedMs, "known_born_ms", l.StartedMs)
		return
	}
	if s == nil && (!t.prefers(c.Announcement) || len(t.former) >= maxFormer) {
		t.reportUnconfirmed(c, "not_preferred")
		return
	}
	t.claims = slices.Delete(t.claims, i, i+1)
	if l.ClockMs > 0 {
		c.ClockMs = l.ClockMs
	}
	if s == nil {
		s = t.stateFor(c.Incarnation.Name)
		t.makeCurrent(s)
	}
	t.adoptOn(s, c.Announcement)
	if s.superseded && t.prefers(c.Announcement) {
		t.makeCurrent(s)
	}
}

// answersFor reports whether an answer to a probe is of the incarnation that was announced. An answer without
// a start time is not of the incarnation known under the name if it had no token yet.
func answersFor(c *claim, known *targetState, l Listing) bool {
	if l.StartedMs != 0 {
		return l.StartedMs == c.Incarnation.StartedMs
	}
	return known == nil || !known.targetKnown || known.listed && !l.StaleToken
}

// adoptOn adopts an incarnation that has answered as the next one of a target.
func (t *Table) adoptOn(s *targetState, a Announcement) {
	defer t.on(s)()
	t.adoptIncarnation(a)
	t.options.Target.Renew(t.nextRenewal())
}

// probeFailed handles a probe without an answer of the announced target.
func (t *Table) probeFailed(call RenewCall, failure RenewFailure) {
	for _, c := range t.claims {
		if c.Incarnation == call.Incarnation {
			c.probeOpen = false
			t.reportUnconfirmed(c, failure.String())
		}
	}
}

// reportUnconfirmed logs once for each incarnation that it is not adopted.
func (t *Table) reportUnconfirmed(c *claim, reason string) {
	if c.reported {
		return
	}
	c.reported = true
	t.counts.Unconfirmed++
	event.Log(t.log, event.TargetUnconfirmed, "target", c.Incarnation.Name, "born_ms", c.Incarnation.StartedMs, "address", c.Address, "seq", c.Seq,
		"leaving", c.Leaving, "reason", reason, "known", t.target.Incarnation.Name, "known_born_ms", t.target.Incarnation.StartedMs, "runs", t.runs.Len())
}

// prefers reports whether a target that has answered is to get the new runs in place of the known one: that one
// is of no use, leaving, or only recorded, or the other one was started later. One that is leaving gets none, so
// that it doesn't take the place of one that may answer again.
func (t *Table) prefers(a Announcement) bool {
	switch {
	case a.Leaving:
		return !t.announced()
	case !t.announced() || !t.reachable || t.restored && !t.listed || t.target.Leaving:
		return true
	}
	return a.Incarnation.StartedMs > t.target.Incarnation.StartedMs
}

// makeCurrent makes a target the one that gets new runs. The runs of the one before go on.
func (t *Table) makeCurrent(s *targetState) {
	t.rejectReservations(wire.NotRunDown)
	t.rejectQueued(wire.NotRunDown)
	previous := t.targetState
	if previous.targetKnown {
		t.counts.Superseded++
	}
	event.Log(t.log, event.TargetSuperseded, "target", previous.target.Incarnation.Name, "born_ms", previous.target.Incarnation.StartedMs,
		"known", previous.targetKnown, "leaving", previous.target.Leaving, "reachable", previous.reachable, "refused", previous.refused,
		"misdirected", previous.misdirected, "runs", previous.runs.Len())
	t.former = append(slices.DeleteFunc(t.former, func(f *targetState) bool { return f == s }), previous)
	previous.superseded, s.superseded = true, false
	t.targetState = s
	t.epoch++
	t.options.Target.Ended(t.epoch)
	t.unstored = true
	t.describeTarget()
	t.reportLoadNow()
	t.updateFormer()
}

// updateFormer renews the leases of the former targets, and drops those whose runs are settled and whose ends
// are acknowledged.
func (t *Table) updateFormer() {
	t.former = slices.DeleteFunc(t.former, func(s *targetState) bool {
		defer t.on(s)()
		if t.runs.Len() > 0 || t.targetKnown && t.reachable && t.ackedCursor < t.endCursor {
			t.renewFormer()
			return false
		}
		if t.targetKnown && !t.reachable && !t.refused {
			t.reportCrash() // it has not come back
		}
		t.drop(s)
		return true
	})
}

// drop keeps a target without unsettled runs for its next incarnation.
func (t *Table) drop(s *targetState) {
	if s.target.Incarnation.Name == "" {
		return
	}
	s.targetKnown = false
	if len(t.dropped) == maxDropped {
		t.dropped = slices.Delete(t.dropped, 0, 1)
	}
	t.dropped = append(t.dropped, s)
}

// stateFor returns the state for a target that is neither current nor former.
func (t *Table) stateFor(name string) *targetState {
	i := slices.IndexFunc(t.dropped, func(s *targetState) bool { return s.target.Incarnation.Name == name })
	if i < 0 {
		return newTargetState(t.options.Lease)
	}
	s := t.dropped[i]
	t.dropped = slices.Delete(t.dropped, i, i+1)
	s.superseded = false
	return s
}

func (t *Table) renewFormer() {
	since := t.now.Sub(t.renewalCalledAt)
	if !t.targetKnown || t.renewalOpen && since < maxRenewalTime || t.failures > 0 && since < formerRetryInterval {
		return
	}
	t.options.Target.Renew(t.nextRenewal())
}
