package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// emptyLoad returns the load of a target on which all orders sent so far have ended.
func (h *harness) emptyLoad() *wire.Load {
	l := h.idleLoad()
	l.LastSeq = 1 << 40
	return l
}

// completeLate submits n jobs of one task, one after the other, and completes each of them
// late.
func (h *harness) completeLate(n int) {
	for i := range n {
		h.setLoad(1, h.emptyLoad())
		h.submit(h.newJob("late"+string(rune('a'+i)), 1))
		seq := h.agents[1].nextSeq
		h.now = h.now.Add(queue.Objective(h.newJob("", 1).Steps[0].Estimate) * 3 / 2)
		h.reportOutcome(1, seq, wire.EndDone, wire.NotRunNone)
	}
}

// Guards against an overload in which each prediction is too early, so that every admitted job
// is late and no caller is served in time. Jobs that can start at once are still admitted.
func TestJobsThatMustWaitAreRefusedWhileOthersAreLate(t *testing.T) {
	h := newHarness(t, 1)
	h.setLoad(1, h.fullLoad(70))
	h.Expect(h.submit(h.newJob("before", 1)).answers).To(BeEmpty())
	h.reportOutcome(1, 1, wire.EndDone, wire.NotRunNone)
	h.completeLate(20)
	h.setLoad(1, h.fullLoad(70))
	h.Expect(h.submit(h.newJob("waits", 1)).answers).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
	h.setLoad(1, h.emptyLoad())
	h.Expect(h.submit(h.newJob("starts", 1)).answers).To(BeEmpty())
}
