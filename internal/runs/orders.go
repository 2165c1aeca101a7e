package runs

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Connect opens a session with an entry; features are the fields of frames that it understands.
func (t *Table) Connect(now time.Time, conn ConnID, features wire.Features) {
	t.now = now
	s := &session{conn: conn, features: features, runs: map[uint64]*run{}, sendTarget: t.announced(), sendLoad: true, openedAt: now, lastOrderAt: now}
	t.sessions.Set(conn, s)
	for id := range t.cancelled.IDs(now) {
		t.queueCancellation(s, id)
	}
	t.loadChanged = true
}

// Disconnect ends a session: its queued orders are dropped and its runs are stopped.
func (t *Table) Disconnect(now time.Time, conn ConnID) {
	t.now = now
	s := t.session(conn)
	if s == nil {
		return
	}
	for _, seq := range slices.Sorted(maps.Keys(s.reservations)) {
		t.removeReservation(s.reservations[seq])
	}
	t.sessions.Delete(conn)
	t.counts.SessionsEnded++
	stopped := 0
	for _, seq := range slices.Sorted(maps.Keys(s.runs)) {
		r := s.runs[seq]
		t.abandon(r)
		r.session = nil
		if r.state == queued {
			t.dropQueued(r)
			continue
		}
		stopped++
		t.stopOn(r, wire.NotRunRecalled)
	}
	if stopped > 0 {
		event.Log(t.log, event.RunsStopped, "conn", uint64(conn), "runs", stopped, "reason", "session_ended")
	}
}

// DisconnectAll ends every session. Call it when the process finds that it was suspended for the
// time given: the entries have given up their sessions meanwhile, and orders that they sent before
// must not start now.
func (t *Table) DisconnectAll(now time.Time, suspended time.Duration) {
	t.now = now
	for s := range t.targets() {
		for r := range s.runs.Values() {
			t.abandon(r)
			r.wantedAt = r.wantedAt.Add(-suspended) // the clock may not have counted that time
		}
	}
	for _, conn := range slices.Collect(t.sessions.Keys()) {
		t.Disconnect(now, conn)
		t.options.Outbox.Close(conn)
	}
}

// Receive processes a frame from a session's entry.
func (t *Table) Receive(now time.Time, conn ConnID, f *wire.LeasedToAgent) {
	t.now = now
	s := t.session(conn)
	if s == nil || f == nil {
		return
	}
	if f.LoadIntervalMs > 0 {
		s.loadInterval = time.Duration(f.LoadIntervalMs) * time.Millisecond
	}
	s.unanswered = false
	t.lapseOffers()
	t.receiveCancellations(s, f.Cancellations)
	for i := range f.Orders {
		t.receiveOrder(s, &f.Orders[i])
	}
	for _, seq := range f.Recalls {
		if r := s.runs[seq]; r != nil {
			t.recall(r)
		}
	}
	for _, seq := range f.Releases {
		t.release(s, seq)
	}
	for i := range f.Reservations {
		t.receiveReservation(s, &f.Reservations[i])
	}
	t.startQueued()
}

// receiveOrder queues an order, or returns it at once with the reason.
func (t *Table) receiveOrder(s *session, order *wire.Order) {
	t.counts.Orders++
	s.lastSeq = max(s.lastSeq, order.Seq)
	s.lastOrderAt = t.now
	t.loadChanged = true
	r := &run{
		id:            RunID{Task{order.Job, order.Step, order.Index}, order.RunNumber},
		on:            t.targetState,
		session:       s,
		order:         *order,
		receivedAt:    t.now,
		startBy:       t.now.Add(time.Duration(order.SlackMs) * time.Millisecond),
		queueDeadline: t.now.Add(time.Duration(order.MaxWaitMs) * time.Millisecond),
		runDeadline:   t.now.Add(time.Duration(order.TimeoutMs) * time.Millisecond),
	}
	sentAfter := s.openedAt // the order may come before the first proof
	if wantedAt := t.wantedAt(s); !wantedAt.IsZero() {
		sentAfter = wantedAt
	}
	r.callerLeavesAt = sentAfter.Add(time.Duration(order.TimeoutMs) * time.Millisecond)
	offerHeld := order.Reservation != 0 && t.takeOffer(r)
	if offerHeld {
		r.order.Movable = false // it need not wait
	}
	if reason := t.refuseReason(s, r); reason != wire.NotRunNone {
		t.queueOutcome(r, wire.RunOutcome{Seq: order.Seq, End: wire.EndNotRun, Reason: reason})
		return
	}
	s.runs[order.Seq] = r
	t.runs.Set(r.id, r)
	t.tasks[r.id.Task] = r
	t.queueLoads.recordArrival(t.now, r)
	if offerHeld && t.mayStart() && r.order.Demand.Fits(t.freeCapacity()) && t.leaseAllows(r) {
		t.start(r) // before anything that waits: the capacity was held for it
		return
	}
	t.enqueue(r)
}

func (t *Table) enqueue(r *run) {
	at, _ := slices.BinarySearchFunc(t.queue, r, compareStartBy)
	t.queue = slices.Insert(t.queue, at, r)
}

// compareStartBy orders the queue by the latest time at which each task can start for its job to
// be in time. A queue that can be served in time is served in time in this order, whatever the mix
// of short and long tasks.
func compareStartBy(a, b *run) int {
	return reservation.Compare(reservation.ByDefault, a.waiting(), b.waiting())
}

func (r *run) waiting() reservation.Waiting {
	return reservation.Waiting{LatestStart: r.startBy, Priority: r.order.Priority, Width: r.width}
}

// refuseReason returns why a new order is not accepted, or NotRunNone.
func (t *Table) refuseReason(s *session, r *run) wire.NotRunReason {
	if reason := t.unavailableReason(s); reason != wire.NotRunNone {
		return reason
	}
	if !t.placedForTarget(s, r.order.Description) {
		return wire.NotRunOtherTarget
	}
	if s.features >= wire.DescribedFeatures && t.cancelled.Has(t.now, r.id.Task.Job) {
		return wire.NotRunRecalled // its entry gets the cancellation with the outcome
	}
	if t.tasks[r.id.Task] != nil {
		return wire.NotRunAlreadyRunning // the other run may be of another owner
	}
	return t.capacityRefuseReason(r)
}

// placedForTarget reports whether an order or a reservation was placed by the present description of the target,
// whose number it states. An entry that states none has no session that outlasts a description; see describeTarget.
func (t *Table) placedForTarget(s *session, description uint64) bool {
	return s.features < wire.DescribedFeatures || description == t.description
}

// unavailableReason returns why nothing new is accepted from a session, or NotRunNone.
func (t *Table) unavailableReason(s *session) wire.NotRunReason {
	switch {
	case t.draining || t.target.Leaving || s.retiring:
		return wire.NotRunLeaving
	case !t.announced() || !t.reachable:
		return wire.NotRunDown
	case t.Evacuated():
		return wire.NotRunEvacuated
	}
	return wire.NotRunNone
}

// capacityRefuseReason returns why an order must not be queued, given the target's capacity and
// the orders queued before it, or NotRunNone.
func (t *Table) capacityRefuseReason(r *run) wire.NotRunReason {
	switch {
	case !r.order.Demand.Fits(t.target.Capacity):
		return wire.NotRunTooLarge
	case r.order.Movable && t.predictWaitMs(r) > r.order.ExpectedWaitMs+movableExtraWaitMs:
		return wire.NotRunWaitTooLong
	}
	return wire.NotRunNone
}

// movableExtraWaitMs is how much longer than its entry expects a movable order may wait. To
// return it and send it to another target costs two hops, which takes about as long.
const movableExtraWaitMs = 8

// predictWaitMs predicts how long an order that has just arrived would be queued.
func (t *Table) predictWaitMs(r *run) float64 {
	if len(t.queue) == 0 && r.order.Demand.Fits(t.freeCapacity()) {
		return 0
	}
	t.collectTasks(t.effectiveSpeed())
	horizon, wait := [1]float64{float64(r.order.SlackMs)}, [1]float64{}
	t.simulator.Predict(t.freeCapacity().CPUMilli, t.runningTasks, t.queuedTasks, r.order.Demand.CPUMilli, horizon[:], wait[:])
	return wait[0]
}

// startQueued starts queued tasks in order while there is capacity. Smaller tasks may overtake
// one that does not fit for a limited time only; otherwise a stream of them would keep it queued
// forever.
func (t *Table) startQueued() {
	if !t.mayStart() {
		return
	}
	for i := 0; i < len(t.queue); {
		r := t.queue[i]
		if t.restored && (r.order.IgnoresCapacity || r.state == reserved) {
			i++ // the recorded capacity may be out of date, and the target doesn't enforce it
			continue
		}
		if r.state == reserved && r.session.unanswered {
			i++
			continue
		}
		if r.order.Demand.Fits(t.freeCapacity()) {
			if r.state == queued && !t.leaseAllows(r) {
				i++
				continue
			}
			t.queue = slices.Delete(t.queue, i, i+1)
			if r.state == reserved {
				t.offer(r)
				continue
			}
			t.start(r)
			continue
		}
		if t.now.Sub(r.receivedAt) > maxOvertakeTime {
			return
		}
		i++
	}
}

// mayStart reports whether the target can start tasks, apart from their demand.
func (t *Table) mayStart() bool {
	return !t.superseded && t.announced() && t.reachable && t.listed && t.foreignRuns.Len() == 0 && !t.target.Leaving && !t.Evacuated()
}

// maxOvertakeTime is how long smaller tasks may overtake one that does not fit. Tasks are of
// similar size, so capacity for the larger one is free after a few ends.
const maxOvertakeTime = 100 * time.Millisecond

// freeCapacity returns the unused part of the capacity. A run that is being stopped uses its part
// until the target has listed its end, and an offer until it is answered or lapses.
func (t *Table) freeCapacity() job.Demand {
	return t.target.Capacity.Sub(t.inUse).Sub(t.reservations.held)
}

func (t *Table) start(r *run) {
	t.queueLoads.recordStart(t.now, r)
	r.state = starting
	t.inUse = t.inUse.Add(r.order.Demand)
	t.counts.Starts++
	t.loadChanged = true
	t.callStart(r)
}

func (t *Table) callStart(r *run) {
	r.startCalledAt = t.now
	r.startsOpen++
	r.startInFlight = true
	t.options.Target.Start(StartCall{
		Incarnation: t.target.Incarnation, Epoch: t.epoch, Token: t.token, Run: r.id, Spec: r.order.Spec, LeaseUntilMs: t.requestLease(),
		Timeout: t.callTimeout(),
	})
}

// recall ends an order whose outcome its owner no longer needs.
func (t *Table) recall(r *run) {
	t.abandon(r)
	if r.state == queued {
		t.settleNotRun(r, wire.NotRunRecalled)
		return
	}
	t.stopOn(r, wire.NotRunRecalled)
}

// returnExpired returns the orders that were queued for too long.
func (t *Table) returnExpired() {
	for _, r := range slices.Clone(t.queue) {
		if t.now.After(r.queueDeadline) {
			t.settleNotRun(r, wire.NotRunExpired)
		}
	}
}

// stopOverdue stops the runs whose callers no longer wait for them.
func (t *Table) stopOverdue() {
	for _, r := range slices.Collect(t.runs.Values()) {
		if (r.state == starting || r.state == running) && t.now.After(r.runDeadline) {
			t.abandon(r)
			t.stop(r, wire.NotRunExpired)
		}
	}
}

// rejectQueued returns every queued order as not run, and drops reservations and offers. These are for the
// target that gets new runs.
func (t *Table) rejectQueued(reason wire.NotRunReason) {
	if t.superseded {
		return
	}
	t.rejectOffers(reason)
	for _, r := range slices.Clone(t.queue) {
		t.settleNotRun(r, reason)
	}
}

// dropQueued removes a queued order; it queues no outcome.
func (t *Table) dropQueued(r *run) {
	if i := slices.Index(t.queue, r); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	t.remove(r)
}

// remove deletes an order from the table and releases its capacity.
func (t *Table) remove(r *run) {
	t.noteOutlived(r)
	t.queueLoads.recordRemoval(t.now, r)
	if r.state != queued {
		t.inUse = t.inUse.Sub(r.order.Demand)
	}
	t.runs.Delete(r.id)
	delete(t.tasks, r.id.Task)
	if r.session != nil {
		delete(r.session.runs, r.order.Seq)
	}
	t.loadChanged = true
}

// settleNotRun returns a queued order as not run, or drops a reservation.
func (t *Table) settleNotRun(r *run, reason wire.NotRunReason) {
	if r.state == reserved {
		t.rejectReservation(r, reason)
		return
	}
	t.counts.NotRun++
	t.queueLoads.recordReturn(t.now, r, reason)
	t.dropQueued(r)
	t.queueOutcome(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: reason, WaitMs: clock.Millis(t.now.Sub(r.receivedAt))})
}

// settle removes a run and reports its end, its wait and its run time.
func (t *Table) settle(r *run, end wire.RunEnd) {
	t.remove(r)
	out := wire.RunOutcome{Seq: r.order.Seq, End: end, WaitMs: clock.Millis(r.startCalledAt.Sub(r.receivedAt))}
	if !r.startedAt.IsZero() {
		out.RunMs = clock.Millis(t.now.Sub(r.startedAt))
	}
	t.queueOutcome(r, out)
}

// queueOutcome queues an outcome for the order's session if it is still open.
func (t *Table) queueOutcome(r *run, out wire.RunOutcome) {
	if r.session == nil {
		return
	}
	r.session.outcomes = append(r.session.outcomes, out)
	r.session.delayClose(t.now)
	event.Log(t.log.V(1), event.TaskReported, "job", r.id.Task.Job, "step", r.id.Task.Step, "task", r.id.Task.Index,
		"run", r.id.Number, "target", t.target.Incarnation.Name, "end", int(out.End), "reason", int(out.Reason),
		"est", r.order.EstimateMs, "wait_ms", out.WaitMs, "run_ms", out.RunMs)
}
