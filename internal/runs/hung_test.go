package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// runTask runs one task of 100 ms on the target; one that hangs is recalled after 460 ms.
func (h *harness) runTask(seq uint64, hangs bool) {
	h.sendOrder(testConn, seq, task("a", int(seq)), seq)
	n := len(h.target.starts) - 1
	h.answerStart(n, Accepted)
	run := h.target.starts[n].Run
	if !hangs {
		h.now = h.now.Add(100 * time.Millisecond)
		h.renewWithEnds([]EndedRun{h.nextEnd(run, Done)})
		return
	}
	h.now = h.now.Add(460 * time.Millisecond)
	h.renewWith(run)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{seq}})
	h.renewWithEnds([]EndedRun{h.nextEnd(run, Stopped)})
}

// Guards against a target that hangs some of its tasks and gets work as if it were healthy.
func TestTargetThatHangsSomeTasksIsRatedSlow(t *testing.T) {
	h := newHarness(t)
	seq := uint64(0)
	next := func(hangs bool) {
		seq++
		h.runTask(seq, hangs)
	}
	for range 40 {
		next(false)
	}
	healthySpeed := h.currentLoad().Speed
	for range 4 {
		next(false)
		next(false)
		next(true)
	}
	h.Expect(h.currentLoad().Speed).To(BeNumerically("<", 0.65*healthySpeed), "one in three hangs")
	for range 20 {
		next(false)
	}
	h.Expect(h.currentLoad().Speed).To(BeNumerically(">", 0.8*healthySpeed), "it has recovered")
}

// Guards against rating a target as slow because callers leave early.
func TestEarlyStopDoesNotChangeTheRating(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	before := h.health
	h.now = h.now.Add(200 * time.Millisecond)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{1}})
	h.renewWithEnds([]EndedRun{h.nextEnd(h.target.starts[0].Run, Stopped)})
	h.Expect(h.health).To(Equal(before))
}
