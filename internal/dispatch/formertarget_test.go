package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/runtimes"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// replaceTarget makes the agent report another target, of the same capacity, with the load given.
func (h *harness) replaceTarget(id ConnID, l *wire.Load, outcomes ...wire.RunOutcome) {
	h.Receive(h.now, id, &wire.LeasedToEntry{
		Target: &wire.LeasedTarget{Name: "next", Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}},
		Load:   l, Outcomes: outcomes,
	})
	h.Flush()
}

// Guards against a job that is given up because its host has got another target, which does not answer:
// the one that runs the task goes on, and its work would be thrown away.
func TestRunOnAFormerTargetOutlastsTheNextOne(t *testing.T) {
	h := newHarness(t, 1)
	caller := h.submit(h.newJob("j", 1))
	down := h.idleLoad()
	down.Down = true
	h.replaceTarget(1, down)
	h.advance(2 * maxReturnWait)
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.out.recalls[1]).To(BeEmpty())
	h.reportOutcome(1, 1, wire.EndDone, 0)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against sound runs that are stopped because the next target of their host rejects work.
func TestRunOnAFormerTargetIsNotJudgedByTheNextOne(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(h.newJob("j", 1))
	rejecting := h.idleLoad()
	rejecting.Rejecting = true
	h.replaceTarget(1, rejecting)
	for range 15 {
		h.advance(20 * time.Millisecond) // past the limit at a target that rejects work, but not past the usual one
	}
	h.Expect(h.out.recalls[1]).To(BeEmpty())
	for range 15 {
		h.advance(20 * time.Millisecond)
	}
	h.Expect(h.Counts().RunsJudgedHung).To(BeEquivalentTo(1))
	h.Expect(h.agents[1].hungShare).To(Equal(runtimes.HungShare{}), "it hung on the former target")
}

// Guards against estimates that are corrected by the speed of another target than the one that ran the task.
func TestRunTimeOnAFormerTargetTeachesNothing(t *testing.T) {
	h := newHarness(t, 1)
	for _, ms := range []time.Duration{50, 100, 200, 400} {
		j := h.newJob(ms.String(), 1)
		j.Steps[0].Estimate = ms * time.Millisecond
		h.submit(j)
	}
	before := h.calibration("q").Reliability()
	var outcomes []wire.RunOutcome
	for _, order := range h.sentOrders()[1] {
		outcomes = append(outcomes, wire.RunOutcome{Seq: order.Seq, End: wire.EndDone, RunMs: 100})
	}
	slow := h.idleLoad()
	slow.Speed = 0.25
	h.replaceTarget(1, slow, outcomes...)
	h.Expect(h.Counts().Complete).To(BeEquivalentTo(len(outcomes)))
	h.Expect(h.calibration("q").Reliability()).To(Equal(before))
}

// Guards against a task that avoids the next target of a host because it failed on the former one.
func TestFailureOnAFormerTargetDoesNotCountAgainstTheNextOne(t *testing.T) {
	h := newHarness(t, 2)
	h.orderWaitingTasks()
	h.setLoad(2, h.fullLoad(50))
	h.submit(h.newJob("j", 1))
	h.replaceTarget(1, h.idleLoad(), wire.RunOutcome{Seq: 1, End: wire.EndFailed})
	h.Expect(h.sentOrders()[1]).To(HaveLen(2), "it can start there at once")
	h.reportOutcome(1, 2, wire.EndFailed, 0)
	h.Expect(h.Counts().Failed).To(BeEquivalentTo(1), "it counts for the task")
}
