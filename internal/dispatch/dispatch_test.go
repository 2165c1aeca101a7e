package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards the normal course of a job: its tasks are placed immediately, spread over the
// targets, and the caller is answered when the last one ends.
func TestJobIsAnsweredAfterItsLastTask(t *testing.T) {
	h := newHarness(t, 3)
	caller := h.submit(h.newJob("j", 3))
	h.Expect(h.orderCount()).To(Equal(3))
	for id, list := range h.sentOrders() {
		h.Expect(list).To(HaveLen(1), "one task per target")
		h.Expect(caller.answers).To(BeEmpty())
		h.reportOutcome(id, list[0].Seq, wire.EndDone, 0)
	}
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against a job that no target can complete within its objective: admitted, it
// would be late and delay others; held back, its caller would wait in vain. It must be
// refused immediately with a retry delay, and no order of it may be sent.
func TestJobThatWouldBeLateIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.setLoad(1, h.fullLoad(500))
	h.setLoad(2, h.fullLoad(500))
	caller := h.submit(h.newJob("j", 2))
	h.Expect(caller.answers).To(HaveLen(1))
	h.Expect(caller.answers[0].Kind).To(Equal(AnswerNotRun))
	h.Expect(caller.answers[0].Fault.Code).To(Equal(fault.Overloaded))
	h.Expect(caller.answers[0].RetryAfter).To(BeNumerically(">=", time.Second))
	h.Expect(h.orderCount()).To(Equal(0))
}

// Guards against a premature "not run": the targets become slow after the admission of a
// job, and its tasks are returned unstarted. If the caller were answered before every
// order is proved not to have run, a task could still start and make the answer false.
func TestNotRunIsAnsweredOnlyAfterProofForEveryOrder(t *testing.T) {
	h := newHarness(t, 2)
	h.setLoad(1, h.fullLoad(30)) // the tasks wait
	h.setLoad(2, h.fullLoad(30))
	caller := h.submit(h.newJob("j", 2))
	one, two := h.sentOrders()[1][0], h.sentOrders()[2][0]
	h.reportOutcome(1, one.Seq, wire.EndNotRun, wire.NotRunExpired)
	h.Expect(caller.answers).To(BeEmpty(), "the other order may be running")
	h.Expect(h.out.recalls[2]).To(ConsistOf(two.Seq))
	h.reportOutcome(2, two.Seq, wire.EndNotRun, wire.NotRunRecalled)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
}

// Guards against a false "not run" for a job of which one task had started when it was
// given up: the caller would send a confirmation again that has already been billed.
func TestNotRunIsNotAnsweredForAJobThatBegan(t *testing.T) {
	h := newHarness(t, 2)
	h.setLoad(1, h.fullLoad(30)) // the tasks wait
	h.setLoad(2, h.fullLoad(30))
	caller := h.submit(h.newJob("j", 2))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndNotRun, wire.NotRunExpired)
	h.reportOutcome(2, h.sentOrders()[2][0].Seq, wire.EndStopped, 0)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// Guards against a caller that waits for the proof of "not run" of an agent that hangs.
func TestMissingProofMakesTheOutcomeUnknown(t *testing.T) {
	h := newHarness(t, 2)
	h.setLoad(1, h.fullLoad(30)) // the tasks wait
	h.setLoad(2, h.fullLoad(30))
	caller := h.submit(h.newJob("j", 2))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndNotRun, wire.NotRunExpired)
	h.advance(2 * maxProofWait)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// Guards against a job that is answered as failed too early: a task that failed is tried on
// another target until it has failed the maximum number of times of its queue. Ends without
// a result don't count, so that a job does not fail because a target was withdrawn.
func TestJobFailsOnlyAfterMaxAttempts(t *testing.T) {
	h := newHarness(t, 2)
	caller := h.submit(h.newJob("j", 1))
	first := ConnID(1)
	if len(h.sentOrders()[1]) == 0 {
		first = 2
	}
	other := 3 - first
	h.reportOutcome(first, h.sentOrders()[first][0].Seq, wire.EndStopped, 0)
	h.reportOutcome(first, h.sentOrders()[first][0].Seq, wire.EndStopped, 0) // a repeated report
	h.Expect(h.orderCount()).To(Equal(2))
	placedOn := first
	if len(h.sentOrders()[first]) == 1 {
		placedOn = other
	}
	h.reportOutcome(placedOn, h.sentOrders()[placedOn][len(h.sentOrders()[placedOn])-1].Seq, wire.EndFailed, 0)
	h.Expect(caller.answers).To(BeEmpty())
	next := 3 - placedOn
	h.Expect(h.orderCount()).To(Equal(3))
	h.reportOutcome(next, h.sentOrders()[next][len(h.sentOrders()[next])-1].Seq, wire.EndFailed, 0)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerFailed)))
}

// Guards against runs that continue after the caller has disconnected. It may send the job
// to another entry in 1.3 s, so the orders are recalled immediately.
func TestWorkIsRecalledWhenTheCallerDisconnects(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(h.newJob("j", 2))
	h.Abandon(h.now, "j")
	h.Flush()
	h.Expect(h.out.recalls).To(And(HaveKeyWithValue(ConnID(1), HaveLen(1)), HaveKeyWithValue(ConnID(2), HaveLen(1))))
}

// Guards against a task that runs twice at once: a job is sent again to the same entry while
// its earlier runs are being stopped. It runs from the start, but only once those are over.
func TestResubmittedJobWaitsForEarlierRunsToEnd(t *testing.T) {
	h := newHarness(t, 2)
	h.submit(h.newJob("j", 2))
	h.Abandon(h.now, "j")
	again := h.submit(h.newJob("j", 2))
	h.Expect(h.orderCount()).To(Equal(2))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndStopped, 0)
	h.Expect(h.orderCount()).To(Equal(2))
	h.reportOutcome(2, h.sentOrders()[2][0].Seq, wire.EndStopped, 0)
	h.Expect(h.orderCount()).To(Equal(4))
	h.Expect(again.answers).To(BeEmpty())
	for id, list := range h.sentOrders() {
		h.Expect(list[1].RunNumber).To(BeNumerically(">", list[0].RunNumber), "agent %d", id)
	}
}

// Guards against a job that runs again because a copy of its request arrives seconds after
// the answer. The copy gets the same answer.
func TestDuplicateRequestGetsTheSameAnswer(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(h.newJob("j", 1))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndDone, 0)
	h.advance(3 * time.Second)
	again := h.submit(h.newJob("j", 1))
	h.Expect(again.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
	h.Expect(h.orderCount()).To(Equal(1))
}

// Guards against a task that runs twice at once after its host is lost. The caller is
// answered immediately with an unknown outcome. When it sends the job again, the job starts
// only after the lease of the lost run has certainly expired.
func TestResubmittedJobWaitsForTheLeaseOfALostHost(t *testing.T) {
	h := newHarness(t, 2)
	caller := h.submit(h.newJob("j", 1))
	lost := ConnID(1)
	if len(h.sentOrders()[1]) == 0 {
		lost = 2
	}
	h.Disconnect(h.now, lost)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
	h.submit(h.newJob("j", 1))
	h.advance(900 * time.Millisecond)
	h.Expect(h.orderCount()).To(Equal(1))
	h.advance(300 * time.Millisecond)
	h.Expect(h.orderCount()).To(Equal(2))
}

// Guards against orders to a target after its agent has reported that it is leaving, down
// or rejecting starts.
func TestNothingIsPlacedOnAnUnavailableTarget(t *testing.T) {
	for name, change := range map[string]func(*wire.Load){
		"leaving":   func(l *wire.Load) { l.Leaving = true },
		"down":      func(l *wire.Load) { l.Down = true },
		"rejecting": func(l *wire.Load) { l.Rejecting = true },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			l := h.idleLoad()
			change(l)
			h.setLoad(1, l)
			h.submit(h.newJob("j", 4))
			h.Expect(h.sentOrders()[1]).To(BeEmpty())
			h.Expect(h.sentOrders()[2]).To(HaveLen(4))
		})
	}
}

// Guards the constraints of placement: a required label, a limit of one task per target, and
// the capacity. A job that no target can hold is refused immediately.
func TestPlacementHonoursConstraints(t *testing.T) {
	h := newHarness(t, 3)
	h.Receive(h.now, 2, &wire.LeasedToEntry{Target: &wire.LeasedTarget{Name: "tb", Service: "s", Labels: []string{"big"},
		Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}}})
	j := h.newJob("label", 2)
	j.Steps[0].Label = "big"
	h.submit(j)
	h.Expect(h.sentOrders()[2]).To(HaveLen(2))
	j = h.newJob("apart", 3)
	j.Steps[0].MaxPerTarget = 1
	h.submit(j)
	h.Expect(h.sentOrders()[1]).To(HaveLen(1))
	h.Expect(h.sentOrders()[3]).To(HaveLen(1))
	j = h.newJob("large", 1)
	j.Steps[0].Demand.CPUMilli = 11_000
	h.Expect(h.submit(j).answers).To(ConsistOf(HaveField("Fault.Code", fault.NeverRunnable)))
}

// Guards against a step that starts before the steps that it depends on are done, or not at
// all.
func TestStepStartsAfterItsDependencies(t *testing.T) {
	h := newHarness(t, 1)
	j := h.newJob("j", 1)
	j.Steps = append(j.Steps, Step{Count: 1, Demand: job.Demand{CPUMilli: 1000}, Estimate: 50 * time.Millisecond, DependsOn: []int{0}})
	caller := h.submit(j)
	h.Expect(h.orderCount()).To(Equal(1))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndDone, 0)
	h.Expect(h.sentOrders()[1]).To(HaveLen(2))
	h.Expect(h.sentOrders()[1][1].Step).To(Equal(1))
	h.reportOutcome(1, h.sentOrders()[1][1].Seq, wire.EndDone, 0)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against jobs that all go to the one target that looked best: an entry places many
// within the few milliseconds in which its loads are out of date. It must subtract its own
// orders that the loads do not include yet.
func TestOwnOrdersCountBeforeTheLoadShowsThem(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 4 {
		h.submit(h.newJob(string(rune('a'+i)), 2))
	}
	for id := ConnID(1); id <= 4; id++ {
		h.Expect(h.sentOrders()[id]).To(HaveLen(2), "agent %d", id)
	}
}

// Guards the drain of an entry: it completes the jobs that it has and refuses new ones as
// not run.
func TestDrainRefusesNewJobs(t *testing.T) {
	h := newHarness(t, 1)
	caller := h.submit(h.newJob("old", 1))
	h.Drain()
	h.Expect(h.submit(h.newJob("new", 1)).answers).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Draining))))
	h.reportOutcome(1, h.sentOrders()[1][0].Seq, wire.EndDone, 0)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against work that continues past the deadline of its caller.
func TestJobEndsAtTheCallersDeadline(t *testing.T) {
	h := newHarness(t, 1)
	caller := h.submit(h.newJob("j", 1))
	h.advance(2 * time.Second)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
	h.Expect(h.out.recalls[1]).To(HaveLen(1))
}

// Guards against a task that makes no progress on a target that answers all calls: its caller
// would wait until its deadline with everything else done. The task is stopped and runs
// elsewhere, but does not start there before the stop is reported.
func TestOverdueTaskRunsElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	caller := h.submit(h.newJob("j", 1))
	placedOn := ConnID(1)
	if len(h.sentOrders()[1]) == 0 {
		placedOn = 2
	}
	l := h.idleLoad()
	l.Rejecting, l.LastSeq = true, 1
	h.setLoad(placedOn, l)
	for range 20 {
		h.advance(20 * time.Millisecond)
	}
	h.Expect(h.out.recalls[placedOn]).To(HaveLen(1))
	h.Expect(h.orderCount()).To(Equal(1))
	h.reportOutcome(placedOn, h.sentOrders()[placedOn][0].Seq, wire.EndStopped, 0)
	other := 3 - placedOn
	h.Expect(h.sentOrders()[other]).To(HaveLen(1))
	h.reportOutcome(other, h.sentOrders()[other][0].Seq, wire.EndDone, 0)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// Guards against a caller that waits until its deadline for an overdue task that can no
// longer end in time elsewhere.
func TestJobWithOverdueTaskIsGivenUpWhenTooLate(t *testing.T) {
	h := newHarness(t, 1)
	caller := h.submit(h.newJob("j", 1))
	for range 40 {
		h.advance(20 * time.Millisecond)
	}
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// Guards against giving up a job of which one task is returned as late while another runs:
// the work done would be wasted, and the caller, which can't be answered "not run", would
// send it again. It is finished late, after all tasks that can still be in time.
func TestJobThatBeganIsFinishedLate(t *testing.T) {
	h := newHarness(t, 2)
	busy := h.idleLoad()
	busy.WaitMs = h.fullLoad(200).WaitMs
	h.setLoad(1, busy)
	h.setLoad(2, h.fullLoad(30))
	j := h.newJob("j", 3)
	caller := h.submit(j)
	h.Expect(h.sentOrders()[1]).To(HaveLen(2), "there is capacity for two")
	h.now = h.now.Add(150 * time.Millisecond)
	h.reportOutcome(2, h.sentOrders()[2][0].Seq, wire.EndNotRun, wire.NotRunExpired)
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.orderCount()).To(Equal(4))
	last := h.sentOrders()[1][len(h.sentOrders()[1])-1]
	if len(h.sentOrders()[1]) == 2 {
		last = h.sentOrders()[2][1]
	}
	h.Expect(last.SlackMs).To(BeNumerically(">", 300), "it waits behind tasks that can be in time")
}

// Guards against a job that is given up although no task of it has run: its target goes down
// just after the placement. Orders that had not started are returned and run elsewhere.
func TestOrdersInFlightToALostTargetRunElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	caller := h.submit(h.newJob("j", 1))
	placedOn := ConnID(1)
	if len(h.sentOrders()[1]) == 0 {
		placedOn = 2
	}
	down := h.idleLoad()
	down.Down = true
	h.setLoad(placedOn, down)
	h.Expect(caller.answers).To(BeEmpty())
	h.reportOutcome(placedOn, h.sentOrders()[placedOn][0].Seq, wire.EndNotRun, wire.NotRunDown)
	h.Expect(h.sentOrders()[3-placedOn]).To(HaveLen(1))
	h.advance(2 * maxReturnWait)
	h.Expect(caller.answers).To(BeEmpty())
}

// Guards against a caller that waits for the lease of a lost run to expire: a task was
// running on a target that went down.
func TestJobRunningOnALostTargetIsGivenUp(t *testing.T) {
	h := newHarness(t, 1)
	caller := h.submit(h.newJob("j", 1))
	down := h.idleLoad()
	down.Down = true
	h.setLoad(1, down)
	h.advance(2 * maxReturnWait)
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// Guards against a task that runs twice at once, so that a paper is billed twice: a job
// reaches a second entry while a run for its first owner is still being stopped. The agent
// reports that run, and the task must not be placed on another target.
func TestTaskWithAnEarlierRunIsNotPlacedElsewhere(t *testing.T) {
	h := newHarness(t, 2)
	caller := h.submit(h.newJob("j", 1))
	placedOn := ConnID(1)
	if len(h.sentOrders()[1]) == 0 {
		placedOn = 2
	}
	h.reportOutcome(placedOn, h.sentOrders()[placedOn][0].Seq, wire.EndNotRun, wire.NotRunAlreadyRunning)
	h.Expect(h.orderCount()).To(Equal(1))
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// Guards against the refusal of a job that would have been in time. All targets are busy for
// a time that most jobs can tolerate. The estimates of the queue have random errors, so a
// job with a short estimate is most likely of usual length and has the objective of one.
// By its uncorrected estimate it would be refused.
func TestUnderestimatedJobIsNotRefused(t *testing.T) {
	h := newHarness(t, 2)
	declared := []time.Duration{50, 70, 100, 140, 200}
	for i := range 200 {
		j := h.newJob(fmt.Sprint("before-", i), 1)
		j.Steps[0].Estimate = declared[i%len(declared)] * time.Millisecond
		h.submit(j)
		for id, list := range h.out.orders {
			for _, order := range list {
				idle := h.idleLoad()
				idle.LastSeq = order.Seq
				h.Receive(h.now, id, &wire.LeasedToEntry{Load: idle, Outcomes: []wire.RunOutcome{{Seq: order.Seq, End: wire.EndDone, RunMs: 100}}})
			}
			delete(h.out.orders, id)
		}
	}
	h.setLoad(1, h.fullLoad(75))
	h.setLoad(2, h.fullLoad(75))
	j := h.newJob("short", 1)
	j.Steps[0].Estimate = 50 * time.Millisecond // by this estimate, the objective would be 140 ms
	caller := h.submit(j)
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.orderCount()).To(Equal(1))
}

// Guards against unbounded memory as operators add and remove queues, and against a queue
// that gets no calibration because a thousand others came before it: its jobs would be
// refused by uncorrected estimates.
func TestCalibrationsAreBoundedAndNewQueuesGetOne(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 3 * maxQueues {
		h.calibration(fmt.Sprint("queue-", i)).AddEstimate(100)
		h.Expect(len(h.calibrations)).To(BeNumerically("<=", maxQueues))
	}
	h.Expect(h.calibration("last")).To(BeIdenticalTo(h.calibration("last")))
}

// Guards against a task that is moved until it is late. The free capacity that a load showed
// was taken by another entry's task, so the order is returned and placed elsewhere. After
// two such moves it waits: if all targets are full, further moves only cost hops.
func TestTaskWithoutRoomIsMovedAtMostTwice(t *testing.T) {
	h := newHarness(t, 3)
	caller := h.submit(h.newJob("j", 1))
	tried := map[ConnID]bool{}
	for move := range maxCrowdedReturns {
		for id := ConnID(1); id <= 3; id++ {
			if sent := h.sentOrders()[id]; len(sent) > 0 && !tried[id] {
				tried[id] = true
				h.Expect(sent[0].Movable).To(BeTrue(), "move %d", move)
				h.setLoad(id, h.fullLoad(100))
				h.reportOutcome(id, sent[0].Seq, wire.EndNotRun, wire.NotRunWaitTooLong)
				break
			}
		}
	}
	h.Expect(h.orderCount()).To(Equal(1 + maxCrowdedReturns))
	for id := ConnID(1); id <= 3; id++ {
		h.Expect(h.sentOrders()[id]).To(HaveLen(1))
		if !tried[id] {
			h.Expect(h.sentOrders()[id][0].Movable).To(BeFalse())
		}
	}
	h.Expect(caller.answers).To(BeEmpty())
}

// Guards against a job without an estimate that is given up after some tens of milliseconds, because
// nothing was expected to take longer.
func TestTaskWithoutAnEstimateIsNotOverdue(t *testing.T) {
	h := newHarness(t, 2)
	j := h.newJob("1", 1)
	j.Steps[0].Estimate = 0
	caller := h.submit(j)
	h.Expect(h.orderCount()).To(Equal(1))
	h.advance(time.Second)
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.orderCount()).To(Equal(1))
	for id, orders := range h.sentOrders() {
		for _, o := range orders {
			h.reportOutcome(id, o.Seq, wire.EndDone, 0)
		}
	}
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}
