package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against a task on a target that it was not placed for: its agent can only tell by the description that the
// order states.
func TestOrdersStateTheDescriptionThatTheyWerePlacedBy(t *testing.T) {
	h := newHarness(t, 1)
	describe := func(number uint64) {
		h.Receive(h.now, 1, &wire.LeasedToEntry{Target: &wire.LeasedTarget{Name: "tb", Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, Number: number}})
	}
	describe(4)
	h.Submit(h.now, h.newJob("a", 1), &Caller{}, func(Answer) {})
	describe(5) // before the order is sent
	h.submit(h.newJob("b", 1))
	h.Expect(h.sentOrders()[1]).To(HaveExactElements(And(HaveField("Job", "a"), HaveField("Description", uint64(4))), And(HaveField("Job", "b"), HaveField("Description", uint64(5)))))
	h.reportOutcome(1, 1, wire.EndNotRun, wire.NotRunOtherTarget)
	h.Expect(h.sentOrders()[1]).To(ContainElement(And(HaveField("Job", "a"), HaveField("Description", uint64(5)))))
}

// Guards against the same for reservations.
func TestReservationsStateTheDescriptionThatTheyWerePlacedBy(t *testing.T) {
	h := newFullHarness(t, 4)
	for id := ConnID(1); id <= 4; id++ {
		h.Receive(h.now, id, &wire.LeasedToEntry{Target: &wire.LeasedTarget{Name: "t", Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, Number: 4}})
	}
	h.submit(h.newJob("a", 1))
	h.Expect(h.out.reservations).NotTo(BeEmpty())
	for id := range h.out.reservations {
		h.Expect(h.reservation(id).Description).To(Equal(uint64(4)))
	}
}

// Guards against a session that an agent of an earlier build ends: it rejects the frames of entries that state a
// description.
func TestOrdersForAnEarlierBuildStateNoDescription(t *testing.T) {
	h := newHarness(t, 0)
	h.Connect(h.now, 1, &wire.Hello{Worker: "w", DataCentre: "a"}, wire.ExtendedFeatures)
	h.Receive(h.now, 1, &wire.LeasedToEntry{Load: h.idleLoad(), Target: &wire.LeasedTarget{Name: "t", Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}}})
	h.submit(h.newJob("a", 1))
	h.Expect(h.sentOrders()[1]).To(HaveExactElements(HaveField("Description", uint64(0))))
}
