package attempt

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// abortGrace is how long a call may continue after its deadline, by which the owner has
// answered its caller. Without a limit, the calls of a target that hangs would occupy
// its slots forever once the owner that could cancel them has died, and the target would
// seem full. The grace leaves time for a response that is just arriving.
const abortGrace = time.Second

// runner assigns the target's slots to attempts and frees them when calls end.
type runner struct {
	*tableState
	reporter  reporter
	retention retention
	granter   granter
}

// capacityReason returns ReasonTargetUnavailable if no slot is free or the demand exceeds
// the worker's free resources, else ReasonNone.
func (r runner) capacityReason(d job.Demand) wire.Reason {
	if r.runningCount >= r.target.Slots {
		return wire.ReasonTargetUnavailable // the target announced fewer slots after the grant
	}
	if !d.Fits(r.target.Capacity.Sub(r.resourcesInUse)) {
		return wire.ReasonTargetUnavailable
	}
	return wire.ReasonNone
}

// accept records an accepted start and begins it; under Push, it queues it.
func (r runner) accept(o *owner, s *wire.Start) {
	a := &attempt{state: wire.Waiting, demand: s.Demand, deadline: time.UnixMilli(s.DeadlineMs), start: s}
	o.attempts[s.Seq] = a
	k := Key{o.incarnation, s.Seq}
	if r.policy == Push {
		r.startQueue = append(r.startQueue, k)
		r.startQueued()
		return
	}
	r.begin(k, a)
}

// begin occupies a slot and calls the target. a must be waiting.
func (r runner) begin(k Key, a *attempt) {
	_, already := r.runningAttempts[k]
	invariant.Check(!already && a.state == wire.Waiting, r.log, "an attempt begins once", &r.history)
	invariant.Check(r.runningCount < r.target.Slots, r.log, "a target's slots are never exceeded", &r.history)
	s := *a.start
	a.state, a.start = wire.Running, nil
	r.runningCount++
	r.resourcesInUse = r.resourcesInUse.Add(a.demand)
	r.runningAttempts[k] = a
	r.history.add(r.now, opBegin, k, r.runningCount)
	if log, enabled := r.decisionLog(); enabled {
		event.Log(log, event.TaskBegun,
			"owner", k.Owner.String(), "attempt", k.Seq, "job", s.Job, "task", s.Task, "running", r.runningCount, "slots", r.target.Slots)
	}
	r.out.Run(k, s)
}

// startQueued begins waiting attempts in FIFO order while slots are free. It rejects
// those that are past their deadline or don't fit.
func (r runner) startQueued() {
	for len(r.startQueue) > 0 && r.runningCount < r.target.Slots && r.acceptsWork() {
		k := r.startQueue[0]
		r.startQueue = r.startQueue[1:]
		o := r.owners[k.Owner]
		if o == nil || o.attempts[k.Seq] == nil || o.attempts[k.Seq].state != wire.Waiting {
			continue // rejected or forgotten since it was queued
		}
		a := o.attempts[k.Seq]
		switch reason := r.capacityReason(a.demand); {
		case !a.deadline.After(r.now):
			r.markNotRun(o, k.Seq, a, wire.ReasonDeadlinePast)
		case reason != wire.ReasonNone:
			r.markNotRun(o, k.Seq, a, reason)
		default:
			r.begin(k, a)
		}
	}
}

// markNotRun ends a waiting attempt, which will never begin, and queues its report.
func (r runner) markNotRun(o *owner, seq uint64, a *attempt, reason wire.Reason) {
	a.state, a.reason, a.start = wire.NotRun, reason, nil
	o.unackedReports++
	r.history.add(r.now, opRefuse, Key{o.incarnation, seq}, int(reason))
	r.reporter.queueReport(o, seq, a)
}

// completeCall frees the slot of a call that has ended and reports its outcome.
func (r runner) completeCall(k Key, out Outcome) {
	a, running := r.runningAttempts[k]
	invariant.Check(running && a.state == wire.Running, r.log, "a call ends once", &r.history)
	if !running {
		return
	}
	delete(r.runningAttempts, k)
	r.runningCount--
	r.granter.releaseSlot()
	r.tableState.finishedCalls++
	r.resourcesInUse = r.resourcesInUse.Sub(a.demand)
	invariant.Check(r.runningCount >= 0 && out.State.Final(), r.log, "a call ends in a final state", &r.history)
	a.state, a.reason = out.State, out.Reason
	a.result, a.detail, a.runMs = out.Result, out.Detail, out.RunMs
	if a.cancelled && a.state == wire.NotRun {
		a.reason = wire.ReasonCancelled
	}
	r.history.add(r.now, opFinish, k, int(a.state))
	r.deliverReport(r.owners[k.Owner], k.Seq, a)
	r.startQueued()
}

// deliverReport queues the report of a finished attempt, or retains it while the owner
// is disconnected. An attempt that needs no report is dropped.
func (r runner) deliverReport(o *owner, seq uint64, a *attempt) {
	if a.discardReport || o.conn == 0 && seq <= o.forgottenThrough {
		delete(o.attempts, seq)
		return
	}
	o.unackedReports++
	o.unackedBytes += a.reportBytes()
	r.reporter.queueReport(o, seq, a)
	if o.conn == 0 {
		r.retention.enforceRetainedBytes()
	}
}

// targetChanged re-evaluates the waiting attempts after a change of the target.
func (r runner) targetChanged() {
	if !r.leavingSince.IsZero() {
		r.rejectQueued(wire.ReasonLeaving)
	}
	r.startQueued()
}

func (r runner) rejectQueued(reason wire.Reason) {
	queue := r.startQueue
	r.startQueue = nil
	for _, k := range queue {
		o := r.owners[k.Owner]
		if o == nil || o.attempts[k.Seq] == nil || o.attempts[k.Seq].state != wire.Waiting {
			continue
		}
		r.markNotRun(o, k.Seq, o.attempts[k.Seq], reason)
	}
}

// abortOverdue rejects expired starts and aborts calls that exceed their deadline by
// more than abortGrace.
func (r runner) abortOverdue() {
	r.rejectExpired()
	for k, a := range r.runningAttempts {
		if !a.cancelled && r.now.Sub(a.deadline) > abortGrace {
			a.cancelled = true
			r.out.Abort(k)
		}
	}
}

// rejectExpired rejects waiting attempts whose deadline has passed, so that they don't
// stay in the queue of a target that makes no progress.
func (r runner) rejectExpired() {
	for _, k := range r.startQueue {
		o := r.owners[k.Owner]
		if o == nil || o.attempts[k.Seq] == nil {
			continue
		}
		if a := o.attempts[k.Seq]; a.state == wire.Waiting && !a.deadline.After(r.now) {
			r.markNotRun(o, k.Seq, a, wire.ReasonDeadlinePast)
		}
	}
}
