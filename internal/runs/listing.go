package runs

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Renewed handles the answer to a renewal that was called at the time calledAt.
func (t *Table) Renewed(now, calledAt time.Time, c RenewCall, l Listing) {
	t.now = now
	if c.Probe {
		t.probed(c, l)
		return
	}
	s := t.targetNamed(c.Incarnation.Name)
	if s == nil {
		return
	}
	t.renewalAnswered(s, calledAt, c, l)
	t.probeClaims()
	t.updateFormer()
	t.startQueued()
}

func (t *Table) renewalAnswered(s *targetState, calledAt time.Time, c RenewCall, l Listing) {
	defer t.on(s)()
	now := t.now
	t.renewalOpen = false
	if c.Incarnation != t.target.Incarnation {
		if c.LeaseUntilMs != 0 && !l.StaleToken {
			t.unansweredAt = now // the present incarnation may have carried it out
		}
		return
	}
	if l.StartedMs != 0 && l.StartedMs != c.Incarnation.StartedMs {
		t.restarted(c, &l)
		return
	}
	t.lease.Clock.Set(now, l.ClockMs)
	if l.StaleToken {
		t.raiseToken(c.Token)
		return // an earlier agent can still change the listed state until this agent's token is in force
	}
	if !t.reachable {
		event.Log(t.log, event.TargetBack, "target", t.target.Incarnation.Name, "failures", t.failures)
		t.reportRecovered()
	}
	t.lastAnswerAt, t.tokenRefusals = now, 0
	t.endTimesUncertain = t.failures > 0
	t.reachable, t.refused, t.misdirected, t.failures = true, false, false, 0
	t.ackedCursor = max(t.ackedCursor, c.AckCursor)
	t.applyEnds(l.Ended)
	t.reconcile(calledAt, &l)
}

// restarted handles the answer to a renewal that shows that the target has restarted under its name.
func (t *Table) restarted(c RenewCall, l *Listing) {
	if c.LeaseUntilMs != 0 && !l.StaleToken {
		t.unansweredAt = t.now
	}
	event.Log(t.log, event.TargetRestarted, "target", t.target.Incarnation.Name, "born_ms", l.StartedMs, "clock_ms", l.ClockMs,
		"known_born_ms", t.target.Incarnation.StartedMs, "silent_ms", clock.Millis(t.now.Sub(t.lastAnswerAt)), "token", c.Token, "stale_token", l.StaleToken,
		"running", len(l.Running), "runs", t.runs.Len())
	t.noteListedByNextIncarnation(l.Running)
	t.adoptUnannounced(l)
}

// applyEnds settles the runs that the target newly lists as ended.
func (t *Table) applyEnds(ended []EndedRun) {
	for _, e := range ended {
		if e.Seq <= t.endCursor {
			continue
		}
		t.endCursor = e.Seq
		t.foreignRuns.Delete(e.Run)
		r := t.run(e.Run)
		if r == nil || r.state == queued {
			continue
		}
		t.applyEnd(r, e.End)
	}
}

func (t *Table) applyEnd(r *run, end End) {
	if r.startedAt.IsZero() {
		r.startedAt = r.startCalledAt
	}
	t.noteCarriedOut(r)
	ranMs := clock.Millis(t.now.Sub(r.startedAt))
	switch end {
	case Done:
		t.counts.Done++
		if t.endTimesUncertain || r.startRetries > 0 || r.carried {
			ranMs = 0 // the run may have ended long ago, or started before the call that was answered
		}
		t.recordEnd(r, ranMs, true)
		t.settle(r, wire.EndDone)
	case Failed:
		t.counts.Failed++
		t.health.recordFailure()
		t.settle(r, wire.EndFailed)
	default:
		t.counts.Stopped++
		if t.hung(r) {
			t.recordEnd(r, ranMs, false)
		}
		t.settle(r, wire.EndStopped)
	}
}

// reconcile compares the runs that the target lists as running with those of the table: it stops
// the ones of an earlier agent and settles the missing ones. An incomplete listing says nothing about
// missing runs.
func (t *Table) reconcile(calledAt time.Time, l *Listing) {
	present := make(map[RunID]bool, len(l.Running))
	for _, id := range l.Running {
		present[id] = true
		r := t.run(id)
		switch {
		case r == nil || r.state == queued:
			t.stopForeign(id)
		default:
			t.noteListed(r)
		}
	}
	if t.incomplete = l.Incomplete; t.incomplete {
		return
	}
	for _, id := range slices.Collect(t.foreignRuns.Keys()) {
		if !present[id] {
			t.foreignRuns.Delete(id)
		}
	}
	for _, r := range slices.Collect(t.runs.Values()) {
		if !present[r.id] {
			t.settleMissing(r, calledAt)
		}
	}
	if !t.listed {
		t.listed = true
		t.countUnansweredLease()
	}
}

// maxStartDelay is how long after its time-out a call may still be carried out.
const maxStartDelay = 10 * time.Second

// countUnansweredLease counts the lease that this incarnation may have granted for a call for an earlier
// one. Any such call that follows is fenced: the incarnation has accepted a higher token.
func (t *Table) countUnansweredLease() {
	if t.earlierToken > 0 && !t.unansweredAt.IsZero() && t.now.Sub(t.unansweredAt) < maxStartDelay {
		t.lease.GrantedByOtherClock(t.now)
	}
}

// noteListedByNextIncarnation records that runs are at work in another incarnation of the target, so that
// they are not over with the end of the known one.
func (t *Table) noteListedByNextIncarnation(running []RunID) {
	for _, id := range running {
		if r := t.run(id); r != nil {
			r.seen = false
		}
	}
}

// noteListed records that the target lists a run as running.
func (t *Table) noteListed(r *run) {
	t.noteCarriedOut(r)
	if r.state == starting {
		r.state, r.startedAt = running, t.now
	}
}

// noteCarriedOut records that the present incarnation has carried out a start of a run.
func (t *Table) noteCarriedOut(r *run) {
	r.everRan, r.seen = true, true
	if r.startRetries == 0 {
		r.startsOpen = 0 // it was the only call
	}
}

// settleMissing settles a run that the target lists neither as running nor as ended. The list
// proves that it is gone only if it was requested after the target had answered the start or the
// stop. A run that is being stopped waits for its start call as well, because that may yet reach the
// next incarnation.
func (t *Table) settleMissing(r *run, calledAt time.Time) {
	switch r.state {
	case running:
		if calledAt.After(r.startedAt) {
			t.settleGone(r, "not_listed")
		}
	case stopping:
		if !r.startInFlight && !r.stopConfirmedAt.IsZero() && calledAt.After(r.stopConfirmedAt) {
			t.settleFenced(r)
		}
	}
}

// stopForeign stops a run that this agent did not start: the end of the earlier agent was reported
// to its owner.
func (t *Table) stopForeign(id RunID) {
	if t.foreignRuns.Has(id) {
		return
	}
	event.Log(t.log, event.ForeignRun, "job", id.Task.Job, "task", id.Task.Index, "run", id.Number, "target", t.target.Incarnation.Name)
	t.foreignRuns.Set(id, t.now)
	t.options.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: id, Timeout: t.callTimeout()})
}

// RenewFailed handles a renewal that returned no listing.
func (t *Table) RenewFailed(now time.Time, c RenewCall, failure RenewFailure) {
	t.now = now
	if c.Probe {
		t.probeFailed(c, failure)
		return
	}
	s := t.targetNamed(c.Incarnation.Name)
	if s == nil {
		return
	}
	t.renewalFailed(s, c, failure)
	t.probeClaims()
	t.updateFormer()
}

func (t *Table) renewalFailed(s *targetState, c RenewCall, failure RenewFailure) {
	defer t.on(s)()
	t.renewalOpen = false
	if failure == Unresponsive && c.LeaseUntilMs != 0 {
		t.unansweredAt = t.now
	}
	if c.Incarnation != t.target.Incarnation || !t.targetKnown {
		return
	}
	t.failures++
	switch {
	case failure == Replaced:
		t.recordMisdirection(c)
	case failure == Refused:
		t.recordRefusal()
		t.setUnreachable(failure)
	case t.now.Sub(t.lastAnswerAt) >= unreachableAfter: // one lost or rejected call proves little, and the next one follows at once
		t.setUnreachable(failure)
	}
}

// endKnownIncarnation records that the incarnation has ended; the next one will announce itself.
func (t *Table) endKnownIncarnation(reason string) {
	t.failures++
	t.endIncarnation(reason)
	t.targetKnown = false
	t.reportLoadNow()
}

// recordMisdirection handles a renewal that another target has answered. The known one may go on, and answer
// again: its runs are over with the lease.
func (t *Table) recordMisdirection(c RenewCall) {
	t.counts.Misdirected++
	if !t.misdirected {
		event.Log(t.log, event.TargetMisdirected, "target", c.Incarnation.Name, "born_ms", c.Incarnation.StartedMs, "call", "renewal", "runs", t.runs.Len())
	}
	t.misdirected = true
	if t.startedRuns() == 0 && !t.superseded {
		t.endKnownIncarnation("replaced")
		return
	}
	t.setUnreachable(Replaced)
}

// startedRuns returns the number of unsettled runs whose start was called.
func (t *Table) startedRuns() (n int) {
	for r := range t.runs.Values() {
		if r.state != queued {
			n++
		}
	}
	return n
}

// recordRefusal handles a connection to the target that was refused: no process listens at its address. It
// is reported as a crash, but a target that has only stopped listening goes on with its runs, so these are
// over with the lease, or once another incarnation is there.
func (t *Table) recordRefusal() {
	if t.refused {
		return
	}
	t.refused = true
	t.reportCrash()
	t.rejectReservations(wire.NotRunDown)
}

// setUnreachable records that the target can't be reached, and returns the queued orders.
func (t *Table) setUnreachable(failure RenewFailure) {
	if !t.reachable {
		return
	}
	event.Log(t.log, event.TargetSilent, "target", t.target.Incarnation.Name, "reason", int(failure), "failures", t.failures)
	t.reachable = false
	if !t.refused {
		t.reportUnresponsive()
	}
	t.rejectQueued(wire.NotRunDown)
	t.reportLoadNow()
}

// settleExpiredLease settles the runs under a lease that has expired: a target that was
// unreachable for so long has killed them. It turns away starts that name a lease that is over, so that all runs
// of a target that was superseded are over, but for those that its next incarnation may carry out.
func (t *Table) settleExpiredLease() {
	if t.reachable && t.targetKnown || !t.lease.Over(t.now) && !(t.superseded && t.lease.End().IsZero()) {
		return
	}
	for _, r := range slices.Collect(t.runs.Values()) {
		if r.state != queued && (r.endsWithItsIncarnation() || t.superseded && (!r.carried || t.carriedOutAndOver(r))) {
			t.settleGone(r, "lease_over")
		}
	}
}

// carriedOutAndOver reports whether a run that was carried over has had the time to start as late as a start may
// be carried out, and to end with the longest lease.
func (t *Table) carriedOutAndOver(r *run) bool {
	return t.now.Sub(r.startCalledAt) >= maxCallTimeout+maxStartDelay+t.lease.LongestGrant()
}
