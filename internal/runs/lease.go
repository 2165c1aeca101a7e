package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
)

// A stop may be lost, and then only the end of the lease stops a run. The lease is therefore
// requested only up to the time by which every run in progress must have ended, and a run starts
// only if the lease in force ends by that time.

// wantedAt returns the time up to which the entry of a session is known to have wanted its runs.
func (t *Table) wantedAt(s *session) time.Time {
	if s.wantedAsOf != t.now {
		s.wantedAt, s.wantedAsOf = t.options.Outbox.WantedAt(s.conn, t.now), t.now
	}
	return s.wantedAt
}

// abandon records that the entry of an order no longer wants it. What arrives on its session from now
// on proves nothing about the order.
func (t *Table) abandon(r *run) {
	if r.wantedAt.IsZero() && r.session != nil {
		r.wantedAt = t.wantedAt(r.session)
	}
}

// endBy returns the time by which the lease of a run must end: then its caller may have sent the job
// again.
func (t *Table) endBy(r *run) time.Time {
	wantedAt := r.wantedAt
	if wantedAt.IsZero() && r.session != nil {
		wantedAt = t.wantedAt(r.session)
	}
	if r.callerLeavesAt.Before(wantedAt) {
		wantedAt = r.callerLeavesAt
	}
	return wantedAt.Add(t.options.Lease.RunLimit)
}

// earliestEndBy returns the run in progress that must end first, and when; nil: nothing runs.
func (t *Table) earliestEndBy() (first *run, by time.Time) {
	for r := range t.runs.Values() {
		if r.state == queued {
			continue
		}
		if end := t.endBy(r); first == nil || end.Before(by) {
			first, by = r, end
		}
	}
	return first, by
}

// leaseAllows reports whether an order may start with regard to the lease, and counts those that
// have to wait.
func (t *Table) leaseAllows(r *run) bool {
	_, othersBy := t.earliestEndBy()
	if t.lease.MayStart(t.now, t.endBy(r), othersBy) {
		return true
	}
	if !r.startDelayed {
		r.startDelayed = true
		t.counts.StartsDelayed++
	}
	return false
}

// requestLease returns the end of the lease to request now, on the target's clock; 0: none.
func (t *Table) requestLease() int64 {
	_, by := t.earliestEndBy()
	return t.lease.Request(t.now, by)
}

// extendLease returns the end of the lease to request with a renewal; 0: don't extend it. Nothing is
// extended while the target runs something that an earlier agent started, whose owner is gone, or while
// it is unreachable, because entries then give up the jobs that it runs.
func (t *Table) extendLease() int64 {
	first, by := t.earliestEndBy()
	if !t.listed || !t.reachable || first == nil || t.foreignRuns.Len() > 0 {
		t.leaseWithheld = false
		return 0
	}
	t.logWithheld(first, by.Sub(t.now) < lease.MinStart)
	return t.lease.Request(t.now, by)
}

// logWithheld logs when a run that must end keeps the lease from being extended.
func (t *Table) logWithheld(r *run, withheld bool) {
	if withheld && !t.leaseWithheld {
		t.counts.LeasesWithheld++
		event.Log(t.log, event.LeaseWithheld, "target", t.target.Incarnation.Name, "job", r.id.Task.Job, "task", r.id.Task.Index, "run", r.id.Number,
			"state", r.state.String(), "stop_attempts", r.stopAttempts, "wanted_ms_ago", clock.Millis(t.now.Sub(t.endBy(r).Add(-t.options.Lease.RunLimit))))
	}
	t.leaseWithheld = withheld
}

// noteOutlived logs a run that may have gone on until its caller may have sent the job again: neither its
// settlement nor the end of the lease shows that it was over before.
func (t *Table) noteOutlived(r *run) {
	over := t.now
	if leaseOver := t.lease.End().Add(lease.StopTime); !t.lease.End().IsZero() && leaseOver.Before(over) {
		over = leaseOver
	}
	late := over.Sub(t.endBy(r))
	if r.state == queued || late <= lease.StopTime {
		return
	}
	t.counts.Outlived++
	event.Log(t.log, event.RunOutlived, "job", r.id.Task.Job, "step", r.id.Task.Step, "task", r.id.Task.Index, "run", r.id.Number,
		"target", t.target.Incarnation.Name, "state", r.state.String(), "stop_attempts", r.stopAttempts,
		"wanted_ms_ago", clock.Millis(late+t.options.Lease.RunLimit), "session_open", r.session != nil)
}
