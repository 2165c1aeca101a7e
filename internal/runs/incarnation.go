package runs

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Announce handles an announcement of a target. One of the known incarnation updates it, unless it is older
// than the last. One of another incarnation is a claim, which ends nothing before its target has answered at
// the address; see recordClaim. Where no target is known, and no run that could end, it is adopted at once.
func (t *Table) Announce(now time.Time, a Announcement) {
	t.now = now
	if t.isLate(a) {
		return
	}
	s := t.targetNamed(a.Incarnation.Name)
	switch {
	case s != nil && s.targetKnown && s.target.Incarnation == a.Incarnation:
		t.update(s, a)
	case !t.targetKnown && t.runs.Len() == 0 && (s == nil || s == t.targetState):
		if a.Incarnation.Name != t.target.Incarnation.Name {
			t.drop(t.targetState)
			t.targetState = t.stateFor(a.Incarnation.Name)
		}
		t.claims = slices.DeleteFunc(t.claims, func(c *claim) bool { return c.Incarnation.Name == a.Incarnation.Name })
		t.adoptIncarnation(a)
	default:
		t.recordClaim(a)
	}
}

// update applies a further announcement of a known incarnation.
func (t *Table) update(s *targetState, a Announcement) {
	end := t.on(s)
	t.updateAnnouncement(a)
	end()
	if s.superseded && s.reachable && s.listed && t.prefers(a) {
		t.makeCurrent(s)
	}
}

func (t *Table) updateAnnouncement(a Announcement) {
	previous, first := t.target, t.unannounced
	if a.Leaving && !previous.Leaving {
		event.Log(t.log, event.TargetLeaving, "target", a.Incarnation.Name, "seq", a.Seq)
	}
	t.target, t.restored, t.unannounced = a, false, false
	t.lease.Clock.Set(t.now, a.ClockMs)
	t.loadChanged = true
	if first {
		t.logAnnounced(previous, true)
	}
	if t.superseded {
		return
	}
	if a.Leaving {
		t.rejectQueued(wire.NotRunLeaving)
	}
	t.rejectQueuedIfEvacuated()
	if first || a.differsInKind(&previous) {
		t.handleOtherKind()
	}
	if a.Capacity != previous.Capacity {
		t.handleResize(previous.Capacity)
	}
	t.unstored = t.unstored || a.Leaving && !previous.Leaving || a.Capacity != previous.Capacity
}

// handleOtherKind applies a changed description of a running target: what was placed by the last one may not fit.
func (t *Table) handleOtherKind() {
	t.rejectReservations(wire.NotRunOtherTarget)
	t.rejectQueued(wire.NotRunOtherTarget)
	t.unstored = true
	t.describeTarget()
}

// differsInKind reports whether a task that was placed by another announcement may not fit any more.
func (a *Announcement) differsInKind(other *Announcement) bool {
	sameLabels := slices.Equal(slices.Sorted(slices.Values(a.Labels)), slices.Sorted(slices.Values(other.Labels)))
	return a.Service != other.Service || a.DataCentre != other.DataCentre || !sameLabels
}

// UnstoredTarget returns the announcement of the target that gets new runs, and whether it is to be stored: it
// is of a new incarnation, of a departure or has a changed capacity since the last call.
func (t *Table) UnstoredTarget() (Announcement, bool) {
	if t.unannounced {
		return Announcement{}, false
	}
	changed := t.unstored
	t.unstored = false
	return t.target, changed
}

// handleResize applies a changed capacity of a running target: it reevaluates the queue and
// reports the load at once, so that entries neither send what no longer fits nor leave new
// capacity unused.
func (t *Table) handleResize(previous job.Demand) {
	capacity := t.target.Capacity
	event.Log(t.log, event.TargetResized, "target", t.target.Incarnation.Name, "cpu_milli", capacity.CPUMilli, "memory_mb", capacity.MemoryMB,
		"was_cpu_milli", previous.CPUMilli, "was_memory_mb", previous.MemoryMB, "in_use_cpu_milli", t.inUse.CPUMilli, "waiting", len(t.queue))
	for s := range t.sessions.Values() {
		s.sendTarget = true
	}
	t.reportLoadNow()
	t.rejectExcessOffers()
	queue := t.queue
	t.queue = nil
	for _, r := range queue {
		if reason := t.capacityRefuseReason(r); reason != wire.NotRunNone {
			t.settleNotRun(r, reason)
			continue
		}
		t.enqueue(r)
	}
	t.startQueued()
}

// Restore sets the target from the record of an earlier agent, until the target announces itself.
// The record has no reading of the target's clock, so nothing starts before the target has
// answered.
func (t *Table) Restore(now time.Time, a Announcement) {
	t.now = now
	if t.targetKnown {
		return
	}
	a.Seq, a.ClockMs = 0, 0
	t.adoptIncarnation(a)
	t.restored, t.unstored = true, false
}

// adoptIncarnation replaces the incarnation of the target by another one of its name that has announced itself.
func (t *Table) adoptIncarnation(a Announcement) {
	previous, known := t.target, t.targetKnown
	t.beginIncarnation(a)
	t.logAnnounced(previous, known)
	t.unstored = true
	t.describeTarget()
}

func (t *Table) logAnnounced(previous Announcement, known bool) {
	a := t.target
	event.Log(t.log, event.TargetAnnounced, "target", a.Incarnation.Name, "born_ms", a.Incarnation.StartedMs, "service", a.Service,
		"address", a.Address, "seq", a.Seq, "was", previous.Incarnation.Name, "was_born_ms", previous.Incarnation.StartedMs, "was_known", known,
		"runs", t.runs.Len(), "token", t.token, "earlier_token", t.earlierToken,
		"cpu_milli", a.Capacity.CPUMilli, "memory_mb", a.Capacity.MemoryMB, "labels", a.Labels, "leaving", a.Leaving)
}

// adoptUnannounced takes up an incarnation whose answer is the first that shows it. Late calls for earlier ones
// are fenced and runs that it has started for them are stopped without waiting for its announcement, which may
// come a whole interval later.
func (t *Table) adoptUnannounced(l *Listing) {
	a := t.target
	a.Incarnation.StartedMs, a.ClockMs, a.Seq, a.Leaving = l.StartedMs, l.ClockMs, 0, false
	t.beginIncarnation(a)
	t.unannounced = true
	for _, id := range l.Running {
		if t.run(id) == nil {
			t.stopForeign(id)
		}
	}
	t.reportLoadNow()
}

// beginIncarnation replaces the incarnation of the target by another one of its name. What ran in the previous
// one has ended with it.
func (t *Table) beginIncarnation(a Announcement) {
	t.counts.Adopted++
	t.endIncarnation("another_life")
	t.earlierToken = max(t.earlierToken, t.token)
	t.target, t.targetKnown, t.restored, t.unannounced = a, true, false, false
	t.tokenRefusals, t.endCursor, t.ackedCursor, t.listed, t.renewalOpen = 0, 0, 0, false, false
	t.reachable, t.refused, t.misdirected, t.failures, t.lastAnswerAt = true, false, false, 0, t.now
	t.health = newRating()
	t.forgetEnds()
	t.lease.Clock.Set(t.now, a.ClockMs)
	t.token = t.firstToken()
	for r := range t.runs.Values() {
		if r.carried && r.startsOpen > 0 {
			t.unansweredAt = t.now // its call may be under way
		}
	}
	t.stopCarriedOver()
}

// describeTarget sends a new description of the target to every session. Orders that were placed by the earlier
// one are returned when they arrive. An entry that doesn't state by which one it has placed an order gets a new
// session.
func (t *Table) describeTarget() {
	t.description++
	for s := range t.sessions.Values() {
		if s.described && s.features < wire.DescribedFeatures {
			t.retire(s)
		}
		s.sendTarget, s.sendLoad = true, true
	}
	t.loadChanged = true
}

// Deregister handles the target's notice that it is shutting down.
func (t *Table) Deregister(now time.Time, name string) {
	t.now = now
	s := t.targetNamed(name)
	if s == nil || !s.targetKnown || s.target.Leaving {
		return
	}
	defer t.on(s)()
	t.target.Leaving = true
	t.rejectQueued(wire.NotRunLeaving)
	t.loadChanged = true
}

// endIncarnation settles the orders of an incarnation that has ended, except those whose start the next
// one may carry out.
func (t *Table) endIncarnation(reason string) {
	ended := t.runs.Len()
	if !t.refused {
		t.reportCrash()
	}
	t.rejectReservations(wire.NotRunDown)
	for _, r := range slices.Collect(t.runs.Values()) {
		if r.state == queued {
			t.settleNotRun(r, wire.NotRunDown)
			continue
		}
		if r.endsWithItsIncarnation() {
			t.settleGone(r, reason)
			continue
		}
		t.carryOver(r, reason)
	}
	if !t.superseded { // of one that was superseded no start is left to be sent
		t.epoch++
		t.options.Target.Ended(t.epoch)
	}
	t.foreignRuns = newForeignRuns()
	t.lease.Restarted()
	if ended > 0 {
		event.Log(t.log, event.RunsStopped, "runs", ended, "reason", reason, "target", t.target.Incarnation.Name)
	}
}

// endsWithItsIncarnation reports whether the end of the incarnation is certainly the end of the run: it
// ran there, and no call to start it can reach the next one.
func (r *run) endsWithItsIncarnation() bool { return r.seen && r.startsOpen == 0 }

// carryOver keeps a run of an incarnation that has ended. A call that starts it may be carried out by the
// next one, which has the same name and knows nothing of the last one's fencing token, or was already.
// The run is therefore over only once the next one has confirmed its stop and then doesn't list it, and
// it may have run before.
func (t *Table) carryOver(r *run, reason string) {
	if !r.carried {
		t.counts.CarriedOver++
		event.Log(t.log, event.RunCarriedOver, "job", r.id.Task.Job, "step", r.id.Task.Step, "task", r.id.Task.Index, "run", r.id.Number,
			"target", t.target.Incarnation.Name, "born_ms", t.target.Incarnation.StartedMs, "reason", reason, "state", r.state.String(), "ran", r.everRan,
			"start_calls", r.startRetries+1, "starts_open", r.startsOpen, "called_ms_ago", clock.Millis(t.now.Sub(r.startCalledAt)))
	}
	r.state, r.carried, r.seen = stopping, true, false
	r.stopInFlight, r.stopAttempts, r.stopConfirmedAt = false, 0, time.Time{}
}

// stopCarriedOver stops the runs that were carried over into a new incarnation.
func (t *Table) stopCarriedOver() {
	for r := range t.runs.Values() {
		if r.carried {
			t.callStop(r)
		}
	}
}

// startedEarlier handles the answer to a start that was called for an earlier incarnation. Which one has
// answered is not known.
func (t *Table) startedEarlier(r *run, answer Answer) {
	if answer == NoAnswer {
		return
	}
	r.startsOpen = max(0, r.startsOpen-1)
	if answer == Accepted {
		r.everRan = true
		return
	}
	if r.startsOpen == 0 && !r.everRan {
		t.counts.NotRun++
		t.settleWith(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: wire.NotRunDown})
	}
}

// awaitsNextIncarnation reports whether only the next incarnation of an absent target could settle a run:
// that can't be stopped, and doesn't end with the lease.
func (t *Table) awaitsNextIncarnation(r *run) bool {
	absent := !t.superseded && (!t.targetKnown || !t.reachable)
	return absent && (r.carried || (t.refused || t.misdirected) && r.state != queued && !r.endsWithItsIncarnation())
}

// settleGone settles a run that has certainly ended but was not listed as ended. reason states why that
// is certain.
func (t *Table) settleGone(r *run, reason string) {
	t.noteConcluded(r, reason)
	t.counts.Stopped++
	t.settle(r, wire.EndStopped)
}

// settleFenced settles a run that the target doesn't list and will not start any more. It has not run
// unless the target has accepted or listed it, or an earlier incarnation may have.
func (t *Table) settleFenced(r *run) {
	if r.everRan || r.carried || r.notRunReason == wire.NotRunNone {
		t.settleGone(r, "stopped")
		return
	}
	t.noteConcluded(r, "fenced")
	t.counts.NotRun++
	t.settleWith(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: r.notRunReason})
}

// noteConcluded logs that a run is settled that was not listed as ended.
func (t *Table) noteConcluded(r *run, reason string) {
	t.counts.Concluded++
	event.Log(t.log, event.RunConcluded, "job", r.id.Task.Job, "step", r.id.Task.Step, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Incarnation.Name, "born_ms", t.target.Incarnation.StartedMs, "reason", reason, "state", r.state.String(), "ran", r.everRan,
		"start_calls", r.startRetries+1, "starts_open", r.startsOpen, "called_ms_ago", clock.Millis(t.now.Sub(r.startCalledAt)), "stop_confirmed", !r.stopConfirmedAt.IsZero(),
		"carried_over", r.carried)
}

// settleWith removes a run and reports the outcome given.
func (t *Table) settleWith(r *run, out wire.RunOutcome) {
	t.remove(r)
	t.queueOutcome(r, out)
}
