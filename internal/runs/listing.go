package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Renewed takes the answer to a renewal that was called at asked.
func (t *Table) Renewed(now, asked time.Time, c RenewCall, l Listing) {
	t.now = now
	if c.Incarnation != t.target.Incarnation || l.StartedMs != 0 && l.StartedMs != c.Incarnation.StartedMs {
		return
	}
	t.hearClock(now, l.ClockMs)
	if l.StaleToken || c.Token == 0 {
		t.raiseToken()
		return // what was listed before this agent's token counts may be changed yet
	}
	if c.LeaseUntilMs > 0 {
		t.granted()
	}
	if !t.reachable {
		event.Log(t.log, event.TargetBack, "target", t.target.Incarnation.Name, "failures", t.failures)
		t.reportBack()
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
		if e.Seq <= t.cursor {
			continue
		}
		t.cursor = e.Seq
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
		if t.blind || r.repeats > 0 {
			ranMs = 0 // it may have ended long ago, or begun before the call that was answered
		}
		t.health.done(r.order.EstimateMs, ranMs)
		t.settle(r, wire.EndDone)
	case Failed:
		t.counts.Failed++
		t.health.failed()
		t.settle(r, wire.EndFailed)
	default:
		t.counts.Stopped++
		if t.hung(r) {
			t.health.done(r.order.EstimateMs, ranMs)
		}
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
	event.Log(t.log, event.ForeignRun, "job", id.Task.Job, "task", id.Task.Index, "run", id.Number, "target", t.target.Incarnation.Name)
	t.foreign[id] = t.now
	t.o.Target.Stop(StopCall{Incarnation: t.target.Incarnation, Token: t.token, Run: id, Timeout: t.callTimeout()})
}

// RenewFailed takes a renewal that brought no list.
func (t *Table) RenewFailed(now time.Time, c RenewCall, why RenewFailure) {
	t.now = now
	if c.Incarnation != t.target.Incarnation {
		return
	}
	t.failures++
	if why == Refused || why == Replaced {
		t.endLife("not_there")
	}
	if why == Replaced {
		t.known = false // it will announce itself
		return
	}
	if why != Refused && now.Sub(t.heardAt) < deafAfter {
		return // one lost or refused call says little; the next follows at once
	}
	if t.reachable {
		event.Log(t.log, event.TargetSilent, "target", t.target.Incarnation.Name, "reason", int(why), "failures", t.failures)
		t.reachable = false
		t.reportSilent()
		t.returnQueue(wire.NotRunDown)
		t.urgent()
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
