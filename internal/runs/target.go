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
	// stopRetry is how long a stop may go unanswered before it is sent again: as long as
	// its call may take at the most.
	stopRetry = 100 * time.Millisecond
	// renewWait is the longest time that a renewal waits for an end while tasks run. What
	// starts after the call is not reckoned with in its wait, so one lost answer leaves the
	// agent blind for that long, and a sound target looks like one that stands still.
	renewWait = 100 * time.Millisecond
	// endMargin is how long after the next expected end a renewal waits at most, and
	// leastWait the shortest wait. A renewal whose answer is lost leaves the agent
	// blind until it is given up, and short tasks seem to take as long.
	endMargin = 20 * time.Millisecond
	leastWait = 25 * time.Millisecond
	// A start or a stop is given up after timeoutFactor times the mean time to an
	// answer, between leastTimeout and mostTimeout. A target on the same host nearly
	// always answers within some milliseconds; a start that was not answered is fenced
	// off, and the earlier it is, the more often its task is still in time elsewhere. A
	// slow host takes longer for every call.
	usualAnswerMs = 2.5
	timeoutFactor = 9
	leastTimeout  = 20 * time.Millisecond
	mostTimeout   = 100 * time.Millisecond
	answerWeight  = 0.05
	// mostRepeats is how often a start without an answer is called again. Where one
	// answer in five is lost, three calls leave one start in a hundred in doubt. A target
	// that has stopped answering costs two time-outs more before the start is fenced off,
	// and no task can go elsewhere before that target has answered the stop.
	mostRepeats = 2
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

// NextRenewal returns the next call that renews the lease, and false while no target is
// known.
func (t *Table) NextRenewal(now time.Time) (RenewCall, bool) {
	t.now = now
	if !t.known {
		return RenewCall{}, false
	}
	c := RenewCall{Incarnation: t.target.Incarnation, Token: t.token, AckCursor: t.cursor, Wait: renewWait, ReplyTimeout: t.callTimeout()}
	switch {
	case t.failures > 1:
		c.Wait, c.ReplyTimeout = 0, mostTimeout // the target may be slow and not deaf
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
		left := clock.FromMillis(r.order.EstimateMs/speed) - t.now.Sub(r.calledAt)
		wait = min(wait, max(left+endMargin, leastWait))
	}
	return wait.Truncate(time.Millisecond)
}

// callTimeout bounds a start or a stop.
func (t *Table) callTimeout() time.Duration {
	usual := clock.FromMillis(t.answerMs * timeoutFactor)
	return min(max(usual, leastTimeout), mostTimeout)
}

// Started takes the answer to a start.
func (t *Table) Started(now time.Time, c StartCall, answer Answer, clockMs int64) {
	t.now = now
	r := t.runs[c.Run]
	if r == nil || c.Incarnation != t.target.Incarnation || r.state == queued {
		return
	}
	t.hearClock(now, clockMs)
	if answer != NoAnswer {
		t.heardAt = now
		t.answerMs += answerWeight * (clock.Millis(now.Sub(r.calledAt)) - t.answerMs)
	}
	if answer == Accepted || answer == NoCapacity || answer == StaleRun {
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
		t.unanswered(r)
	default:
		t.turnedAway(r, answer)
	}
	t.fill()
}

// unanswered takes a start without an answer. It may have been carried out, so it is
// called again: the target starts a run once, whatever number of calls reach it, and
// then the task goes on. Stopped in its place and started elsewhere, the tasks of a target
// that loses answers were done twice and were late.
func (t *Table) unanswered(r *run) {
	t.counts.Unanswered++
	if r.everRan || r.state != starting {
		return // it is listed, and only the answer was lost; or it is being stopped
	}
	event.Log(t.log, event.StartUnanswered, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Incarnation.Name, "after_ms", clock.Millis(t.now.Sub(r.calledAt)), "repeats", r.repeats)
	if t.Evacuated() {
		t.stop(r, wire.NotRunEvacuated)
		return
	}
	if r.repeats >= mostRepeats || !t.inUse.Fits(t.target.Capacity) {
		t.stop(r, wire.NotRunNoAnswer)
		return
	}
	r.repeats++
	t.callStart(r)
}

// turnedAway takes an answer that proves that this call has started nothing.
func (t *Table) turnedAway(r *run, answer Answer) {
	reason := wire.NotRunTurned
	switch answer {
	case StaleRun:
		reason = wire.NotRunStale
	case StaleToken:
		t.raiseToken()
	case Rejected:
		t.health.turnedAway(t.now)
	}
	if r.repeats > 0 {
		t.repeatTurnedAway(r, answer)
		return
	}
	event.Log(t.log, event.StartTurnedAway, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Incarnation.Name, "answer", int(answer))
	t.counts.NotRun++
	t.settleAs(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: reason})
}

// repeatTurnedAway takes the same answer to a repeated start. It says nothing of the call
// before, which may have been carried out, or may still be.
func (t *Table) repeatTurnedAway(r *run, answer Answer) {
	switch answer {
	case StaleRun:
		// It has run and ended, and the next list tells how.
		r.everRan, r.startedAt = true, t.now
		if r.state == starting {
			r.state = running
		}
	case OtherIncarnation:
		t.end(r)
	default:
		t.stop(r, wire.NotRunNoAnswer)
	}
}
