package dispatch

import (
	"testing"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
	. "github.com/onsi/gomega"
)

// newWarmingHarness returns an entry that has just started, without sessions.
func newWarmingHarness(t *testing.T) *harness {
	h := newHarness(t, 0)
	h.Tick(h.now)
	return h
}

// Guards against refusing what comes between the start of an entry and the first session: the job is
// answered once, by the target that connects.
func TestJobWaitsForTheFirstSession(t *testing.T) {
	h := newWarmingHarness(t)
	caller := h.submit(h.newJob("j", 2))
	h.advance(50 * time.Millisecond)
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.UnansweredJobs()).To(Equal(1))
	copied := h.submit(h.newJob("j", 2))
	h.connect(1)
	h.Flush()
	h.Expect(h.orderCount()).To(Equal(2))
	h.Expect(h.Counts().Accepted).To(Equal(uint64(1)))
	for _, order := range h.sentOrders()[1] {
		h.reportOutcome(1, order.Seq, wire.EndDone, wire.NotRunNone)
	}
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
	h.Expect(copied.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against a job that waits for ever, or is refused as possibly run, when no session comes.
func TestJobWithoutSessionIsRefusedAsNotRun(t *testing.T) {
	h := newWarmingHarness(t)
	caller := h.submit(h.newJob("j", 2))
	h.advance(time.Second)
	h.Expect(caller.answers).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Overloaded))))
	h.Expect(h.UnansweredJobs()).To(BeZero())
	h.Expect(h.Knows(h.now, "j")).To(BeFalse(), "it may be sent again")
	late := h.submit(h.newJob("k", 2))
	h.Expect(late.answers).To(HaveLen(1), "sessions are not expected any more")
}

// Guards against an entry that starts what its caller has left, or what came before a drain.
func TestWaitingJobEndsWithItsCallerAndWithADrain(t *testing.T) {
	h := newWarmingHarness(t)
	h.submit(h.newJob("a", 1))
	cancelled := h.submit(h.newJob("b", 1))
	drained := h.submit(h.newJob("c", 1))
	h.Abandon(h.now, "a")
	h.Expect(h.Cancel(h.now, "b")).To(BeTrue())
	h.Drain()
	h.advance(20 * time.Millisecond)
	h.connect(1)
	h.Flush()
	h.Expect(h.orderCount()).To(BeZero())
	h.Expect(cancelled.answers).To(HaveLen(1))
	h.Expect(drained.answers).To(ConsistOf(HaveField("Fault.Code", fault.Draining)))
}

// Guards against refusals while all sessions of an entry are dialled again after they were lost together.
func TestJobWaitsAfterTheLossOfAllSessions(t *testing.T) {
	h := newHarness(t, 2)
	h.advance(10 * time.Second)
	h.Disconnect(h.now, 1)
	h.Disconnect(h.now, 2)
	caller := h.submit(h.newJob("j", 1))
	h.Expect(caller.answers).To(BeEmpty())
	h.connect(3)
	h.Flush()
	h.Expect(h.orderCount()).To(Equal(1))
}
