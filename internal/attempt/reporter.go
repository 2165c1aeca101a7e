package attempt

import (
	"slices"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxReportBytes is the size at which a frame takes no further report. It is well below
// wire.MaxFrameBytes, because the last report's result may exceed it and a heartbeat
// must not wait long behind the frame.
const maxReportBytes = 1 << 20

// reporter queues updates for owners and sends them in as few frames as possible.
type reporter struct{ *tableState }

// queueReport queues an attempt's state for its owner if that is connected. A final
// report is sent only once per connection: it either arrives or the connection breaks.
// Otherwise a reconnected owner's query would have every result sent twice.
func (r reporter) queueReport(o *owner, seq uint64, a *attempt) {
	if o.conn == 0 {
		return
	}
	if a.state.Final() && !a.isTombstone() {
		if a.reportedOn == o.conn {
			return
		}
		a.reportedOn = o.conn
	}
	o.pendingReports = append(o.pendingReports, wire.Report{
		Seq: seq, State: a.state, Reason: a.reason, Result: a.result, Detail: a.detail, RunMs: a.runMs,
	})
}

// queueForgottenReport reports an attempt without a record as unknown: it may have run.
func (r reporter) queueForgottenReport(o *owner, seq uint64) {
	o.pendingReports = append(o.pendingReports, wire.Report{
		Seq: seq, State: wire.Unknown, Reason: wire.ReasonStale, Detail: "no longer remembered",
	})
}

// requeueUnacknowledged queues every unacknowledged final report again, because it may
// have been lost with the previous connection.
func (r reporter) requeueUnacknowledged(o *owner) {
	if o.unackedReports == 0 {
		return
	}
	seqs := make([]uint64, 0, o.unackedReports)
	for seq, a := range o.attempts {
		if a.state.Final() && !a.isTombstone() {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	for _, seq := range seqs {
		r.queueReport(o, seq, o.attempts[seq])
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

// nextFrame returns the next frame for the owner, or nil if nothing is queued.
func (r reporter) nextFrame(o *owner) *wire.ToEntry {
	if len(o.pendingReports) == 0 && !o.sendTarget && !o.sendCredits {
		return nil
	}
	f := &wire.ToEntry{Reports: dequeueReports(o)}
	if o.sendTarget {
		t := r.announcedTarget()
		f.Target = &t
		o.sendTarget = false
	}
	if o.sendCredits && r.policy != Push {
		f.Credits = &wire.Credits{Total: o.credits.granted, Owners: len(r.connected), Recall: o.pendingRecall}
	}
	o.sendCredits, o.pendingRecall = false, 0
	return f
}

// dequeueReports takes the reports for the next frame from the queue: at least one, and
// more until their size reaches maxReportBytes.
func dequeueReports(o *owner) []wire.Report {
	size, n := 0, 0
	for n < len(o.pendingReports) && (n == 0 || size < maxReportBytes) {
		size += len(o.pendingReports[n].Result) + len(o.pendingReports[n].Detail)
		n++
	}
	batch := o.pendingReports[:n:n]
	o.pendingReports = o.pendingReports[n:]
	if len(o.pendingReports) == 0 {
		o.pendingReports = nil // the frame keeps the old array, which may be encoded later
	}
	return batch
}
