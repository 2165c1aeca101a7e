package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// newTwoDataCentreHarness returns a harness with an agent in data centre "a" and one in "b".
func newTwoDataCentreHarness(t *testing.T) *harness {
	h := newHarness(t, 1)
	h.Connect(h.now, 2, &wire.Hello{Worker: "host-b", DataCentre: "b"}, wire.DescribedFeatures)
	h.Receive(h.now, 2, &wire.LeasedToEntry{
		Target: &wire.LeasedTarget{Name: "t-b", Service: "s", Capacity: h.idleLoad().Free}, Load: h.idleLoad(),
	})
	return h
}

// Guards against orders to targets of an evacuated data centre.
func TestNothingIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	h := newTwoDataCentreHarness(t)
	h.Evacuate(h.now, "a", false)
	h.submit(h.newJob("1", 2))
	h.Expect(h.sentOrders()[1]).To(BeEmpty())
	h.Expect(h.sentOrders()[2]).To(HaveLen(2))
	h.Evacuate(h.now, "a", true)
	h.submit(h.newJob("2", 2))
	h.Expect(h.sentOrders()[1]).NotTo(BeEmpty(), "tasks are placed there again once the evacuation is lifted")
}

// Guards against a task that waits in an evacuated data centre and is lost or late. It is
// placed elsewhere as soon as its agent returns it.
func TestTaskReturnedFromAnEvacuatedDataCentreIsPlacedElsewhere(t *testing.T) {
	h := newTwoDataCentreHarness(t)
	h.setLoad(2, h.fullLoad(1000))
	caller := h.submit(h.newJob("1", 1))
	h.Expect(h.sentOrders()[1]).To(HaveLen(1))
	h.setLoad(2, h.idleLoad())
	h.Evacuate(h.now, "a", false)
	h.reportOutcome(1, 1, wire.EndNotRun, wire.NotRunEvacuated)
	h.Expect(h.sentOrders()[2]).To(HaveLen(1))
	h.reportOutcome(2, 1, wire.EndDone, wire.NotRunNone)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against a caller that waits until its deadline, or gets another fault, while its job
// may run in no data centre.
func TestJobIsRefusedAtOnceWhereEverythingIsEvacuated(t *testing.T) {
	h := newTwoDataCentreHarness(t)
	h.Evacuate(h.now, "a", false)
	h.Evacuate(h.now, "b", false)
	caller := h.submit(h.newJob("1", 1))
	h.Expect(caller.answers).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Evacuated),
		HaveField("RetryAfter", BeNumerically(">", time.Second)))))
	h.Expect(h.UsableAgents()).To(Equal(2), "the entry can serve as soon as one evacuation is lifted")
}

// Guards against an entry that counts the capacity of an evacuated data centre and therefore
// admits jobs that can only be late.
func TestCapacityOfAnEvacuatedDataCentreIsNotCounted(t *testing.T) {
	h := newTwoDataCentreHarness(t)
	h.setLoad(2, h.fullLoad(1000))
	h.Evacuate(h.now, "a", false)
	caller := h.submit(h.newJob("1", 1))
	h.Expect(caller.answers).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Overloaded))))
	h.Expect(h.orderCount()).To(BeZero())
}
