package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxTokenStep limits the growth of the fencing token, as a power of two.
const maxTokenStep = 40

// firstToken returns the first token for an incarnation: the time of day in milliseconds, so that it fences what an
// earlier agent has called late for this incarnation or the one before, and nothing has to be stored.
func (t *Table) firstToken() int64 { return max(t.now.UnixMilli(), t.earlierToken+1) }

// raiseToken sets a fencing token above one that the target has refused. An earlier agent has presented a time that
// has passed since, unless the time of day was set back: steps that double pass it within some tens of refusals. A refusal of an older token than the present one says nothing.
func (t *Table) raiseToken(refused int64) {
	if refused < t.token {
		return
	}
	t.token = max(t.token+1<<min(t.tokenRefusals, maxTokenStep), t.now.UnixMilli())
	t.tokenRefusals++
}

// fence raises the token above that of a call without an answer: the first later call that a target accepts,
// of this incarnation or the next one under the name, makes it reject the unanswered one.
func (t *Table) fence(unanswered int64) { t.token = max(t.token, unanswered+1) }

// stop begins to stop a run. If its start was not answered, the stop fences the run off: the
// target rejects the start if it still arrives.
func (t *Table) stop(r *run, reason wire.NotRunReason) {
	if r.state == stopping {
		return
	}
	r.state, r.notRunReason = stopping, reason
	t.callStop(r)
}

// stopOn begins to stop a run, on whichever target it is.
func (t *Table) stopOn(r *run, reason wire.NotRunReason) {
	defer t.on(r.on)()
	t.stop(r, reason)
}

func (t *Table) callStop(r *run) {
	r.stopInFlight, r.stopCalledAt = true, t.now
	if r.stopAttempts++; r.stopAttempts > 1 {
		t.counts.StopsRepeated++
	}
	t.options.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: r.id, Timeout: t.callTimeout()})
}

// Stopped handles the answer to a stop.
func (t *Table) Stopped(now time.Time, c StopCall, answer Answer) {
	t.now = now
	s := t.targetNamed(c.Incarnation.Name)
	if s == nil {
		return
	}
	defer t.on(s)()
	if t.foreignRuns.Has(c.Run) && answer != Accepted {
		t.foreignRuns.Set(c.Run, time.Time{}) // retry at the next Tick
	}
	if c.Incarnation != t.target.Incarnation {
		return
	}
	if answer == StaleToken {
		t.raiseToken(c.Token)
	}
	r := t.run(c.Run)
	if r == nil {
		return
	}
	r.stopInFlight = false
	switch answer {
	case Accepted:
		if r.stopConfirmedAt.IsZero() {
			r.stopConfirmedAt = now
		}
	case StaleToken:
		r.stopAttempts = 0 // retry at once with the new token
	}
}

// retryStops repeats stops that are not confirmed: a run that is not fenced off may start seconds
// later, when its job runs elsewhere.
func (t *Table) retryStops() {
	if !t.targetKnown {
		return
	}
	for r := range t.runs.Values() {
		if r.state == stopping && r.stopConfirmedAt.IsZero() && t.stopDue(r) {
			t.callStop(r)
		}
	}
	for id, calledAt := range t.foreignRuns.AllFromFront() {
		if t.now.Sub(calledAt) > stopRetryInterval {
			t.foreignRuns.Set(id, t.now)
			t.options.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: id, Timeout: t.callTimeout()})
		}
	}
}

// stopDue reports whether an unconfirmed stop is to be called again. A first call that fails is
// repeated at once, later ones at stopRetryInterval: otherwise a target that resets each
// connection would get a new one for each run at every Tick until it is back.
func (t *Table) stopDue(r *run) bool {
	if !r.stopInFlight && r.stopAttempts < 2 {
		return true
	}
	return t.now.Sub(r.stopCalledAt) > stopRetryInterval
}
