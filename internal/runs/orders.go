package runs

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Connect opens a session with an entry.
func (t *Table) Connect(now time.Time, conn ConnID) {
	t.now = now
	t.owners[conn] = &owner{conn: conn, runs: map[uint64]*run{}, target: t.known, load: true, orderAt: now}
	t.loadDirty = true
}

// Disconnect ends a session: what waits of it is dropped and what runs is stopped.
func (t *Table) Disconnect(now time.Time, conn ConnID) {
	t.now = now
	o := t.owners[conn]
	if o == nil {
		return
	}
	delete(t.owners, conn)
	t.counts.SessionsEnded++
	stopped := 0
	for _, r := range o.runs {
		r.owner = nil
		if r.state == queued {
			t.drop(r)
			continue
		}
		stopped++
		t.stop(r, wire.NotRunRecalled)
	}
	if stopped > 0 {
		event.Log(t.log, event.RunsStopped, "conn", uint64(conn), "runs", stopped, "reason", "session_ended")
	}
}

// DisconnectAll ends every session. Call it when the process finds that it stood
// still: its owners have given it up meanwhile, and what they sent before must not
// be started now.
func (t *Table) DisconnectAll(now time.Time) {
	for conn := range t.owners {
		t.Disconnect(now, conn)
		t.o.Outbox.Close(conn)
	}
}

// Receive takes a session's frame.
func (t *Table) Receive(now time.Time, conn ConnID, f *wire.LeasedToAgent) {
	t.now = now
	o := t.owners[conn]
	if o == nil || f == nil {
		return
	}
	if f.LoadEveryMs > 0 {
		o.loadEvery = time.Duration(f.LoadEveryMs) * time.Millisecond
	}
	for i := range f.Orders {
		t.take(o, &f.Orders[i])
	}
	for _, seq := range f.Recalls {
		if r := o.runs[seq]; r != nil {
			t.recall(r)
		}
	}
	t.fill()
}

func (t *Table) take(o *owner, order *wire.Order) {
	t.counts.Orders++
	o.seen = max(o.seen, order.Seq)
	o.orderAt = t.now
	t.loadDirty = true
	r := &run{
		id:      RunID{Task{order.Job, order.Step, order.Index}, order.Run},
		owner:   o,
		order:   *order,
		came:    t.now,
		startBy: t.now.Add(time.Duration(order.SlackMs) * time.Millisecond),
		giveUp:  t.now.Add(time.Duration(order.GiveUpMs) * time.Millisecond),
		limit:   t.now.Add(time.Duration(order.LimitMs) * time.Millisecond),
		wanted:  true,
	}
	if reason := t.refusal(o, r); reason != wire.NotRunNone {
		t.tell(r, wire.RunOutcome{Seq: order.Seq, End: wire.EndNotRun, Reason: reason})
		return
	}
	o.runs[order.Seq] = r
	t.runs[r.id] = r
	t.tasks[r.id.Task] = r
	t.enqueue(r)
}

func (t *Table) enqueue(r *run) {
	at, _ := slices.BinarySearchFunc(t.queue, r, byUrgency)
	t.queue = slices.Insert(t.queue, at, r)
}

// byUrgency orders the queue by the time by which a task must start to be in time:
// with it, a queue that can be served in time is, whatever the mix of short and
// long tasks.
func byUrgency(a, b *run) int { return a.startBy.Compare(b.startBy) }

func (t *Table) refusal(o *owner, r *run) wire.NotRunReason {
	switch {
	case t.leaving || t.target.Leaving || o.retiring:
		return wire.NotRunLeaving
	case !t.known || !t.reachable:
		return wire.NotRunDown
	case t.Evacuated():
		return wire.NotRunEvacuated
	case t.tasks[r.id.Task] != nil:
		return wire.NotRunBusy // perhaps of another owner
	}
	return t.unwelcome(r)
}

// unwelcome says why an order is not to wait here, given the target's capacity and what waits
// before it.
func (t *Table) unwelcome(r *run) wire.NotRunReason {
	switch {
	case !r.order.Demand.Fits(t.target.Capacity):
		return wire.NotRunUnfit
	case r.order.Movable && t.waitMs(r) > r.order.WaitMs+movedWaitMs:
		return wire.NotRunCrowded
	}
	return wire.NotRunNone
}

// movedWaitMs is how much longer than its entry reckons with a movable order may wait. To go
// back and to another target costs two hops: about as long.
const movedWaitMs = 8

// waitMs predicts how long an order that has just come would wait.
func (t *Table) waitMs(r *run) float64 {
	if len(t.queue) == 0 && r.order.Demand.Fits(t.free()) {
		return 0
	}
	t.forecast(t.speed())
	horizon, wait := [1]float64{float64(r.order.SlackMs)}, [1]float64{}
	t.player.Predict(t.free().CPUMilli, t.occupants, t.waits, r.order.Demand.CPUMilli, horizon[:], wait[:])
	return wait[0]
}

// fill starts waiting tasks in their order while there is room. A task that does
// not fit is passed over by smaller ones for a while only, or a stream of small
// ones would keep it waiting for ever.
func (t *Table) fill() {
	if !t.known || !t.reachable || !t.looked || len(t.foreign) > 0 || t.target.Leaving || t.Evacuated() {
		return
	}
	for i := 0; i < len(t.queue); {
		r := t.queue[i]
		if t.recalled && r.order.Unguarded {
			i++ // the capacity that was written down may be out of date, and the target won't object
			continue
		}
		if r.order.Demand.Fits(t.free()) {
			t.queue = slices.Delete(t.queue, i, i+1)
			t.start(r)
			continue
		}
		if t.now.Sub(r.came) > passOver {
			return
		}
		i++
	}
}

// passOver is how long smaller tasks may overtake one that does not fit. Tasks are
// of about the same size, so room for the larger one comes up within some ends.
const passOver = 100 * time.Millisecond

// free returns the room that nothing takes. What is being stopped still counts,
// until the target has listed its end.
func (t *Table) free() job.Demand { return t.target.Capacity.Minus(t.inUse) }

func (t *Table) start(r *run) {
	r.state = starting
	t.inUse = t.inUse.Plus(r.order.Demand)
	t.counts.Starts++
	t.loadDirty = true
	t.callStart(r)
}

func (t *Table) callStart(r *run) {
	r.calledAt = t.now
	t.o.Target.Start(StartCall{
		Incarnation: t.target.Incarnation, Token: t.token, Run: r.id, Spec: r.order.Spec, LeaseUntilMs: t.leaseUntil(),
		Timeout: t.callTimeout(),
	})
}

// recall ends an order whose outcome no longer matters to its owner.
func (t *Table) recall(r *run) {
	r.wanted = false
	if r.state == queued {
		t.settleNotRun(r, wire.NotRunRecalled)
		return
	}
	t.stop(r, wire.NotRunRecalled)
}

// expire returns what has waited too long and stops what nobody waits for any more.
func (t *Table) expire() {
	for _, r := range slices.Clone(t.queue) {
		if t.now.After(r.giveUp) {
			t.settleNotRun(r, wire.NotRunLate)
		}
	}
	for _, r := range t.runs {
		if (r.state == starting || r.state == running) && t.now.After(r.limit) {
			t.stop(r, wire.NotRunLate)
		}
	}
}

// returnQueue gives every waiting order back.
func (t *Table) returnQueue(reason wire.NotRunReason) {
	for _, r := range slices.Clone(t.queue) {
		t.settleNotRun(r, reason)
	}
}

// drop forgets a waiting order.
func (t *Table) drop(r *run) {
	if i := slices.Index(t.queue, r); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	t.forget(r)
}

// forget ends the bookkeeping of an order.
func (t *Table) forget(r *run) {
	if r.state != queued {
		t.inUse = t.inUse.Minus(r.order.Demand)
	}
	delete(t.runs, r.id)
	delete(t.tasks, r.id.Task)
	if r.owner != nil {
		delete(r.owner.runs, r.order.Seq)
	}
	t.loadDirty = true
}

func (t *Table) settleNotRun(r *run, reason wire.NotRunReason) {
	t.counts.NotRun++
	t.drop(r)
	t.tell(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: reason, WaitMs: clock.Millis(t.now.Sub(r.came))})
}

func (t *Table) settle(r *run, end wire.RunEnd) {
	t.forget(r)
	out := wire.RunOutcome{Seq: r.order.Seq, End: end, WaitMs: clock.Millis(r.calledAt.Sub(r.came))}
	if !r.startedAt.IsZero() {
		out.RunMs = clock.Millis(t.now.Sub(r.startedAt))
	}
	t.tell(r, out)
}

// tell queues an outcome for the order's session, if that still stands.
func (t *Table) tell(r *run, out wire.RunOutcome) {
	if r.owner == nil {
		return
	}
	r.owner.outcomes = append(r.owner.outcomes, out)
	r.owner.linger(t.now)
	event.Log(t.log.V(1), event.TaskReported, "job", r.id.Task.Job, "step", r.id.Task.Step, "task", r.id.Task.Index,
		"run", r.id.Number, "target", t.target.Incarnation.Name, "end", int(out.End), "reason", int(out.Reason),
		"est", r.order.EstimateMs, "wait_ms", out.WaitMs, "run_ms", out.RunMs)
}
