package attempt

import (
	"github.com/camphorrack/camphorrack/internal/wire"
)

// settler answers what owners ask about attempts and forgets what they have
// settled.
type settler struct {
	*board
	reporter reporter
	runner   runner
}

// query reports an attempt. One that never came is refused for good first: only
// then may its owner start the task elsewhere without any chance of a second run.
// The error is a *ProtocolError.
func (s settler) query(o *owner, seq uint64) error {
	return s.askOrRefuse(o, seq, wire.ReasonNeverSeen)
}

// cancel ends an attempt. One that waits never begins; the call of one that runs
// is aborted, and its outcome follows when the call has ended. The error is a
// *ProtocolError.
func (s settler) cancel(o *owner, seq uint64) error {
	a := o.attempts[seq]
	if a == nil {
		return s.askOrRefuse(o, seq, wire.ReasonCancelled)
	}
	switch a.state {
	case wire.Waiting:
		s.runner.drop(o, seq, a, wire.ReasonCancelled)
	case wire.Running:
		s.abort(Key{o.incarnation, seq}, a)
	}
	return nil
}

func (s settler) abort(k Key, a *attempt) {
	if a.cancelled {
		return
	}
	a.cancelled = true
	s.history.add(s.now, stepCancel, k, 0)
	s.out.Abort(k)
}

func (s settler) askOrRefuse(o *owner, seq uint64, reason wire.Reason) error {
	switch a := o.attempts[seq]; {
	case seq == 0:
		return &ProtocolError{Owner: o.incarnation, Violation: ZeroSeq}
	case a != nil:
		s.reporter.report(o, seq, a)
	case o.mayHaveForgotten(seq):
		s.reporter.reportForgotten(o, seq)
	case len(o.attempts) >= maxRemembered:
		return &ProtocolError{Owner: o.incarnation, Violation: TooManyUnsettled, Seq: seq}
	default:
		a = &attempt{state: wire.NotRun, reason: reason}
		o.attempts[seq] = a
		o.highest = max(o.highest, seq)
		o.unacked++
		s.history.add(s.now, stepRefuse, Key{o.incarnation, seq}, int(reason))
		s.reporter.report(o, seq, a)
	}
	return nil
}

// ack replaces an attempt whose report has arrived by a tombstone.
func (s settler) ack(o *owner, seq uint64) {
	a := o.attempts[seq]
	if a == nil || !a.state.Final() || a.isTombstone() {
		return
	}
	o.unacked--
	o.bytes -= a.bytes()
	if a.state == wire.NotRun {
		o.attempts[seq] = tombstoneNotRun
	} else {
		o.attempts[seq] = tombstoneRan
	}
}

// settle forgets every attempt below the given number.
func (s settler) settle(o *owner, below uint64) {
	if below <= o.settled {
		return
	}
	s.history.add(s.now, stepSettle, Key{o.incarnation, below}, len(o.attempts))
	from := o.settled
	o.settled = below
	if below-from > uint64(len(o.attempts)) {
		for seq := range o.attempts {
			s.settleOne(o, seq)
		}
		return
	}
	for seq := from; seq < below; seq++ {
		s.settleOne(o, seq)
	}
}

func (s settler) settleOne(o *owner, seq uint64) {
	a := o.attempts[seq]
	if a == nil || seq >= o.settled {
		return
	}
	switch {
	case a.state == wire.Running:
		a.forget = true
		return
	case a.state == wire.Waiting:
		s.runner.drop(o, seq, a, wire.ReasonStale)
	}
	s.ack(o, seq)
	delete(o.attempts, seq)
}

// dropWaiting refuses what has not begun of an owner that went away: nobody is
// there to tell whether it is still wanted.
func (s settler) dropWaiting(o *owner) {
	if s.policy != Push {
		return
	}
	for seq, a := range o.attempts {
		if a.state == wire.Waiting {
			s.runner.drop(o, seq, a, wire.ReasonCancelled)
		}
	}
}
