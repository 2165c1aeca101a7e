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

// A reservation is a run in the state reserved or offered. It is in its session's reservations and
// in the queue or in the offers, but never among the runs and tasks of the table: it starts
// nothing, so that it may exist beside runs of its task and needs no outcome to be over.

// reservations is the state of the table for reservations.
type reservations struct {
	waiting int        // reservations in the queue
	offers  []*run     // in the order in which they lapse
	held    job.Demand // capacity held for offers
}

// receiveReservation queues a reservation, or returns it at once with the reason.
func (t *Table) receiveReservation(s *session, w *wire.Reservation) {
	t.counts.Reservations++
	s.lastSeq = max(s.lastSeq, w.Seq)
	s.lastOrderAt = t.now
	t.loadChanged = true
	if s.reservations[w.Seq] != nil {
		return
	}
	r := &run{
		id: RunID{Task: Task{w.Job, w.Step, w.Index}}, session: s, state: reserved, width: w.Width, receivedAt: t.now,
		order: wire.Order{
			Seq: w.Seq, Job: w.Job, Step: w.Step, Index: w.Index, Demand: w.Demand, EstimateMs: w.EstimateMs, SlackMs: w.SlackMs,
			Queue: w.Queue, Priority: w.Priority,
		},
		startBy:       t.now.Add(time.Duration(w.SlackMs) * time.Millisecond),
		queueDeadline: t.now.Add(time.Duration(w.MaxWaitMs) * time.Millisecond),
	}
	reason := t.unavailableReason(s)
	if reason == wire.NotRunNone && !t.placedForTarget(s, w.Description) {
		reason = wire.NotRunOtherTarget
	}
	if reason == wire.NotRunNone {
		reason = t.capacityRefuseReason(r)
	}
	if reason != wire.NotRunNone {
		t.queueOutcome(r, wire.RunOutcome{Seq: w.Seq, End: wire.EndNotRun, Reason: reason})
		return
	}
	if s.reservations == nil {
		s.reservations = map[uint64]*run{}
	}
	s.reservations[w.Seq] = r
	t.reservations.waiting++
	t.enqueue(r)
	t.queueLoads.recordArrival(t.now, r)
}

// offer takes a reservation out of the queue, holds its capacity, and queues the offer for its
// entry.
func (t *Table) offer(r *run) {
	r.state, r.offerLapsesAt = offered, t.now.Add(reservation.HoldTime)
	t.reservations.waiting--
	t.reservations.offers = append(t.reservations.offers, r)
	t.reservations.held = t.reservations.held.Add(r.order.Demand)
	t.loadChanged = true
	r.session.offers = append(r.session.offers, wire.Offer{
		Seq: r.order.Seq, HeldMs: reservation.HoldTime.Milliseconds(), WaitMs: clock.Millis(t.now.Sub(r.receivedAt)),
	})
}

// removeReservation removes a reservation and frees the capacity that is held for its offer.
func (t *Table) removeReservation(r *run) {
	t.queueLoads.recordRemoval(t.now, r)
	switch r.state {
	case reserved:
		if i := slices.Index(t.queue, r); i >= 0 {
			t.queue = slices.Delete(t.queue, i, i+1)
		}
		t.reservations.waiting--
	case offered:
		if i := slices.Index(t.reservations.offers, r); i >= 0 {
			t.reservations.offers = slices.Delete(t.reservations.offers, i, i+1)
		}
		t.reservations.held = t.reservations.held.Sub(r.order.Demand)
		r.session.offers = slices.DeleteFunc(r.session.offers, func(o wire.Offer) bool { return o.Seq == r.order.Seq })
	}
	delete(r.session.reservations, r.order.Seq)
	t.loadChanged = true
}

// rejectReservation removes a reservation and reports the reason to its entry, except for one
// that has waited for too long: the entry drops that one by its own clock.
func (t *Table) rejectReservation(r *run, reason wire.NotRunReason) {
	if reason == wire.NotRunExpired {
		t.queueLoads.recordUnserved(t.now, r)
	}
	t.removeReservation(r)
	if reason != wire.NotRunExpired {
		t.queueOutcome(r, wire.RunOutcome{Seq: r.order.Seq, End: wire.EndNotRun, Reason: reason, WaitMs: clock.Millis(t.now.Sub(r.receivedAt))})
	}
}

// takeOffer removes the reservation that the order r names, and reports whether capacity was held
// for it until now. The order inherits the latest start of the reservation, by which it counts as
// late: the order itself arrives when there is capacity, and never seems to have waited.
func (t *Table) takeOffer(r *run) bool {
	res := r.session.reservations[r.order.Reservation]
	if res == nil {
		return false
	}
	held := res.state == offered
	if held {
		r.startBy = res.startBy
		r.reservationWaited = res.offerLapsesAt.Add(-reservation.HoldTime).After(res.receivedAt)
	}
	t.removeReservation(res)
	return held
}

// release drops a reservation, with its offer, that its entry no longer needs. An entry that refuses
// a job because a task of it can't start in time may do so before the tick that drops the
// expired reservation.
func (t *Table) release(s *session, seq uint64) {
	r := s.reservations[seq]
	if r == nil {
		return
	}
	if r.state == reserved && !t.now.Before(r.queueDeadline) {
		t.queueLoads.recordUnserved(t.now, r)
	}
	t.removeReservation(r)
}

// lapseOffers frees the capacity of offers that were not answered in time. Their session gets no
// further offers before its next frame: an entry that has stopped answering would otherwise idle
// the capacity of each of its reservations in turn.
func (t *Table) lapseOffers() {
	for len(t.reservations.offers) > 0 && !t.now.Before(t.reservations.offers[0].offerLapsesAt) {
		r := t.reservations.offers[0]
		t.removeReservation(r)
		r.session.unanswered = true
		t.counts.OffersLapsed++
		event.Log(t.log, event.OfferLapsed, "conn", uint64(r.session.conn), "job", r.id.Task.Job, "step", r.id.Task.Step, "task", r.id.Task.Index,
			"target", t.target.Incarnation.Name, "held_ms", clock.Millis(t.now.Sub(r.offerLapsesAt)+reservation.HoldTime), "cpu_milli", r.order.Demand.CPUMilli)
	}
}

// UntilLapse returns the time from the last Tick until the next offer lapses, and false if none
// is open.
func (t *Table) UntilLapse() (time.Duration, bool) {
	if len(t.reservations.offers) == 0 {
		return 0, false
	}
	return t.reservations.offers[0].offerLapsesAt.Sub(t.lastTick), true
}

// rejectOffers drops every offer.
func (t *Table) rejectOffers(reason wire.NotRunReason) {
	for _, r := range slices.Clone(t.reservations.offers) {
		t.rejectReservation(r, reason)
	}
}

// rejectReservations drops every reservation and offer.
func (t *Table) rejectReservations(reason wire.NotRunReason) {
	if t.superseded {
		return
	}
	for s := range t.sessions.Values() {
		t.rejectSessionReservations(s, reason)
	}
}

// rejectSessionReservations drops the reservations and offers of a session.
func (t *Table) rejectSessionReservations(s *session, reason wire.NotRunReason) {
	for _, seq := range slices.Sorted(maps.Keys(s.reservations)) {
		t.rejectReservation(s.reservations[seq], reason)
	}
}

// rejectExcessOffers drops the newest offers after the target's capacity has shrunk, until the
// capacity held is no more than what no run uses.
func (t *Table) rejectExcessOffers() {
	for n := len(t.reservations.offers); n > 0 && !t.reservations.held.Fits(t.target.Capacity.Sub(t.inUse)); n-- {
		t.rejectReservation(t.reservations.offers[n-1], wire.NotRunTooLarge)
	}
}

// Reservations returns the number of reservations, including those with an open offer.
func (t *Table) Reservations() int { return t.reservations.waiting + len(t.reservations.offers) }

// HeldMilli returns the capacity held for offers in thousandths of a core.
func (t *Table) HeldMilli() int { return t.reservations.held.CPUMilli }

// isReservation reports whether r is a reservation rather than an order.
func (r *run) isReservation() bool { return r.state == reserved || r.state == offered }

// boundShare returns the share of a queued task that counts in predictions of waits.
func (r *run) boundShare() float64 {
	if r.isReservation() {
		return reservation.BoundShare
	}
	return 1
}
