package attempt

import (
	"slices"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxReportBytes closes a frame of reports, well under wire.MaxFrameBytes: a
// result has to fit beside it, and a heartbeat must not wait long behind it.
const maxReportBytes = 1 << 20

// reporter gathers what owners must hear and sends it in as few frames as it can.
type reporter struct{ *board }

// report queues an attempt's state for its owner, if that is connected. A final
// report goes out once a connection: what is under way there arrives, or the
// connection breaks. A reconnected owner's query would else double every result.
func (r reporter) report(o *owner, seq uint64, a *attempt) {
	if o.conn == 0 {
		return
	}
	if a.state.Final() && !a.isTombstone() {
		if a.sentOn == o.conn {
			return
		}
		a.sentOn = o.conn
	}
	o.reports = append(o.reports, wire.Report{
		Seq: seq, State: a.state, Reason: a.reason, Result: a.result, Detail: a.detail, RunMs: a.runMs,
	})
}

// reportForgotten answers for an attempt whose record is gone.
func (r reporter) reportForgotten(o *owner, seq uint64) {
	o.reports = append(o.reports, wire.Report{
		Seq: seq, State: wire.Unknown, Reason: wire.ReasonStale, Detail: "no longer remembered",
	})
}

// repeatFinal queues every final report that was not acknowledged: it may have
// been lost with the connection before this one.
func (r reporter) repeatFinal(o *owner) {
	if o.unacked == 0 {
		return
	}
	seqs := make([]uint64, 0, o.unacked)
	for seq, a := range o.attempts {
		if a.state.Final() && !a.isTombstone() {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	for _, seq := range seqs {
		r.report(o, seq, o.attempts[seq])
	}
}

func (r reporter) flush() {
	for _, o := range r.connected {
		r.flushOwner(o)
	}
}

func (r reporter) flushOwner(o *owner) {
	for {
		f := r.nextFrame(o)
		if f == nil {
			return
		}
		r.out.Send(o.conn, f)
	}
}

// nextFrame returns the next frame due to the owner, or nil.
func (r reporter) nextFrame(o *owner) *wire.ToEntry {
	if len(o.reports) == 0 && !o.sendTarget && !o.sendCredits {
		return nil
	}
	f := &wire.ToEntry{Reports: takeReports(o)}
	if o.sendTarget {
		t := r.announced()
		f.Target = &t
		o.sendTarget = false
	}
	if o.sendCredits && r.policy != Push {
		f.Credits = &wire.Credits{Total: o.credits.granted, Owners: len(r.connected), Recall: o.recallNow}
	}
	o.sendCredits, o.recallNow = false, 0
	return f
}

func takeReports(o *owner) []wire.Report {
	size, n := 0, 0
	for n < len(o.reports) && (n == 0 || size < maxReportBytes) {
		size += len(o.reports[n].Result) + len(o.reports[n].Detail)
		n++
	}
	taken := o.reports[:n:n]
	o.reports = o.reports[n:]
	if len(o.reports) == 0 {
		o.reports = nil // the frame keeps the old array; it may be encoded later
	}
	return taken
}
