package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// runOne runs one task of 100 ms on the target; one that hangs is recalled after 460 ms.
func (w *world) runOne(seq uint64, hangs bool) {
	w.order(session, seq, task("a", int(seq)), seq)
	n := len(w.target.starts) - 1
	w.answer(n, Accepted)
	run := w.target.starts[n].Run
	if !hangs {
		w.now = w.now.Add(100 * time.Millisecond)
		w.listEnds([]EndedRun{w.end(run, Done)})
		return
	}
	w.now = w.now.Add(460 * time.Millisecond)
	w.list(run)
	w.Receive(w.now, session, &wire.LeasedToAgent{Recalls: []uint64{seq}})
	w.listEnds([]EndedRun{w.end(run, Stopped)})
}

// Guards against a target that hangs a part of its tasks getting work as if it were well.
func TestTargetThatHangsAPartIsReckonedSlow(t *testing.T) {
	w := newWorld(t)
	seq := uint64(0)
	next := func(hangs bool) {
		seq++
		w.runOne(seq, hangs)
	}
	for range 40 {
		next(false)
	}
	well := w.load().Speed
	for range 4 {
		next(false)
		next(false)
		next(true)
	}
	w.Expect(w.load().Speed).To(BeNumerically("<", 0.65*well), "one in three hangs")
	for range 20 {
		next(false)
	}
	w.Expect(w.load().Speed).To(BeNumerically(">", 0.8*well), "it is well again")
}

// Guards against a target being reckoned slow for callers who leave early.
func TestEarlyStopSaysNothingOfItsTarget(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	before := w.health
	w.now = w.now.Add(200 * time.Millisecond)
	w.Receive(w.now, session, &wire.LeasedToAgent{Recalls: []uint64{1}})
	w.listEnds([]EndedRun{w.end(w.target.starts[0].Run, Stopped)})
	w.Expect(w.health).To(Equal(before))
}
