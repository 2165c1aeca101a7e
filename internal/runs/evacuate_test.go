package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// evacuate evacuates the target's data centre, or lifts the evacuation.
func (h *harness) evacuate(lifted bool) { h.Evacuate(h.now, "", lifted) }

// Guards against orders that stay queued in an evacuated data centre until their callers have
// given up.
func TestQueuedOrdersAreReturnedAtOnceFromAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	for i := range 4 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.answerStart(0, Accepted)
	h.answerStart(1, Accepted)
	h.evacuate(false)
	h.Expect(h.outcomes(testConn)).To(And(
		HaveKeyWithValue(uint64(3), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunEvacuated))),
		HaveKeyWithValue(uint64(4), HaveField("Reason", wire.NotRunEvacuated)), HaveLen(2)), "runs in progress continue")
	h.Expect(h.target.stops).To(BeEmpty())
}

// Guards against starting an order that was in transit when the evacuation arrived.
func TestOrderThatArrivesInAnEvacuatedDataCentreDoesNotStart(t *testing.T) {
	h := newHarness(t)
	h.evacuate(false)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.advance(time.Second)
	h.renewWith()
	h.Expect(h.target.starts).To(BeEmpty())
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("Reason", wire.NotRunEvacuated)))
	h.evacuate(true)
	h.sendOrder(testConn, 2, task("b", 0), 8)
	h.Expect(h.target.starts).To(HaveLen(1), "tasks start again once it is lifted")
}

// Guards against repeating an unanswered start after the evacuation.
func TestUnansweredStartIsFencedInAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.evacuate(false)
	h.answerStart(0, NoAnswer)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.target.stops).To(HaveLen(1))
	h.Stopped(h.now, h.target.stops[0], Accepted)
	h.advance(time.Millisecond)
	h.renewWith()
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunEvacuated))))
}

// Guards against work that starts on another incarnation of a target after the evacuation.
func TestNewIncarnationInAnEvacuatedDataCentreStartsNothing(t *testing.T) {
	h := newHarness(t)
	h.evacuate(false)
	h.incarnation = Incarnation{Name: "t-2", StartedMs: 2000}
	h.announce(1, false)
	h.renewWith()
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Expect(h.target.starts).To(BeEmpty())
}

// Guards against orders that stay queued for a target which turns out to be in an evacuated data
// centre.
func TestTargetThatMovesIntoAnEvacuatedDataCentre(t *testing.T) {
	h := newHarness(t)
	h.Evacuate(h.now, "b", false)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.Expect(h.target.starts).To(HaveLen(2))
	announcement := h.table().target
	announcement.Seq, announcement.DataCentre = announcement.Seq+1, "b"
	h.Announce(h.now, announcement)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(3), HaveField("Reason", wire.NotRunEvacuated)))
}

// Guards against an evacuation that is not sent to an entry over the session on which the entry
// sends its orders.
func TestEvacuationsAreSentWithTheNextFrame(t *testing.T) {
	h := newHarness(t)
	h.Flush(h.now)
	statement := wire.Evacuation{DataCentre: "b", Offset: 3}
	h.QueueEvacuations(testConn, []wire.Evacuation{statement})
	h.Flush(h.now)
	frames := h.outbox.sent[testConn]
	h.Expect(frames[len(frames)-1].Evacuations).To(ConsistOf(statement))
}

func (h *harness) table() *tableState { return h.Table.tableState }
