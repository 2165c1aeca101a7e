package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// twoPlaces is a world with an agent in data centre "a" and one in "b".
func twoPlaces(t *testing.T) *world {
	w := newWorld(t, 1)
	w.Connect(w.now, 2, &wire.Hello{Worker: "host-b", DataCentre: "b"})
	w.Receive(w.now, 2, &wire.LeasedToEntry{
		Target: &wire.LeasedTarget{Name: "t-b", Service: "s", Capacity: w.idle().Free}, Load: w.idle(),
	})
	return w
}

// Guards against orders to targets of an evacuated data centre.
func TestNothingIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	w := twoPlaces(t)
	w.Evacuate(w.now, "a", false)
	w.submit(w.newJob("1", 2))
	w.Expect(w.sent()[1]).To(BeEmpty())
	w.Expect(w.sent()[2]).To(HaveLen(2))
	w.Evacuate(w.now, "a", true)
	w.submit(w.newJob("2", 2))
	w.Expect(w.sent()[1]).NotTo(BeEmpty(), "work goes there again once it is lifted")
}

// Guards against a task that waits in an evacuated data centre and is lost or late: it goes
// elsewhere in the moment in which it comes back.
func TestTaskThatComesBackFromAnEvacuatedDataCentreGoesElsewhere(t *testing.T) {
	w := twoPlaces(t)
	w.load(2, w.full(1000))
	caller := w.submit(w.newJob("1", 1))
	w.Expect(w.sent()[1]).To(HaveLen(1))
	w.load(2, w.idle())
	w.Evacuate(w.now, "a", false)
	w.end(1, 1, wire.EndNotRun, wire.NotRunEvacuated)
	w.Expect(w.sent()[2]).To(HaveLen(1))
	w.end(2, 1, wire.EndDone, wire.NotRunNone)
	w.Expect(caller.got).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against a caller that waits until its deadline, or is told something else, while
// there is no data centre in which its job may run.
func TestJobIsRefusedAtOnceWhereEverythingIsEvacuated(t *testing.T) {
	w := twoPlaces(t)
	w.Evacuate(w.now, "a", false)
	w.Evacuate(w.now, "b", false)
	caller := w.submit(w.newJob("1", 1))
	w.Expect(caller.got).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Evacuated),
		HaveField("RetryAfter", BeNumerically(">", time.Second)))))
	w.Expect(w.UsableAgents()).To(Equal(2), "the entry can serve as soon as one is lifted")
}

// Guards against an entry that reckons with the room of an evacuated data centre and lets in
// what can only be late.
func TestRoomOfAnEvacuatedDataCentreIsNotCounted(t *testing.T) {
	w := twoPlaces(t)
	w.load(2, w.full(1000))
	w.Evacuate(w.now, "a", false)
	caller := w.submit(w.newJob("1", 1))
	w.Expect(caller.got).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Overloaded))))
	w.Expect(w.orders()).To(BeZero())
}
