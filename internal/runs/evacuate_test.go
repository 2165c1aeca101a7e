package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// evacuate evacuates the target's data centre, or lifts that.
func (w *world) evacuate(lifted bool) { w.Evacuate(w.now, "", lifted) }

// Guards against work that waits in an evacuated data centre until its caller has given up.
func TestWaitingOrdersComeBackAtOnceFromAnEvacuatedDataCentre(t *testing.T) {
	w := newWorld(t)
	for i := range 4 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.answer(0, Accepted)
	w.answer(1, Accepted)
	w.evacuate(false)
	w.Expect(w.outcomes(session)).To(And(
		HaveKeyWithValue(uint64(3), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunEvacuated))),
		HaveKeyWithValue(uint64(4), HaveField("Reason", wire.NotRunEvacuated)), HaveLen(2)), "what runs goes on")
	w.Expect(w.target.stops).To(BeEmpty())
}

// Guards against an order that was on its way when the evacuation was heard of.
func TestOrderThatArrivesInAnEvacuatedDataCentreDoesNotStart(t *testing.T) {
	w := newWorld(t)
	w.evacuate(false)
	w.order(session, 1, task("a", 0), 7)
	w.pass(time.Second)
	w.list()
	w.Expect(w.target.starts).To(BeEmpty())
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("Reason", wire.NotRunEvacuated)))
	w.evacuate(true)
	w.order(session, 2, task("b", 0), 8)
	w.Expect(w.target.starts).To(HaveLen(1), "tasks start again once it is lifted")
}

// Guards against a start that was not answered and is called again after the evacuation.
func TestUnansweredStartIsFencedInAnEvacuatedDataCentre(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.evacuate(false)
	w.answer(0, NoAnswer)
	w.Expect(w.target.starts).To(HaveLen(1))
	w.Expect(w.target.stops).To(HaveLen(1))
	w.Stopped(w.now, w.target.stops[0], Accepted)
	w.pass(time.Millisecond)
	w.list()
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunEvacuated))))
}

// Guards against work that starts on another life of a target after the evacuation.
func TestTargetBornInAnEvacuatedDataCentreGetsNothing(t *testing.T) {
	w := newWorld(t)
	w.evacuate(false)
	w.life = Incarnation{Name: "t-2", StartedMs: 2000}
	w.announce(1, false)
	w.list()
	w.order(session, 1, task("a", 0), 7)
	w.Expect(w.target.starts).To(BeEmpty())
}

// Guards against orders that wait for a target which turns out to be in an evacuated data
// centre.
func TestTargetThatMovesIntoAnEvacuatedDataCentre(t *testing.T) {
	w := newWorld(t)
	w.Evacuate(w.now, "b", false)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.Expect(w.target.starts).To(HaveLen(2))
	a := w.table().target
	a.Seq, a.DataCentre = a.Seq+1, "b"
	w.Announce(w.now, a)
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(3), HaveField("Reason", wire.NotRunEvacuated)))
}

// Guards against an entry that does not learn of an evacuation over the session on which it
// sends its orders.
func TestEvacuationsAreSentWithTheNextFrame(t *testing.T) {
	w := newWorld(t)
	w.Flush(w.now)
	statement := wire.Evacuation{DataCentre: "b", Offset: 3}
	w.QueueEvacuations(session, []wire.Evacuation{statement})
	w.Flush(w.now)
	frames := w.out.sent[session]
	w.Expect(frames[len(frames)-1].Evacuations).To(ConsistOf(statement))
}

func (w *world) table() *board { return w.Table.board }
