package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// stopRetryInterval is how long a stop may stay unanswered before it is sent again: the
	// longest time-out of its call.
	stopRetryInterval = 100 * time.Millisecond
	// maxRenewWait is the longest time that a renewal waits for an end while tasks run. The wait
	// doesn't account for runs that start after the call, so after one lost answer the agent sees
	// no ends for that long, and a healthy target looks stalled.
	maxRenewWait = 100 * time.Millisecond
	// A renewal waits at most until expectedEndMargin after the next expected end, and at least
	// minRenewWait. If its answer is lost, the agent sees no ends until the call times out, and
	// short tasks seem to take that long.
	expectedEndMargin = 20 * time.Millisecond
	minRenewWait      = 25 * time.Millisecond
	// A start or a stop times out after timeoutFactor times the mean time to an answer, within
	// minCallTimeout and maxCallTimeout. A target on the same host nearly always answers within a
	// few milliseconds; an unanswered start is fenced off, and the earlier that happens, the more
	// often its task is still in time elsewhere. The mean is measured because a slow host
	// takes longer for every call.
	initialAnswerMs  = 2.5
	timeoutFactor    = 9
	minCallTimeout   = 20 * time.Millisecond
	maxCallTimeout   = 100 * time.Millisecond
	answerMeanWeight = 0.05
	// minStartRetries is how often an unanswered start is repeated although its task can't be in time any
	// more. Where one answer in five is lost, three calls leave one start in a hundred in doubt. A target
	// that has stopped answering costs two more time-outs before the start is fenced off, and its task can't
	// go elsewhere before that target has answered the stop.
	minStartRetries = 2
	// unreachableAfter is how long a target may leave calls unanswered before it counts as
	// unreachable. Where one answer in twenty is lost, two consecutive renewals fail every second
	// somewhere in a fleet; if that were enough, the jobs of a healthy target would be given up
	// each time.
	unreachableAfter = 250 * time.Millisecond
	// stoppingRenewWait is the wait of a renewal while a run is being stopped: its task can't go
	// elsewhere before its end is listed.
	stoppingRenewWait = 2 * time.Millisecond
	// idleRenewWait is the wait of a renewal while nothing runs and no lease has to be renewed. A run
	// that starts meanwhile has no other renewal, so it is well below lease.MinStart.
	idleRenewWait = 150 * time.Millisecond
	// renewRetryDelay is the delay after the first failed renewal: possibly only the answer was lost, and a
	// lease lasts a second. repeatedRenewRetryDelay is the delay after each further failure: an absent target
	// must not be called continuously.
	renewRetryDelay         = 2 * time.Millisecond
	repeatedRenewRetryDelay = 50 * time.Millisecond
	// fencingRetryDelay applies instead while no process listens at the address and an unanswered start may
	// still be carried out: the next incarnation rejects it only once it has accepted a later call.
	fencingRetryDelay = 5 * time.Millisecond
)

// NextRenewal returns the next call that renews the lease of the target that gets new runs, and false while
// none is known.
func (t *Table) NextRenewal(now time.Time) (RenewCall, bool) {
	t.now = now
	if !t.targetKnown {
		return RenewCall{}, false
	}
	return t.nextRenewal(), true
}

func (t *Table) nextRenewal() RenewCall {
	t.renewalOpen, t.renewalCalledAt = true, t.now
	c := RenewCall{Incarnation: t.target.Incarnation, Token: t.token, AckCursor: t.endCursor, Wait: maxRenewWait, ReplyTimeout: t.callTimeout(), RetryDelay: t.renewalRetryDelay()}
	switch {
	case t.failures > 1:
		c.Wait, c.ReplyTimeout = 0, maxCallTimeout // the target may be slow rather than unreachable
	case t.incomplete:
		c.Wait = minRenewWait
	case t.failures > 0 || !t.listed || t.foreignRuns.Len() > 0:
		c.Wait = 0
	case t.runs.Len() == 0:
		c.Wait = idleRenewWait
	default:
		c.Wait = t.renewalWait()
	}
	c.LeaseUntilMs = t.extendLease()
	return c
}

// renewalRetryDelay returns how long to wait before the next renewal if the one that is made now fails.
func (t *Table) renewalRetryDelay() time.Duration {
	switch {
	case t.failures == 0:
		return renewRetryDelay
	case t.refused && t.now.Sub(t.unansweredStartAt) < maxStartDelay:
		return fencingRetryDelay
	}
	return repeatedRenewRetryDelay
}

// renewalWait returns how long a renewal should wait for an end: until the next one is expected.
func (t *Table) renewalWait() time.Duration {
	wait := maxRenewWait
	speed := t.health.speed()
	for r := range t.runs.Values() {
		if r.state == queued {
			continue
		}
		if r.state == stopping {
			return stoppingRenewWait
		}
		remaining := clock.FromMillis(r.order.EstimateMs/speed) - t.now.Sub(r.startCalledAt)
		wait = min(wait, max(remaining+expectedEndMargin, minRenewWait))
	}
	return wait.Truncate(time.Millisecond)
}

// callTimeout returns the time-out of a start or a stop.
func (t *Table) callTimeout() time.Duration {
	timeout := clock.FromMillis(t.meanAnswerMs * timeoutFactor)
	return min(max(timeout, minCallTimeout), maxCallTimeout)
}

// Started handles the answer to a start; clockMs is a reading of the target's clock, or 0.
func (t *Table) Started(now time.Time, c StartCall, answer Answer, clockMs int64) {
	t.now = now
	s := t.targetNamed(c.Incarnation.Name)
	if s == nil {
		return
	}
	t.startAnswered(s, c, answer, clockMs)
	t.startQueued()
}

func (t *Table) startAnswered(s *targetState, c StartCall, answer Answer, clockMs int64) {
	defer t.on(s)()
	now := t.now
	if answer == NoAnswer {
		t.unansweredAt, t.unansweredStartAt = now, now
		t.fence(c.Token)
	}
	r := t.run(c.Run)
	switch {
	case r == nil || r.state == queued:
		return
	case r.carried:
		r.startInFlight = false
		t.startedEarlier(r, answer)
		return
	}
	r.startInFlight = false
	sameIncarnation := answer != OtherIncarnation && t.sameIncarnation(r, clockMs)
	if sameIncarnation {
		t.lease.Clock.Set(now, clockMs)
	} else if answer == Accepted && clockMs > 0 {
		t.lease.GrantedByOtherClock(now)
	}
	if answer != NoAnswer {
		r.startsOpen = max(0, r.startsOpen-1)
	}
	if answer != NoAnswer && answer != NotDelivered {
		t.lastAnswerAt = now
		t.meanAnswerMs += answerMeanWeight * (clock.Millis(now.Sub(r.startCalledAt)) - t.meanAnswerMs)
	}
	switch answer {
	case Accepted:
		r.everRan, r.seen = true, r.seen || sameIncarnation
		r.startedAt = now
		if r.state == starting {
			r.state = running
		}
	case NoAnswer:
		t.startUnanswered(r)
	default:
		t.startRejected(r, c.Token, answer)
	}
}

// clockTolerance is how far below its estimate a reading of the target's clock may be.
const clockTolerance = 20 * time.Millisecond

// sameIncarnation reports whether the answer to a start with this reading of the target's clock is from the
// incarnation that the call was meant for. The clock of the next one starts anew.
func (t *Table) sameIncarnation(r *run, clockMs int64) bool {
	return clockMs >= t.lease.Clock.Ms(r.startCalledAt)-clockTolerance.Milliseconds()
}

// startUnanswered handles a start without an answer. It may have been carried out, so it is
// repeated: the target starts a run once, however many calls reach it, and the task then runs on.
// When such runs were stopped and their tasks started elsewhere instead, tasks of a target that
// loses answers were executed twice and late.
func (t *Table) startUnanswered(r *run) {
	t.counts.Unanswered++
	if r.everRan || r.state != starting {
		return // the run was listed and only the answer was lost, or it is being stopped
	}
	event.Log(t.log, event.StartUnanswered, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Incarnation.Name, "after_ms", clock.Millis(t.now.Sub(r.startCalledAt)), "repeats", r.startRetries)
	if t.Evacuated() {
		t.stop(r, wire.NotRunEvacuated)
		return
	}
	if t.superseded || !t.worthRepeating(r) || !t.inUse.Fits(t.target.Capacity) {
		t.stop(r, wire.NotRunNoAnswer)
		return
	}
	r.startRetries++
	t.callStart(r)
}

// worthRepeating reports whether a start without an answer is repeated rather than fenced off and reported as not
// run. Its calls are fenced off in this incarnation only: the next one may carry them out in its first
// milliseconds, beside a run of the task elsewhere. A repetition needs no report.
func (t *Table) worthRepeating(r *run) bool {
	return r.startRetries < minStartRetries || t.now.Before(r.queueDeadline)
}

// startRejected handles an answer that proves that this call has started nothing.
func (t *Table) startRejected(r *run, token int64, answer Answer) {
	reason := wire.NotRunRejected
	if answer == StaleToken && token < t.token && r.state == starting && !t.superseded && !t.Evacuated() {
		t.callStart(r) // it was fenced off by a later call of this agent
		return
	}
	switch answer {
	case StaleRun:
		reason = wire.NotRunStale
	case NotDelivered:
		reason = wire.NotRunDown
	case StaleToken:
		t.raiseToken(token)
	case Rejected:
		t.health.recordRejection(t.now)
	}
	if r.startRetries > 0 {
		t.startRetryRejected(r, answer)
		return
	}
	event.Log(t.log, event.StartTurnedAway, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Incarnation.Name, "answer", int(answer))
	t.counts.NotRun++
	t.settleWith(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: reason})
}

// startRetryRejected handles such an answer to a repeated start. It proves nothing about the
// earlier call, which may have been carried out, or may still be.
func (t *Table) startRetryRejected(r *run, answer Answer) {
	switch answer {
	case StaleRun:
		// The run has ended, and the next listing says how.
		r.everRan, r.startedAt = true, t.now
		if r.state == starting {
			r.state = running
		}
	default:
		t.stop(r, wire.NotRunNoAnswer)
	}
}
