package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// runTasks starts and ends a task of the first session every 20 ms for the duration d, and
// returns the number of frames that each session was sent.
func (h *harness) runTasks(d time.Duration) map[ConnID]int {
	for until := h.now.Add(d); h.now.Before(until); {
		seq := h.lastEnd + 1
		id := RunID{task("j", int(seq)), seq}
		h.sendOrder(testConn, seq, id.Task, seq)
		h.Started(h.now, h.target.starts[len(h.target.starts)-1], Accepted, 60_000)
		h.Flush(h.now)
		h.advance(10 * time.Millisecond)
		h.Flush(h.now)
		h.renewWithEnds([]EndedRun{h.nextEnd(id, Done)})
		h.advance(9 * time.Millisecond)
		h.Flush(h.now)
	}
	frames := map[ConnID]int{}
	for conn, sent := range h.outbox.sent {
		frames[conn] = len(sent)
	}
	return frames
}

// Callers reach one entry of twelve; the others have sessions but place no tasks. When each start
// and each end cost a frame to every one of them, the runners of a large fleet spent more on
// reports than on work, and small entry hosts had no processor time left to answer with.
func TestEntriesWithoutCallersCostFewReports(t *testing.T) {
	h := newHarness(t)
	for conn := ConnID(2); conn <= 12; conn++ {
		h.Connect(h.now, conn, wire.DescribedFeatures)
	}
	h.runTasks(3 * time.Second)
	clear(h.outbox.sent)
	frames := h.runTasks(3 * time.Second)
	h.Expect(frames[testConn]).To(BeNumerically(">=", 150), "the entry that sends orders gets a report of each end at least")
	for conn := ConnID(2); conn <= 12; conn++ {
		h.Expect(frames[conn]).To(BeNumerically("~", 10, 2))
	}
}

// An entry on a small host has asked for a report every 60 ms. It gets no more of them, but an
// outcome is sent at once, and so is the report that the target is unreachable.
func TestLoadReportsKeepTheRequestedInterval(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.Receive(h.now, 2, &wire.LeasedToAgent{LoadIntervalMs: 60})
	h.Flush(h.now)
	clear(h.outbox.sent)
	frames := h.runTasks(1200 * time.Millisecond)
	h.Expect(frames[2]).To(BeNumerically("~", 20, 2))

	before := len(h.outbox.sent[2])
	h.loseRenewals(8, 40*time.Millisecond, Unresponsive)
	h.Flush(h.now)
	h.Expect(h.outbox.sent[2]).To(HaveLen(before + 1))
	h.Expect(h.outbox.sent[2][before].Load.Down).To(BeTrue())
}

// A runner changes to another entry while the one that it leaves has a task running there and an
// order in transit. The end of the task is reported, the order is returned as not run, and only
// then is the session closed, so that callers notice nothing.
func TestRetiredSessionClosesAfterItsRuns(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.Retire(h.now, testConn)
	h.Flush(h.now)
	frames := h.outbox.sent[testConn]
	h.Expect(frames[len(frames)-1].Load.Leaving).To(BeTrue())
	h.sendOrder(testConn, 2, task("b", 0), 8)
	h.advance(2 * retireDelay)
	h.Expect(h.outbox.closed).To(BeEmpty())
	h.renewWithEnds([]EndedRun{h.nextEnd(RunID{task("a", 0), 7}, Done)})
	h.advance(retireDelay - time.Millisecond)
	h.Expect(h.outbox.closed).To(BeEmpty(), "the outcome may be in transit")
	h.advance(time.Millisecond)
	h.Expect(h.outbox.closed).To(Equal([]ConnID{testConn}))
	outcomes := h.outcomes(testConn)
	h.Expect(outcomes[1].End).To(Equal(wire.EndDone))
	h.Expect(outcomes[2]).To(Equal(wire.RunOutcome{Seq: 2, End: wire.EndNotRun, Reason: wire.NotRunLeaving}))
}
