package attempt

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// leavingGrace is how long a start that crossed the recall on its way is still
	// taken. Refusing it at once would waste a message that the owner sent in good
	// faith; taking it for much longer would let an owner that was paused with
	// credits give new work to a target that is about to end.
	leavingGrace = time.Second
	// maxRemembered caps the attempts of one owner that are not settled. One start
	// that hangs keeps all later numbers from being settled, so this is far above
	// the tasks in flight at a target: an hour of 8 slots at 250 ms.
	maxRemembered = 1 << 17
	// maxWaiting caps the queue of the push policy, so that a flood of starts
	// costs a refusal and not the agent's memory.
	maxWaiting = 1 << 14
)

// intake decides on each start: run it, let it wait, or refuse it for good.
type intake struct {
	*board
	reporter reporter
	runner   runner
	granter  granter
}

// start takes one start. The error is a *ProtocolError.
func (i intake) start(o *owner, s *wire.Start) error {
	if s.Seq == 0 {
		return &ProtocolError{Owner: o.incarnation, Violation: ZeroSeq}
	}
	if a := o.attempts[s.Seq]; a != nil {
		i.reporter.report(o, s.Seq, a)
		return nil
	}
	if o.mayHaveForgotten(s.Seq) {
		// It may have run before its record was dropped, so "not run" could be untrue.
		i.reporter.reportForgotten(o, s.Seq)
		return nil
	}
	if len(o.attempts) >= maxRemembered {
		return &ProtocolError{Owner: o.incarnation, Violation: TooManyUnsettled, Seq: s.Seq}
	}
	if err := i.granter.spend(o, s.Seq); err != nil {
		return err
	}
	reason := i.refusal(o, s)
	o.highest = max(o.highest, s.Seq)
	if reason != wire.ReasonNone {
		i.refuse(o, s, reason)
		return nil
	}
	i.runner.accept(o, s)
	return nil
}

// refusal returns why the start can't be taken, or ReasonNone.
func (i intake) refusal(o *owner, s *wire.Start) wire.Reason {
	switch {
	case s.Seq <= o.highest:
		// Numbers rise on a connection; one that doesn't was overtaken by a later
		// start or asked about already, and its owner may have moved the task.
		return wire.ReasonStale
	case s.DeadlineMs <= i.now.UnixMilli():
		return wire.ReasonDeadlinePast
	case i.target.Down:
		return wire.ReasonTargetUnavailable
	case i.pastLeaving():
		return wire.ReasonLeaving
	case i.policy == Push && len(i.queue) >= maxWaiting:
		return wire.ReasonTargetUnavailable
	case i.policy == Push && i.running >= i.target.Slots:
		return wire.ReasonNone // it waits and is looked at again when a slot is free
	}
	return i.runner.unfit(s.Demand)
}

func (i intake) pastLeaving() bool {
	if i.leavingSince.IsZero() {
		return false
	}
	return i.policy == Push || i.now.Sub(i.leavingSince) > leavingGrace
}

func (i intake) refuse(o *owner, s *wire.Start, reason wire.Reason) {
	a := &attempt{state: wire.NotRun, reason: reason}
	o.attempts[s.Seq] = a
	o.unacked++
	i.granter.free()
	i.history.add(i.now, stepRefuse, Key{o.incarnation, s.Seq}, int(reason))
	if log, wanted := i.decisions(); wanted {
		event.Log(log, event.AttemptRefused,
			"owner", o.incarnation.String(), "attempt", s.Seq, "job", s.Job, "task", s.Task, "reason", reason)
	}
	i.reporter.report(o, s.Seq, a)
}
