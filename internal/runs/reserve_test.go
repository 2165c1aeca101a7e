package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// reserve sends reservations for 4 cores each.
func (h *harness) reserve(conn ConnID, seqs ...uint64) {
	f := &wire.LeasedToAgent{}
	for _, seq := range seqs {
		f.Reservations = append(f.Reservations, wire.Reservation{Seq: seq, Job: "r", Index: int(seq), Demand: job.Demand{CPUMilli: 4000},
			EstimateMs: 100, SlackMs: 100, MaxWaitMs: 300})
	}
	h.Receive(h.now, conn, f)
}

// take sends the order for an offer of 4 cores.
func (h *harness) take(seq, reservationSeq uint64) {
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Orders: []wire.Order{{Seq: seq, Job: "r", Index: int(reservationSeq), RunNumber: 1,
		Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 100, SlackMs: 100, MaxWaitMs: 300, TimeoutMs: 3000, Movable: true, Reservation: reservationSeq}}})
}

// offers returns the reservations for which a session was sent offers, and its newest load.
func (h *harness) offers(conn ConnID) (seqs []uint64, load *wire.Load) {
	h.Flush(h.now)
	for _, f := range h.outbox.sent[conn] {
		for _, o := range f.Offers {
			h.Expect(o.HeldMs).To(Equal(reservation.HoldTime.Milliseconds()))
			seqs = append(seqs, o.Seq)
		}
		load = f.Load
	}
	return seqs, load
}

// Guards against capacity that is offered twice or given away while its offer is answered: held
// capacity counts as used, also in loads, and the order that takes an offer starts at once, before
// an order that has waited for longer.
func TestHeldCapacityIsKeptForItsOrder(t *testing.T) {
	h := newHarness(t)
	h.reserve(testConn, 1, 2, 3)
	seqs, load := h.offers(testConn)
	h.Expect(seqs).To(HaveLen(2), "there is capacity for two")
	h.Expect(load.Free.CPUMilli).To(Equal(2000))
	h.sendOrder(testConn, 4, task("plain", 0), 1)
	h.Expect(h.target.starts).To(BeEmpty())
	h.take(5, seqs[0])
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.target.starts[0].Run.Task.Job).To(Equal("r"))
	h.Expect(h.HeldMilli()).To(Equal(4000))
}

// Guards against capacity that stays idle because an entry does not answer an offer: it lapses by
// the agent's clock and the next task starts. The silent entry gets no further offer before its
// next frame, or each of its reservations would idle the capacity in turn.
func TestUnansweredOfferLapses(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.Tick(h.now)
	h.reserve(testConn, 1, 2, 3, 4)
	h.Flush(h.now)
	h.sendOrder(2, 1, task("plain", 0), 1)
	h.Expect(h.target.starts).To(BeEmpty())
	untilLapse, open := h.UntilLapse()
	h.Expect(open).To(BeTrue())
	h.Expect(h.lastTick.Add(untilLapse)).To(Equal(h.now.Add(reservation.HoldTime)))
	h.advance(reservation.HoldTime - time.Millisecond)
	h.Expect(h.target.starts).To(BeEmpty())
	h.advance(time.Millisecond)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.HeldMilli()).To(BeZero())
	h.Expect(h.Counts().OffersLapsed).To(Equal(uint64(2)))
	seqs, _ := h.offers(testConn)
	h.Expect(seqs).To(HaveLen(2))
	h.Receive(h.now, testConn, &wire.LeasedToAgent{})
	seqs, _ = h.offers(testConn)
	h.Expect(seqs).To(HaveLen(3))
}

// Guards against an order that is lost, or runs beyond the capacity, because the offer that it
// takes has lapsed on the way: it is queued or returned like a plain order.
func TestOrderForLapsedOfferIsAPlainOrder(t *testing.T) {
	h := newHarness(t)
	h.reserve(testConn, 1, 2)
	h.now = h.now.Add(reservation.HoldTime)
	h.sendOrder(testConn, 3, task("plain", 0), 1) // the lapse is noticed without a Tick
	h.sendOrder(testConn, 4, task("plain", 1), 1)
	h.Expect(h.target.starts).To(HaveLen(2))
	h.take(5, 1)
	h.Expect(h.target.starts).To(HaveLen(2))
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(5), HaveField("Reason", wire.NotRunWaitTooLong)))
}

// Guards against capacity that stays held for a reservation that its entry has released, before or
// after the offer was sent, and against a release of something unknown.
func TestReleaseThatCrossesAnOffer(t *testing.T) {
	h := newHarness(t)
	h.reserve(testConn, 1, 2, 3)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Releases: []uint64{1, 2, 3, 77}})
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Releases: []uint64{1, 2, 3}})
	h.Expect(h.HeldMilli()).To(BeZero())
	h.Expect(h.Reservations()).To(BeZero())
	seqs, load := h.offers(testConn)
	h.Expect(seqs).To(BeEmpty(), "the offers were not sent yet")
	h.Expect(load.Free.CPUMilli).To(Equal(10_000))
}

// Guards against capacity held for an entry whose session has ended.
func TestSessionEndDropsItsReservations(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.reserve(testConn, 1, 2, 3)
	h.reserve(2, 1)
	h.Disconnect(h.now, testConn)
	h.advance(time.Millisecond)
	h.Expect(h.Reservations()).To(Equal(1))
	h.Expect(h.HeldMilli()).To(Equal(4000))
	seqs, _ := h.offers(2)
	h.Expect(seqs).To(ConsistOf(uint64(1)))
}

// Guards against offers of capacity that can't be used, and entries that wait for them: an agent
// that drains, goes down, is evacuated, changes its entry or whose target leaves or ends drops
// offers and reservations, and tells their entry.
func TestUnavailableAgentDropsOffers(t *testing.T) {
	for name, c := range map[string]struct {
		reason wire.NotRunReason
		event  func(h *harness)
	}{
		"drains":          {wire.NotRunLeaving, func(h *harness) { h.Drain(h.now) }},
		"retires session": {wire.NotRunLeaving, func(h *harness) { h.Retire(h.now, testConn) }},
		"target leaves":   {wire.NotRunLeaving, func(h *harness) { h.announce(2, true) }},
		"target departs":  {wire.NotRunLeaving, func(h *harness) { h.Deregister(h.now, h.incarnation.Name) }},
		"evacuated":       {wire.NotRunEvacuated, func(h *harness) { h.Evacuate(h.now, h.dataCentre(), false) }},
		"target silent":   {wire.NotRunDown, func(h *harness) { h.loseRenewals(4, 100*time.Millisecond, Unresponsive) }},
		"target ended":    {wire.NotRunDown, func(h *harness) { h.loseRenewals(1, time.Millisecond, Refused) }},
		"target restarts": {wire.NotRunDown, func(h *harness) { h.incarnation.StartedMs++; h.announce(1, false) }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.reserve(testConn, 1, 2, 3)
			h.Expect(h.HeldMilli()).To(Equal(8000))
			c.event(h)
			h.Expect(h.HeldMilli()).To(BeZero())
			h.Expect(h.Reservations()).To(BeZero())
			out := h.outcomes(testConn)
			for seq := uint64(1); seq <= 3; seq++ {
				h.Expect(out).To(HaveKeyWithValue(seq, And(HaveField("End", wire.EndNotRun), HaveField("Reason", c.reason))))
			}
		})
	}
}

// Guards against more capacity held than there is, after the target's capacity has shrunk.
func TestShrunkenTargetHoldsNoMoreThanItsCapacity(t *testing.T) {
	h := newHarness(t)
	h.reserve(testConn, 1, 2)
	h.Announce(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 5000, MemoryMB: 1000}, ClockMs: 60_000, Seq: 2})
	h.Expect(h.HeldMilli()).To(Equal(4000))
	h.Expect(h.outcomes(testConn)).To(HaveLen(1))
}

// Guards against a reservation that waits for longer than its task may, and against one that is
// offered before tasks that must start earlier, are more urgent or belong to a wider job.
func TestReservationsAreServedInOrder(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 1)
	h.sendOrder(testConn, 2, task("a", 1), 1)
	r := func(seq uint64, slackMs int64, priority, width int) wire.Reservation {
		return wire.Reservation{Seq: seq, Job: "r", Demand: job.Demand{CPUMilli: 1000 * int(seq-1)}, SlackMs: slackMs, MaxWaitMs: 50, Priority: priority, Width: width}
	}
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Reservations: []wire.Reservation{r(5, 90, 0, 2), r(4, 90, 0, 8), r(7, 100, 0, 8), r(6, 90, 1, 8)}})
	var seqs []uint64
	for _, queued := range h.queue {
		seqs = append(seqs, queued.order.Seq)
	}
	h.Expect(seqs).To(Equal([]uint64{4, 5, 6, 7}))
	h.advance(51 * time.Millisecond)
	h.Expect(h.Reservations()).To(BeZero())
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "their entry drops them by its own clock")
}

// reserveOf sends a reservation of a queue for 4 cores that must start within 100 ms and is dropped
// after 400 ms.
func (h *harness) reserveOf(queue string, seq uint64) {
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Reservations: []wire.Reservation{{Seq: seq, Job: "r", Index: int(seq), Queue: queue,
		Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 100, SlackMs: 100, MaxWaitMs: 400}}})
}

// queueLoad returns the newest report of a queue.
func (h *harness) queueLoad(queue string) (found wire.QueueLoad) {
	h.pass(queueLoadInterval + bucketTime)
	sent := h.queueLoadsSent(testConn)
	h.Expect(sent).NotTo(BeEmpty())
	for _, l := range sent[len(sent)-1] {
		if l.Queue == queue {
			found = l
		}
	}
	return found
}

// Guards against a pressure that reads zero while tasks wait as reservations: their processor counts
// by the share of a task that a reservation stands for, and expired ones count as late by the same
// share, whether the agent's tick or the entry's release comes first. One that is released in time
// counts as nothing.
func TestUnservedReservationsCountAsLate(t *testing.T) {
	h := newHarness(t)
	h.orderOf("long", 1)
	h.orderOf("long", 2) // two tasks of 4 cores fill 10 cores
	for seq := uint64(3); seq < 13; seq++ {
		h.reserveOf("wide", seq)
	}
	h.Expect(h.queueLoad("wide").QueuedMilli).To(BeNumerically("~", 10*4000*reservation.BoundShare, 1500))
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Releases: []uint64{3, 4, 5, 6, 7}})
	h.now = h.now.Add(110 * time.Millisecond) // without a tick
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Releases: []uint64{8, 9}})
	h.advance(0)
	h.Expect(h.Reservations()).To(BeZero())
	l := h.queueLoad("wide")
	h.Expect(l.Tasks).To(Equal(int64(2)), "five reservations expired, of 0.42 tasks each")
	h.Expect(l.LateShare).To(BeNumerically("~", 1, 1e-9))
	h.pass(2 * loadWindow)
	h.Expect(h.queueLoad("wide")).To(Equal(wire.QueueLoad{}))
}

// Guards against bound orders that never count as late, because they arrive when there is capacity:
// the latest start of the reservation decides, unless it was offered capacity at once.
func TestBoundOrderIsLateByItsReservation(t *testing.T) {
	for name, c := range map[string]struct {
		full bool
		wait time.Duration
		late float64
	}{
		"in time":            {true, 50 * time.Millisecond, 0},
		"late":               {true, 90 * time.Millisecond, 1}, // it must start 30 ms before its latest start
		"offered on arrival": {false, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			if c.full {
				h.orderOf("long", 1)
				h.orderOf("long", 2)
			}
			h.reserveOf("wide", 3)
			for passed := time.Duration(0); passed < c.wait; passed += 10 * time.Millisecond {
				h.advance(10 * time.Millisecond)
			}
			if c.full {
				h.Receive(h.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{1}})
				stop := h.target.stops[len(h.target.stops)-1]
				h.Stopped(h.now, stop, Accepted)
				h.renewWithEnds([]EndedRun{h.nextEnd(stop.Run, Stopped)})
			}
			seqs, _ := h.offers(testConn)
			h.Expect(seqs).To(Equal([]uint64{3}))
			h.Receive(h.now, testConn, &wire.LeasedToAgent{Orders: []wire.Order{{Seq: 4, Job: "r", Index: 3, RunNumber: 1, Queue: "wide",
				Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 100, SlackMs: 100, MaxWaitMs: 300, TimeoutMs: 3000, Reservation: 3}}})
			l := h.queueLoad("wide")
			h.Expect(l.Tasks).To(Equal(int64(1)))
			h.Expect(l.LateShare).To(Equal(c.late))
			h.Expect(l.InUseMilli).To(BeNumerically(">", 2000), "a bound order counts as in use")
		})
	}
}

// Guards against load that outlasts reservations and offers which end without an order: the pressure
// and the shares of their queue would count it until the agent restarts.
func TestReservationsThatEndLeaveNoLoad(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"released":      func(h *harness) { h.Receive(h.now, testConn, &wire.LeasedToAgent{Releases: []uint64{1, 2, 3}}) },
		"session ended": func(h *harness) { h.Disconnect(h.now, testConn) },
		"retired":       func(h *harness) { h.Retire(h.now, testConn) },
		"drained":       func(h *harness) { h.Drain(h.now) },
		"leaving":       func(h *harness) { h.announce(2, true) },
		"target ended":  func(h *harness) { h.Deregister(h.now, h.incarnation.Name) },
		"evacuated":     func(h *harness) { h.evacuate(false) },
		"lapsed and expired": func(h *harness) {
			for range 50 {
				h.advance(10 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for seq := uint64(1); seq <= 3; seq++ {
				h.reserveOf("wide", seq)
			}
			h.Expect(h.HeldMilli()).To(Equal(8000), "two are offered, one waits")
			q := h.table().queueLoads.byName["wide"]
			h.Expect(q.queuedMilli).To(Equal(int64(3 * 1680)))
			end(h)
			h.Expect(h.Reservations()).To(BeZero())
			h.Expect(h.HeldMilli()).To(BeZero())
			h.Expect(q.queuedMilli).To(BeZero())
			h.Expect(q.inUseMilli).To(BeZero())
		})
	}
}
