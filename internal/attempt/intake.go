package attempt

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// leavingGrace is how long after the target begins to leave a start is still
	// accepted, because it may have been sent before the recall of its credit arrived.
	// Refusing it at once would waste a message that was valid when sent; a much longer
	// grace would let an owner that was paused with credits start new work on a target
	// that is about to exit.
	leavingGrace = time.Second
	// maxUnsettled caps the unsettled attempts of one owner. A single attempt that hangs
	// keeps all later ones from being settled, so the cap is far above the number of
	// tasks in flight at a target: it lasts for an hour with 8 slots and tasks of 250 ms.
	maxUnsettled = 1 << 17
	// maxQueuedStarts caps the queue of the push policy: a flood of starts is refused
	// instead of exhausting the agent's memory.
	maxQueuedStarts = 1 << 14
)

// intake decides whether a start runs, waits in the queue or is refused permanently.
type intake struct {
	*tableState
	reporter reporter
	runner   runner
	granter  granter
}

// start handles one start. A repeated start only has its state reported again. The
// error is a *ProtocolError.
func (i intake) start(o *owner, s *wire.Start) error {
	if s.Seq == 0 {
		return &ProtocolError{Owner: o.incarnation, Violation: ZeroSeq}
	}
	if a := o.attempts[s.Seq]; a != nil {
		i.reporter.queueReport(o, s.Seq, a)
		return nil
	}
	if o.mayHaveForgotten(s.Seq) {
		// It may have run before its record was dropped, so "not run" could be false.
		i.reporter.queueForgottenReport(o, s.Seq)
		return nil
	}
	if len(o.attempts) >= maxUnsettled {
		return &ProtocolError{Owner: o.incarnation, Violation: TooManyUnsettled, Seq: s.Seq}
	}
	if err := i.granter.spendCredit(o, s.Seq); err != nil {
		return err
	}
	reason := i.refusalReason(o, s)
	o.highestSeq = max(o.highestSeq, s.Seq)
	if reason != wire.ReasonNone {
		i.refuse(o, s, reason)
		return nil
	}
	i.runner.accept(o, s)
	return nil
}

// refusalReason returns why the start must be refused, or ReasonNone.
func (i intake) refusalReason(o *owner, s *wire.Start) wire.Reason {
	switch {
	case s.Seq <= o.highestSeq:
		// Numbers increase on a connection. A start that is not above the highest one
		// arrived after a later start or after a query for it, and its owner may have
		// moved the task.
		return wire.ReasonStale
	case s.DeadlineMs <= i.now.UnixMilli():
		return wire.ReasonDeadlinePast
	case i.target.Down:
		return wire.ReasonTargetUnavailable
	case i.leavingGraceExpired():
		return wire.ReasonLeaving
	case i.policy == Push && len(i.startQueue) >= maxQueuedStarts:
		return wire.ReasonTargetUnavailable
	case i.policy == Push && i.runningCount >= i.target.Slots:
		return wire.ReasonNone // queued; startQueued checks it again when a slot is free
	}
	return i.runner.capacityReason(s.Demand)
}

func (i intake) leavingGraceExpired() bool {
	if i.leavingSince.IsZero() {
		return false
	}
	return i.policy == Push || i.now.Sub(i.leavingSince) > leavingGrace
}

func (i intake) refuse(o *owner, s *wire.Start, reason wire.Reason) {
	a := &attempt{state: wire.NotRun, reason: reason}
	o.attempts[s.Seq] = a
	o.unackedReports++
	i.granter.releaseSlot()
	i.history.add(i.now, opRefuse, Key{o.incarnation, s.Seq}, int(reason))
	if log, enabled := i.decisionLog(); enabled {
		event.Log(log, event.AttemptRefused,
			"owner", o.incarnation.String(), "attempt", s.Seq, "job", s.Job, "task", s.Task, "reason", reason)
	}
	i.reporter.queueReport(o, s.Seq, a)
}
