package attempt

import (
	"github.com/camphorrack/camphorrack/internal/wire"
)

// settler handles queries, cancels and acknowledgements, and drops the records of
// attempts that their owners have settled.
type settler struct {
	*tableState
	reporter reporter
	runner   runner
}

// query reports an attempt's state. An attempt that was never received is first refused
// permanently, so that its owner can safely start the task elsewhere without the risk of a
// second run. The error is a *ProtocolError.
func (s settler) query(o *owner, seq uint64) error {
	return s.reportOrRefuse(o, seq, wire.ReasonNeverSeen)
}

// cancel ends an attempt. A waiting one is marked as not run. For a running one, the
// call is aborted, and its outcome is reported when it has ended. One that was never
// received is refused permanently. The error is a *ProtocolError.
func (s settler) cancel(o *owner, seq uint64) error {
	a := o.attempts[seq]
	if a == nil {
		return s.reportOrRefuse(o, seq, wire.ReasonCancelled)
	}
	switch a.state {
	case wire.Waiting:
		s.runner.markNotRun(o, seq, a, wire.ReasonCancelled)
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
	s.history.add(s.now, opCancel, k, 0)
	s.out.Abort(k)
}

// reportOrRefuse reports an attempt's state. It first refuses, with the given reason, an
// attempt that was never received. The error is a *ProtocolError.
func (s settler) reportOrRefuse(o *owner, seq uint64, reason wire.Reason) error {
	switch a := o.attempts[seq]; {
	case seq == 0:
		return &ProtocolError{Owner: o.incarnation, Violation: ZeroSeq}
	case a != nil:
		s.reporter.queueReport(o, seq, a)
	case o.mayHaveForgotten(seq):
		s.reporter.queueForgottenReport(o, seq)
	case len(o.attempts) >= maxUnsettled:
		return &ProtocolError{Owner: o.incarnation, Violation: TooManyUnsettled, Seq: seq}
	default:
		a = &attempt{state: wire.NotRun, reason: reason}
		o.attempts[seq] = a
		o.highestSeq = max(o.highestSeq, seq)
		o.unackedReports++
		s.history.add(s.now, opRefuse, Key{o.incarnation, seq}, int(reason))
		s.reporter.queueReport(o, seq, a)
	}
	return nil
}

// ack replaces an attempt with a tombstone once its final report is acknowledged.
func (s settler) ack(o *owner, seq uint64) {
	a := o.attempts[seq]
	if a == nil || !a.state.Final() || a.isTombstone() {
		return
	}
	o.unackedReports--
	o.unackedBytes -= a.reportBytes()
	if a.state == wire.NotRun {
		o.attempts[seq] = tombstoneNotRun
	} else {
		o.attempts[seq] = tombstoneRan
	}
}

// settle drops the records of all attempts with numbers lower than below. Those that
// still run are dropped when they end.
func (s settler) settle(o *owner, below uint64) {
	if below <= o.settledBelow {
		return
	}
	s.history.add(s.now, opSettle, Key{o.incarnation, below}, len(o.attempts))
	from := o.settledBelow
	o.settledBelow = below
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

// settleOne drops the record of one attempt below settledBelow. A waiting one is marked as not
// run first; for a running one, the record is dropped without a report when the call ends.
func (s settler) settleOne(o *owner, seq uint64) {
	a := o.attempts[seq]
	if a == nil || seq >= o.settledBelow {
		return
	}
	switch {
	case a.state == wire.Running:
		a.discardReport = true
		return
	case a.state == wire.Waiting:
		s.runner.markNotRun(o, seq, a, wire.ReasonStale)
	}
	s.ack(o, seq)
	delete(o.attempts, seq)
}

// rejectWaiting rejects the waiting attempts of an owner that disconnected, since it
// can no longer cancel them.
func (s settler) rejectWaiting(o *owner) {
	if s.policy != Push {
		return
	}
	for seq, a := range o.attempts {
		if a.state == wire.Waiting {
			s.runner.markNotRun(o, seq, a, wire.ReasonCancelled)
		}
	}
}
