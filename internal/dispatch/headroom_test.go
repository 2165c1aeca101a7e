package dispatch

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// empty is the load of a target on which nothing is left of what was sent.
func (w *world) empty() *wire.Load {
	l := w.idle()
	l.Seen = 1 << 40
	return l
}

// lateJobs lets jobs of one task come late, one after the other.
func (w *world) lateJobs(n int) {
	for i := range n {
		w.load(1, w.empty())
		w.submit(w.newJob("late"+string(rune('a'+i)), 1))
		seq := w.agents[1].nextSeq
		w.now = w.now.Add(queue.Objective(w.newJob("", 1).Steps[0].Estimate) * 3 / 2)
		w.end(1, seq, wire.EndDone, wire.NotRunNone)
	}
}

// Guards against an overload in which each prediction is too early: whatever is let in comes late,
// and nobody is served. What finds room is let in nevertheless.
func TestJobsThatMustWaitAreRefusedWhileOthersComeLate(t *testing.T) {
	w := newWorld(t, 1)
	w.load(1, w.full(70))
	w.Expect(w.submit(w.newJob("before", 1)).got).To(BeEmpty())
	w.end(1, 1, wire.EndDone, wire.NotRunNone)
	w.lateJobs(20)
	w.load(1, w.full(70))
	w.Expect(w.submit(w.newJob("waits", 1)).got).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
	w.load(1, w.empty())
	w.Expect(w.submit(w.newJob("starts", 1)).got).To(BeEmpty())
}
