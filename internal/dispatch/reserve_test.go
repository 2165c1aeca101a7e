package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// newFullHarness returns a harness of agents whose targets are full.
func newFullHarness(t *testing.T, agents int) *harness {
	h := newHarness(t, agents)
	h.options.Waiting = reservation.LateBinding
	for i := range agents {
		h.setLoad(ConnID(i+1), h.fullLoad(30))
	}
	return h
}

func (h *harness) offer(id ConnID, seq uint64) {
	h.Receive(h.now, id, &wire.LeasedToEntry{Offers: []wire.Offer{{Seq: seq, HeldMs: 25}}})
	h.Flush()
}

// reservation returns the newest reservation at an agent.
func (h *harness) reservation(id ConnID) wire.Reservation {
	h.Expect(h.out.reservations[id]).NotTo(BeEmpty())
	return h.out.reservations[id][len(h.out.reservations[id])-1]
}

// Guards against two orders for one task: the first offer gets the order, the other reservations
// are released, and an offer that crosses its release gets another one.
func TestFirstOfferIsBound(t *testing.T) {
	h := newFullHarness(t, 4)
	h.submit(h.newJob("j", 1))
	h.Expect(h.out.reservations).To(HaveLen(3))
	h.Expect(h.orderCount()).To(BeZero())
	var reserved []ConnID
	for id := range h.out.reservations {
		reserved = append(reserved, id)
	}
	seq := h.reservation(reserved[0]).Seq
	for _, id := range reserved {
		h.offer(id, h.reservation(id).Seq)
	}
	h.offer(reserved[0], seq) // repeated
	h.Expect(h.orderCount()).To(Equal(1))
	h.Expect(h.sentOrders()[reserved[0]]).To(ConsistOf(And(HaveField("Reservation", seq), HaveField("Job", "j"), HaveField("Spec", "x"))))
	for _, id := range reserved[1:] {
		h.Expect(h.out.releases[id]).To(HaveEach(h.reservation(id).Seq))
	}
	h.Expect(h.Counts().Reservations).To(Equal(uint64(3)))
	h.Expect(h.Counts().OffersUnused).To(Equal(uint64(3)))
}

// Guards against a job that waits in vain, or is answered as unknown, while nothing of it was
// ordered: it is refused as "not run" as soon as it can't be in time, and later offers are released.
func TestReservedJobIsRefusedWhenLate(t *testing.T) {
	h := newFullHarness(t, 2)
	caller := h.submit(h.newJob("j", 2))
	h.advance(time.Duration(h.reservation(1).MaxWaitMs) * time.Millisecond)
	h.Expect(caller.answers).To(BeEmpty())
	seq := h.reservation(1).Seq
	h.advance(2 * time.Millisecond)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
	h.offer(1, seq)
	h.Expect(h.orderCount()).To(BeZero())
	h.Expect(h.out.releases[1]).To(ContainElement(seq))
}

// Guards against an offer that is taken for a task that can't be in time any more.
func TestLateOfferRefusesTheJob(t *testing.T) {
	h := newFullHarness(t, 2)
	caller := h.submit(h.newJob("j", 1))
	h.now = h.now.Add(time.Duration(h.reservation(1).MaxWaitMs+1) * time.Millisecond)
	h.offer(1, h.reservation(1).Seq)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
	h.Expect(h.orderCount()).To(BeZero())
}

// Guards against a begun job that is refused, or forgotten, when the reservations of its other task
// have expired: it is placed again and finished late, as orders are.
func TestBegunJobOutlivesItsReservations(t *testing.T) {
	h := newFullHarness(t, 2)
	caller := h.submit(h.newJob("j", 2))
	h.offer(1, h.out.reservations[1][0].Seq)
	h.Expect(h.orderCount()).To(Equal(1))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndDone, 0)
	n := len(h.out.reservations[1]) + len(h.out.reservations[2])
	h.advance(time.Duration(h.reservation(2).MaxWaitMs)*time.Millisecond + 2*reservationGrace)
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(len(h.out.reservations[1]) + len(h.out.reservations[2]) + h.orderCount() - 1).To(BeNumerically(">", n))
}

// Guards against capacity held, and a task started, for a caller that has disconnected.
func TestAbandonedJobReleasesItsReservations(t *testing.T) {
	h := newFullHarness(t, 2)
	h.submit(h.newJob("j", 1))
	h.Abandon(h.now, "j")
	h.Flush()
	for id := ConnID(1); id <= 2; id++ {
		h.Expect(h.out.releases[id]).To(ConsistOf(h.reservation(id).Seq))
		h.offer(id, h.reservation(id).Seq)
	}
	h.Expect(h.orderCount()).To(BeZero())
	again := h.submit(h.newJob("j", 1)) // no run of the earlier submission is open
	h.Expect(h.out.reservations[1]).To(HaveLen(2))
	h.Expect(again.answers).To(BeEmpty())
}

// Guards against a task that waits for agents that are gone, by the end of their session or by
// their own report: it waits for the other one, and is placed again when the last one is gone.
func TestTaskIsPlacedAgainAfterItsLastReservation(t *testing.T) {
	for name, lose := range map[string]func(h *harness, id ConnID){
		"session ends": func(h *harness, id ConnID) { h.Disconnect(h.now, id) },
		"leaving": func(h *harness, id ConnID) {
			l := h.fullLoad(30)
			l.Leaving = true
			h.Receive(h.now, id, &wire.LeasedToEntry{Load: l, Outcomes: []wire.RunOutcome{{Seq: h.reservation(id).Seq, End: wire.EndNotRun, Reason: wire.NotRunLeaving}}})
		},
		"evacuated, told by an offer": func(h *harness, id ConnID) {
			h.Evacuate(h.now, "a", false)
			h.offer(id, h.reservation(id).Seq)
			h.Evacuate(h.now, "a", true)
			h.Expect(h.out.releases[id]).NotTo(BeEmpty())
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newFullHarness(t, 2)
			caller := h.submit(h.newJob("j", 1))
			h.connect(3)
			lose(h, 1)
			h.Flush()
			h.Expect(h.orderCount()).To(BeZero())
			h.Expect(caller.answers).To(BeEmpty())
			if name == "evacuated, told by an offer" {
				h.Receive(h.now, 2, &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: h.reservation(2).Seq, End: wire.EndNotRun, Reason: wire.NotRunEvacuated}}})
			} else {
				lose(h, 2)
			}
			h.Flush()
			h.Expect(h.sentOrders()[3]).To(HaveLen(1))
			h.Expect(caller.answers).To(BeEmpty())
		})
	}
}

// Guards against a frame that an agent of an earlier build rejects, which would end its session: it
// gets orders with a predicted wait. The same holds with late binding off.
func TestAgentsWithoutReservationsGetOrders(t *testing.T) {
	for name, prepare := range map[string]func(h *harness){
		"earlier builds": func(h *harness) {
			for _, a := range h.agentsByAge {
				a.features = wire.BaseFeatures
			}
		},
		"switched off": (*harness).orderWaitingTasks,
	} {
		t.Run(name, func(t *testing.T) {
			h := newFullHarness(t, 3)
			prepare(h)
			h.submit(h.newJob("j", 2))
			h.Expect(h.orderCount()).To(Equal(2))
			for _, list := range h.out.reservations {
				h.Expect(list).To(BeEmpty())
			}
		})
	}
}

// Guards against a task that is returned again and again by targets that seem to have capacity:
// after the first return it is reserved.
func TestReturnedTaskIsReserved(t *testing.T) {
	h := newHarness(t, 3)
	h.options.Waiting = reservation.LateBinding
	h.submit(h.newJob("j", 1))
	for id := ConnID(1); id <= 3; id++ {
		for _, order := range h.sentOrders()[id] {
			h.reportOutcome(id, order.Seq, wire.EndNotRun, wire.NotRunWaitTooLong)
		}
	}
	h.Expect(h.orderCount()).To(Equal(1))
	h.Expect(h.reservation(1).Job).To(Equal("j"))
	h.Expect(h.Counts().Reservations).To(Equal(uint64(3)))
}

// Guards against a reserved task that waits, and an order whose run is judged, by an estimate that has
// been revised since: completions on two targets show that the job takes four times as long.
func TestReservedTaskFollowsTheRevisedEstimate(t *testing.T) {
	h := newHarness(t, 4)
	h.options.Waiting = reservation.LateBinding
	for id := ConnID(1); id <= 4; id++ {
		l := h.fullLoad(30)
		l.LastSeq = 0
		if id <= 2 {
			l.Free = h.idleLoad().Free
		}
		h.setLoad(id, l)
	}
	j := h.newJob("j", 5)
	j.Deadline = h.now.Add(20 * time.Second)
	h.submit(j)
	h.Expect(h.orderCount()).To(Equal(4), "two targets hold two tasks each")
	first := h.reservation(3)
	h.now = h.now.Add(110 * time.Millisecond)
	for id := ConnID(1); id <= 2; id++ {
		h.Receive(h.now, id, &wire.LeasedToEntry{Outcomes: []wire.RunOutcome{{Seq: h.sentOrders()[id][0].Seq, End: wire.EndDone, RunMs: 400}}})
	}
	for id := ConnID(1); id <= 4; id++ {
		h.setLoad(id, h.fullLoad(float64(40-10*(id/3)))) // targets 3 and 4 are the best
	}
	h.advance(time.Millisecond)
	l := h.jobs.byID["j"]
	h.Expect(l.level).To(BeNumerically("~", 4, 0.5))
	h.Expect(h.out.releases[3]).To(ContainElement(first.Seq))
	again := h.reservation(3)
	h.Expect(again.EstimateMs).To(BeNumerically("~", l.level*first.EstimateMs, 1))
	h.Expect(again.SlackMs).To(BeNumerically(">", first.SlackMs))
	h.offer(3, again.Seq)
	h.Expect(h.sentOrders()[3]).To(ConsistOf(HaveField("EstimateMs", again.EstimateMs)))
	for _, at := range h.agents[3].attempts {
		h.Expect(at.level).To(Equal(l.level))
		h.Expect(at.expectedRun).To(Equal(l.Steps[0].Estimate))
		h.Expect(at.firstExpectedTime()).To(BeNumerically("~", 100*time.Millisecond, 10*time.Millisecond))
	}
}

// Guards against a drain that ends before its reserved jobs, and a peer that takes more jobs than it
// may: a job of which only reservations exist is unanswered, until it is refused.
func TestReservedJobsAreUnanswered(t *testing.T) {
	h := newFullHarness(t, 2)
	h.submit(h.newJob("j", 2))
	h.Expect(h.orderCount()).To(BeZero())
	h.Expect(h.UnansweredJobs()).To(Equal(1))
	h.Expect(h.Knows(h.now, "j")).To(BeTrue(), "it must not be handed over")
	h.advance(time.Second)
	h.Expect(h.UnansweredJobs()).To(BeZero())
}

// Guards against reservations that cost a round trip each while the fleet has capacity, or by reports
// that are no longer fresh, and against orders with predicted waits while the fleet is short.
func TestTasksAreReservedWhileTheFleetIsShort(t *testing.T) {
	h := newHarness(t, 3)
	reserves := func(id string) bool {
		for conn := ConnID(1); conn <= 3; conn++ {
			h.setLoad(conn, h.fullLoad(30))
		}
		reservations, orders := h.Counts().Reservations, h.orderCount()
		caller := h.submit(h.newJob(id, 1))
		h.Expect(caller.answers).To(BeEmpty())
		h.Abandon(h.now, id)
		h.Flush()
		isReserved := h.Counts().Reservations > reservations
		h.Expect(h.orderCount() == orders).To(Equal(isReserved))
		return isReserved
	}
	report := func(queuedMilli int64) {
		for conn := ConnID(1); conn <= 3; conn++ {
			h.Receive(h.now, conn, &wire.LeasedToEntry{QueueLoads: []wire.QueueLoad{
				{Queue: queue.Name, InUseMilli: 10_000, QueuedMilli: queuedMilli, LateShare: 0.05, Tasks: 100}}})
		}
		h.advance(pressureInterval)
	}
	h.Expect(reserves("no reports")).To(BeFalse())
	report(10_000)
	h.Expect(reserves("short")).To(BeTrue())
	h.Expect(h.ShortFleets()).To(Equal(1))
	report(3000)
	h.Expect(reserves("nearly short: as before")).To(BeTrue())
	report(0)
	h.Expect(reserves("capacity")).To(BeFalse())
	report(3000)
	h.Expect(reserves("nearly short again: as before")).To(BeFalse())
	report(10_000)
	h.Expect(reserves("short again")).To(BeTrue())
	h.advance(2200 * time.Millisecond)
	h.Expect(reserves("old reports")).To(BeFalse())
	h.Expect(h.ShortFleets()).To(BeZero())
}
