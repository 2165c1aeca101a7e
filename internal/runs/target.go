package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// clockSlack makes up for a target's clock that runs up to 2 % slow, when the
	// end of a lease is told by the agent's clock.
	clockSlack = 1.03
	// lapseMargin covers the stop of what runs when a lease ends.
	lapseMargin = 60 * time.Millisecond
	// stopRetry is how long a stop may go unanswered before it is sent again. A
	// target answers one in under a millisecond.
	stopRetry = 100 * time.Millisecond
	// renewWait is the longest time that a renewal waits for an end while tasks run.
	// The lease is renewed each time, so one or two renewals may fail before it ends.
	renewWait = 300 * time.Millisecond
	// endMargin is how long after the next expected end a renewal waits at most, and
	// leastWait the shortest wait. A renewal whose answer is lost leaves the agent
	// blind until it is given up: with a wait of 300 ms each time, one lost answer in
	// twenty made tasks of 60 ms seem to take 500, and their targets useless.
	endMargin = 20 * time.Millisecond
	leastWait = 25 * time.Millisecond
	// A start or a stop is given up after timeoutFactor times the mean time to an
	// answer, between leastTimeout and mostTimeout. A target on the same host answers
	// within 5 ms of ninety-three starts in a hundred, and within 20 ms of all but one
	// in five hundred; a start that was not answered is fenced off, and the earlier it
	// is, the more often its task is still in time elsewhere. A slow host takes longer
	// for every call.
	usualAnswerMs = 2.5
	timeoutFactor = 9
	leastTimeout  = 20 * time.Millisecond
	mostTimeout   = 100 * time.Millisecond
	answerWeight  = 0.05
	// deafAfter is how long a target may answer nothing before it counts as away. Where
	// one answer in twenty is lost, two renewals in a row fail every second somewhere;
	// each time the jobs of a sound target would be given up.
	deafAfter = 250 * time.Millisecond
	// settleWait is the wait of a renewal while the end of a stop is awaited: its task
	// can't go elsewhere before it is listed.
	settleWait = 2 * time.Millisecond
	// idleWait is the same while nothing runs and nothing has to be renewed.
	idleWait = 1000 * time.Millisecond
)

// Announce takes what a target says of itself, and reports whether it is worth
// remembering: another life, or one that leaves. An older announcement of the same life
// changes nothing.
func (t *Table) Announce(now time.Time, a Announcement) (news bool) {
	t.now = now
	if t.known && a.Life == t.target.Life && a.Seq <= t.target.Seq {
		return false
	}
	if t.known && a.Life != t.target.Life && a.Life.BornMs < t.target.Life.BornMs {
		event.Log(t.log, event.AnnouncementStale, "target", a.Life.Name, "born_ms", a.Life.BornMs, "known_born_ms", t.target.Life.BornMs)
		return false // a delayed word of a life before this one
	}
	if !t.known || a.Life != t.target.Life {
		t.adopt(a)
		return true
	}
	leaves := a.Leaving && !t.target.Leaving
	if leaves {
		event.Log(t.log, event.TargetLeaving, "target", a.Life.Name, "seq", a.Seq)
	}
	t.target = a
	t.hearClock(now, a.ClockMs)
	if a.Leaving {
		t.returnQueue(wire.NotRunLeaving)
	}
	t.loadDirty = true
	return leaves
}

// Recall takes what an earlier agent wrote down of the target, until the target speaks
// for itself. The target's clock is not known from it, so nothing starts before the
// target has answered.
func (t *Table) Recall(now time.Time, a Announcement) {
	t.now = now
	if t.known {
		return
	}
	a.Seq, a.ClockMs = 0, 0
	t.adopt(a)
}

// adopt begins another life of the target. What ran in the one before is gone with
// it.
func (t *Table) adopt(a Announcement) {
	event.Log(t.log, event.TargetAnnounced, "target", a.Life.Name, "born_ms", a.Life.BornMs, "service", a.Service,
		"cpu_milli", a.Capacity.CPUMilli, "memory_mb", a.Capacity.MemoryMB, "labels", a.Labels, "leaving", a.Leaving)
	t.endLife("another_life")
	t.target, t.known = a, true
	t.token, t.cursor, t.looked = 0, 0, false
	t.reachable, t.failures, t.heardAt = true, 0, t.now
	t.health = newRating()
	t.hearClock(t.now, a.ClockMs)
	t.token = a.ClockMs
	for _, o := range t.owners {
		o.target, o.load = true, true
	}
	t.loadDirty = true
}

// Depart takes a target's word that it ends.
func (t *Table) Depart(now time.Time, name string) {
	t.now = now
	if t.known && t.target.Life.Name == name && !t.target.Leaving {
		t.target.Leaving = true
		t.returnQueue(wire.NotRunLeaving)
		t.loadDirty = true
	}
}

// endLife settles everything of a life that is over.
func (t *Table) endLife(why string) {
	ended := len(t.runs)
	for _, r := range t.runs {
		if r.state == queued {
			t.settleNotRun(r, wire.NotRunDown)
			continue
		}
		t.end(r)
	}
	clear(t.foreign)
	t.leaseEnd = time.Time{}
	if ended > 0 {
		event.Log(t.log, event.RunsStopped, "runs", ended, "reason", why, "target", t.target.Life.Name)
	}
}

// end settles a run that certainly does not run any more, without a listed end.
func (t *Table) end(r *run) {
	if !r.everRan && r.reason != wire.NotRunNone && !r.stopConfirmed.IsZero() {
		t.counts.NotRun++
		t.settleAs(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: r.reason})
		return
	}
	t.counts.Stopped++
	t.settle(r, wire.EndStopped)
}

func (t *Table) settleAs(r *run, out wire.RunOutcome) {
	t.forget(r)
	t.tell(r, out)
}

// hearClock notes the target's clock.
func (t *Table) hearClock(now time.Time, clockMs int64) {
	if clockMs <= 0 {
		return
	}
	t.clockMs, t.clockAt = clockMs, now
}

// leaseUntil returns the time on the target's clock until which a lease that is
// taken now may last.
func (t *Table) leaseUntil() int64 {
	return t.clockMs + t.now.Sub(t.clockAt).Milliseconds() + t.o.LeaseLimit.Milliseconds()
}

// granted notes that the target has taken a lease in a call that it answered now.
func (t *Table) granted() {
	end := t.now.Add(time.Duration(float64(t.o.LeaseLimit) * clockSlack))
	if end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// Renewal returns the next call that renews the lease, and false while no target is
// known.
func (t *Table) Renewal(now time.Time) (RenewCall, bool) {
	t.now = now
	if !t.known {
		return RenewCall{}, false
	}
	c := RenewCall{Life: t.target.Life, Token: t.token, AckCursor: t.cursor, Wait: renewWait, Slack: t.callTimeout()}
	switch {
	case t.failures > 1:
		c.Wait, c.Slack = 0, mostTimeout // the target may be slow and not deaf
	case t.failures > 0 || !t.looked || len(t.foreign) > 0:
		c.Wait = 0
	case len(t.runs) == 0:
		c.Wait = idleWait
	default:
		c.Wait = t.untilEnd()
	}
	if t.looked && len(t.runs) > 0 {
		c.LeaseUntilMs = t.leaseUntil()
	}
	return c, true
}

// untilEnd is how long a renewal should wait: until the next end is expected.
func (t *Table) untilEnd() time.Duration {
	wait := renewWait
	speed := t.health.speed()
	for _, r := range t.runs {
		if r.state == queued {
			continue
		}
		if r.state == stopping {
			return settleWait
		}
		left := time.Duration(r.order.EstimateMs/speed*float64(time.Millisecond)) - t.now.Sub(r.calledAt)
		wait = min(wait, max(left+endMargin, leastWait))
	}
	return wait.Truncate(time.Millisecond)
}

// callTimeout bounds a start or a stop.
func (t *Table) callTimeout() time.Duration {
	usual := time.Duration(t.answerMs * timeoutFactor * float64(time.Millisecond))
	return min(max(usual, leastTimeout), mostTimeout)
}

// Started takes the answer to a start.
func (t *Table) Started(now time.Time, c StartCall, answer Answer, clockMs int64) {
	t.now = now
	r := t.runs[c.Run]
	if r == nil || c.Life != t.target.Life || r.state == queued {
		return
	}
	t.hearClock(now, clockMs)
	if answer != NoAnswer {
		t.heardAt = now
		t.answerMs += answerWeight * (clock.Millis(now.Sub(r.calledAt)) - t.answerMs)
	}
	if answer == Accepted || answer == NoRoom || answer == LowRun {
		t.granted() // the lease is taken from these as well
	}
	switch answer {
	case Accepted:
		r.everRan = true
		r.startedAt = now
		if r.state == starting {
			r.state = running
		}
	case NoAnswer:
		t.counts.Unanswered++
		if r.everRan {
			return // it is listed: only the answer was lost
		}
		event.Log(t.log, event.StartUnanswered, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
			"target", t.target.Life.Name, "after_ms", clock.Millis(now.Sub(r.calledAt)))
		t.stop(r, wire.NotRunNoAnswer)
	default:
		t.turnedAway(r, answer)
	}
	t.fill()
}

// turnedAway takes an answer that proves that nothing was started.
func (t *Table) turnedAway(r *run, answer Answer) {
	reason := wire.NotRunTurned
	switch answer {
	case LowRun:
		reason = wire.NotRunStale
	case BadToken:
		t.raiseToken()
	case TurnedAway:
		t.health.turnedAway(t.now)
	}
	event.Log(t.log, event.StartTurnedAway, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Life.Name, "answer", int(answer))
	t.counts.NotRun++
	t.settleAs(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: reason})
}

// raiseToken draws a token above every one that an agent before this one can have
// shown: tokens are times of the target's own clock, which an earlier agent drew
// earlier.
func (t *Table) raiseToken() {
	t.token = max(t.token+1, t.clockMs+t.now.Sub(t.clockAt).Milliseconds())
}

// stop begins to stop a run. Where its start was not answered, the stop is what
// fences it off: the target rejects it should it still arrive.
func (t *Table) stop(r *run, reason wire.NotRunReason) {
	if r.state == stopping {
		return
	}
	r.state, r.reason = stopping, reason
	t.callStop(r)
}

func (t *Table) callStop(r *run) {
	r.stopCalled, r.stopCalledAt = true, t.now
	t.o.Target.Stop(StopCall{Life: t.target.Life, Token: t.token, Run: r.id, Timeout: t.callTimeout()})
}

// Stopped takes the answer to a stop.
func (t *Table) Stopped(now time.Time, c StopCall, answer Answer) {
	t.now = now
	if _, mine := t.foreign[c.Run]; mine && answer != Accepted {
		t.foreign[c.Run] = time.Time{} // again with the next tick
	}
	r := t.runs[c.Run]
	if r == nil || c.Life != t.target.Life {
		return
	}
	r.stopCalled = false
	switch answer {
	case Accepted:
		if r.stopConfirmed.IsZero() {
			r.stopConfirmed = now
		}
	case BadToken:
		t.raiseToken()
	}
}

// retryStops repeats stops that were not answered: a run that is not fenced off may
// start seconds later, when its job runs elsewhere.
func (t *Table) retryStops() {
	if !t.known {
		return
	}
	for _, r := range t.runs {
		if r.state == stopping && r.stopConfirmed.IsZero() && (!r.stopCalled || t.now.Sub(r.stopCalledAt) > stopRetry) {
			t.callStop(r)
		}
	}
	for id, at := range t.foreign {
		if t.now.Sub(at) > stopRetry {
			t.foreign[id] = t.now
			t.o.Target.Stop(StopCall{Life: t.target.Life, Token: t.token, Run: id, Timeout: t.callTimeout()})
		}
	}
}

// Renewed takes the answer to a renewal that was called at asked.
func (t *Table) Renewed(now, asked time.Time, c RenewCall, l Listing) {
	t.now = now
	if c.Life != t.target.Life || l.BornMs != 0 && l.BornMs != c.Life.BornMs {
		return
	}
	t.hearClock(now, l.ClockMs)
	if l.BadToken || c.Token == 0 {
		t.raiseToken()
		return // what was listed before this agent's token counts may be changed yet
	}
	if c.LeaseUntilMs > 0 {
		t.granted()
	}
	if !t.reachable {
		event.Log(t.log, event.TargetBack, "target", t.target.Life.Name, "failures", t.failures)
	}
	t.heardAt = now
	t.blind = t.failures > 0
	t.reachable, t.failures = true, 0
	t.takeEnds(l.Ended)
	t.reconcile(asked, l.Running)
	t.fill()
}

func (t *Table) takeEnds(ended []EndedRun) {
	for _, e := range ended {
		if e.Number <= t.cursor {
			continue
		}
		t.cursor = e.Number
		delete(t.foreign, e.Run)
		r := t.runs[e.Run]
		if r == nil || r.state == queued {
			continue
		}
		t.takeEnd(r, e.End)
	}
}

func (t *Table) takeEnd(r *run, end End) {
	if r.startedAt.IsZero() {
		r.startedAt = r.calledAt
	}
	r.everRan = true
	ranMs := clock.Millis(t.now.Sub(r.startedAt))
	switch end {
	case Done:
		t.counts.Done++
		if t.blind {
			ranMs = 0 // it may have ended long ago
		}
		t.health.done(r.order.EstimateMs, ranMs)
		t.settle(r, wire.EndDone)
	case Failed:
		t.counts.Failed++
		t.health.failed()
		t.settle(r, wire.EndFailed)
	default:
		t.counts.Stopped++
		t.settle(r, wire.EndStopped)
	}
}

// reconcile compares what the target says that it runs with what it was told.
func (t *Table) reconcile(asked time.Time, listed []RunID) {
	there := make(map[RunID]bool, len(listed))
	for _, id := range listed {
		there[id] = true
		r := t.runs[id]
		switch {
		case r == nil || r.state == queued:
			t.stopForeign(id)
		case r.state == starting:
			r.state, r.everRan, r.startedAt = running, true, t.now
		default:
			r.everRan = true
		}
	}
	for id := range t.foreign {
		if !there[id] {
			delete(t.foreign, id)
		}
	}
	for id, r := range t.runs {
		if !there[id] {
			t.missing(r, asked)
		}
	}
	t.looked = true
}

// missing settles a run that the target neither runs nor has listed as ended. The
// list is proof only where it was asked for after the target had answered the start
// or the stop.
func (t *Table) missing(r *run, asked time.Time) {
	switch r.state {
	case running:
		if asked.After(r.startedAt) {
			t.end(r)
		}
	case stopping:
		if !r.stopConfirmed.IsZero() && asked.After(r.stopConfirmed) {
			t.end(r)
		}
	}
}

// stopForeign stops a run that this agent did not start: its owner was told that
// the agent before this one is gone.
func (t *Table) stopForeign(id RunID) {
	if _, known := t.foreign[id]; known {
		return
	}
	event.Log(t.log, event.ForeignRun, "job", id.Task.Job, "task", id.Task.Index, "run", id.Number, "target", t.target.Life.Name)
	t.foreign[id] = t.now
	t.o.Target.Stop(StopCall{Life: t.target.Life, Token: t.token, Run: id, Timeout: t.callTimeout()})
}

// RenewFailed takes a renewal that brought no list.
func (t *Table) RenewFailed(now time.Time, c RenewCall, why Unreachable) {
	t.now = now
	if c.Life != t.target.Life {
		return
	}
	t.failures++
	if why == Refused || why == Elsewhere {
		t.endLife("not_there")
	}
	if why == Elsewhere {
		t.known = false // it will announce itself
		return
	}
	if why == Silent && now.Sub(t.heardAt) < deafAfter {
		return // a lost answer or connection says little; the next call follows at once
	}
	if t.reachable {
		event.Log(t.log, event.TargetSilent, "target", t.target.Life.Name, "reason", int(why), "failures", t.failures)
		t.reachable = false
		t.returnQueue(wire.NotRunDown)
		t.loadDirty, t.loadSentAt = true, time.Time{}
	}
}

// lapse settles what ran under a lease that is over: a target that was not reached
// for so long has killed it.
func (t *Table) lapse() {
	if t.reachable || t.leaseEnd.IsZero() || t.now.Before(t.leaseEnd.Add(lapseMargin)) {
		return
	}
	for _, r := range t.runs {
		if r.state != queued && r.everRan {
			t.end(r)
		}
	}
}
