package attempt

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/invariant"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// abortAfterDeadline is how long past its deadline a call may go on. The owner
// has answered its caller by then. Without the limit a target that hangs would
// hold its slots for good when the owner that could cancel has died: the target
// would look full for ever. It is long enough for an answer that is just coming.
const abortAfterDeadline = time.Second

// runner fills the target's slots and empties them.
type runner struct {
	*board
	reporter reporter
	keeper   keeper
	granter  granter
}

// unfit returns why a task of this demand can't begin now, or ReasonNone.
func (r runner) unfit(d job.Demand) wire.Reason {
	if r.running >= r.target.Slots {
		return wire.ReasonTargetUnavailable // the target has announced fewer slots since the grant
	}
	if !d.Fits(r.target.Capacity.Sub(r.inUse)) {
		return wire.ReasonTargetUnavailable
	}
	return wire.ReasonNone
}

// accept takes a start that was not refused.
func (r runner) accept(o *owner, s *wire.Start) {
	a := &attempt{state: wire.Waiting, demand: s.Demand, deadline: time.UnixMilli(s.DeadlineMs), start: s}
	o.attempts[s.Seq] = a
	k := Key{o.incarnation, s.Seq}
	if r.policy == Push {
		r.queue = append(r.queue, k)
		r.fill()
		return
	}
	r.begin(k, a)
}

func (r runner) begin(k Key, a *attempt) {
	_, already := r.runningBy[k]
	invariant.Check(!already && a.state == wire.Waiting, r.log, "an attempt begins once", &r.history)
	invariant.Check(r.running < r.target.Slots, r.log, "a target's slots are never exceeded", &r.history)
	s := *a.start
	a.state, a.start = wire.Running, nil
	r.running++
	r.inUse = r.inUse.Add(a.demand)
	r.runningBy[k] = a
	r.history.add(r.now, stepBegin, k, r.running)
	if log, wanted := r.decisions(); wanted {
		event.Log(log, event.TaskBegun,
			"owner", k.Owner.String(), "attempt", k.Seq, "job", s.Job, "task", s.Task, "running", r.running, "slots", r.target.Slots)
	}
	r.out.Run(k, s)
}

// fill begins waiting attempts in the order in which they came.
func (r runner) fill() {
	for len(r.queue) > 0 && r.running < r.target.Slots && r.takesWork() {
		k := r.queue[0]
		r.queue = r.queue[1:]
		o := r.owners[k.Owner]
		if o == nil || o.attempts[k.Seq] == nil || o.attempts[k.Seq].state != wire.Waiting {
			continue // cancelled meanwhile
		}
		a := o.attempts[k.Seq]
		switch reason := r.unfit(a.demand); {
		case !a.deadline.After(r.now):
			r.drop(o, k.Seq, a, wire.ReasonDeadlinePast)
		case reason != wire.ReasonNone:
			r.drop(o, k.Seq, a, reason)
		default:
			r.begin(k, a)
		}
	}
}

// drop ends a waiting attempt, which then never begins.
func (r runner) drop(o *owner, seq uint64, a *attempt, reason wire.Reason) {
	a.state, a.reason, a.start = wire.NotRun, reason, nil
	o.unacked++
	r.history.add(r.now, stepRefuse, Key{o.incarnation, seq}, int(reason))
	r.reporter.report(o, seq, a)
}

func (r runner) finished(k Key, out Outcome) {
	a, running := r.runningBy[k]
	invariant.Check(running && a.state == wire.Running, r.log, "a call ends once", &r.history)
	if !running {
		return
	}
	delete(r.runningBy, k)
	r.running--
	r.granter.free()
	r.board.finished++
	r.inUse = r.inUse.Sub(a.demand)
	invariant.Check(r.running >= 0 && out.State.Final(), r.log, "a call ends in a final state", &r.history)
	a.state, a.reason = out.State, out.Reason
	a.result, a.detail, a.runMs = out.Result, out.Detail, out.RunMs
	if a.cancelled && a.state == wire.NotRun {
		a.reason = wire.ReasonCancelled
	}
	r.history.add(r.now, stepFinish, k, int(a.state))
	r.hand(r.owners[k.Owner], k.Seq, a)
	r.fill()
}

// hand gives a finished attempt's report to its owner or keeps it for later.
func (r runner) hand(o *owner, seq uint64, a *attempt) {
	if a.forget || o.conn == 0 && seq <= o.forgotten {
		delete(o.attempts, seq)
		return
	}
	o.unacked++
	o.bytes += a.bytes()
	r.reporter.report(o, seq, a)
	if o.conn == 0 {
		r.keeper.trim()
	}
}

// targetChanged looks at the waiting attempts again.
func (r runner) targetChanged() {
	if !r.leavingSince.IsZero() {
		r.dropQueue(wire.ReasonLeaving)
	}
	r.fill()
}

func (r runner) dropQueue(reason wire.Reason) {
	queue := r.queue
	r.queue = nil
	for _, k := range queue {
		o := r.owners[k.Owner]
		if o == nil || o.attempts[k.Seq] == nil || o.attempts[k.Seq].state != wire.Waiting {
			continue
		}
		r.drop(o, k.Seq, o.attempts[k.Seq], reason)
	}
}

// expire aborts calls long past their deadline.
func (r runner) expire() {
	r.dropLate()
	for k, a := range r.runningBy {
		if !a.cancelled && r.now.Sub(a.deadline) > abortAfterDeadline {
			a.cancelled = true
			r.out.Abort(k)
		}
	}
}

// dropLate refuses waiting attempts whose deadline is past, so that the queue of
// a target that stands still does not keep them.
func (r runner) dropLate() {
	for _, k := range r.queue {
		o := r.owners[k.Owner]
		if o == nil || o.attempts[k.Seq] == nil {
			continue
		}
		if a := o.attempts[k.Seq]; a.state == wire.Waiting && !a.deadline.After(r.now) {
			r.drop(o, k.Seq, a, wire.ReasonDeadlinePast)
		}
	}
}
