package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/wire"
)

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
	r.stopCalls++
	t.o.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: r.id, Timeout: t.callTimeout()})
}

// Stopped takes the answer to a stop.
func (t *Table) Stopped(now time.Time, c StopCall, answer Answer) {
	t.now = now
	if _, mine := t.foreign[c.Run]; mine && answer != Accepted {
		t.foreign[c.Run] = time.Time{} // again with the next tick
	}
	r := t.runs[c.Run]
	if r == nil || c.Incarnation != t.target.Incarnation {
		return
	}
	r.stopCalled = false
	switch answer {
	case Accepted:
		if r.stopConfirmed.IsZero() {
			r.stopConfirmed = now
		}
	case StaleToken:
		t.raiseToken()
		r.stopCalls = 0 // with the new token at once
	}
}

// retryStops repeats stops that were not answered: a run that is not fenced off may
// start seconds later, when its job runs elsewhere.
func (t *Table) retryStops() {
	if !t.known {
		return
	}
	for _, r := range t.runs {
		if r.state == stopping && r.stopConfirmed.IsZero() && t.stopDue(r) {
			t.callStop(r)
		}
	}
	for id, at := range t.foreign {
		if t.now.Sub(at) > stopRetry {
			t.foreign[id] = t.now
			t.o.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: id, Timeout: t.callTimeout()})
		}
	}
}

// stopDue reports whether a stop that is not confirmed is to be called again. One that failed at
// once is called again at once, and then at stopRetry: a target that resets each connection would
// else be given a new one for each run with every tick until it is back.
func (t *Table) stopDue(r *run) bool {
	if !r.stopCalled && r.stopCalls < 2 {
		return true
	}
	return t.now.Sub(r.stopCalledAt) > stopRetry
}
