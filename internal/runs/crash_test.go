package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// reportedCrashes returns the crash reports that were sent to a session.
func (h *harness) reportedCrashes(conn ConnID) []wire.Crash {
	h.Flush(h.now)
	var all []wire.Crash
	for _, f := range h.outbox.sent[conn] {
		all = append(all, f.Crashes...)
	}
	return all
}

// Guards against a task that crashes target after target because no entry receives the list of
// the tasks that were running, and against blaming a task whose start was not answered.
func TestCrashReportTellsRunningFromPossibleTasks(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.answerStart(0, Accepted)
	h.loseRenewals(1, 5*time.Millisecond, Refused)
	for _, conn := range []ConnID{testConn, 2} {
		h.Expect(h.reportedCrashes(conn)).To(HaveExactElements(
			And(HaveField("Target", "t-1"), HaveField("Fate", wire.FateUnresponsive), HaveField("Tasks", ConsistOf(wire.TaskRef{Job: "a", Index: 1}))),
			And(HaveField("Target", "t-1"), HaveField("Fate", wire.FateCrashed), HaveField("Tasks", ConsistOf(wire.TaskRef{Job: "a"}))),
		), "queued tasks are not listed")
	}
}

// Guards against missing the crash of an unresponsive target that is proved only when the target
// is back, and against blaming tasks for it whose runs may have ended with the lease before.
func TestUnresponsiveTargetThatRestartsHasCrashed(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.loseRenewals(6, 60*time.Millisecond, Unresponsive)
	h.advance(1500 * time.Millisecond)
	h.incarnation = Incarnation{Name: "t-1", StartedMs: 9000}
	h.announce(1, false)
	h.Expect(h.reportedCrashes(testConn)).To(HaveExactElements(HaveField("Fate", wire.FateUnresponsive),
		And(HaveField("Fate", wire.FateCrashed), HaveField("StartedMs", int64(1000)), HaveField("Tasks", BeEmpty()))))
}

// Guards against missing a crash that comes so soon after the target stopped answering that its
// runs were not over.
func TestUnresponsiveTargetThatCrashesBeforeItsLeaseEnds(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.loseRenewals(6, 60*time.Millisecond, Unresponsive)
	h.loseRenewals(1, 5*time.Millisecond, Refused)
	h.Expect(h.reportedCrashes(testConn)).To(HaveExactElements(HaveField("Fate", wire.FateUnresponsive),
		And(HaveField("Fate", wire.FateCrashed), HaveField("Tasks", ConsistOf(wire.TaskRef{Job: "a"})))))
}

// Guards against an order in doubt, and a job given up with it, although its start was refused before
// it reached the target.
func TestRefusedStartHasNotRun(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NotDelivered)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunDown))))
	h.sendOrder(testConn, 2, task("b", 0), 7)
	h.answerStart(1, NoAnswer)
	h.answerStart(2, NotDelivered)
	h.Expect(h.outcomes(testConn)).NotTo(HaveKey(uint64(2)), "the first call may have been carried out")
}

// Guards against blaming tasks for a crash of a target that was only unreachable.
func TestUnresponsiveTargetThatRecoversHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.loseRenewals(6, 60*time.Millisecond, Unresponsive)
	h.renewWith(h.target.starts[0].Run)
	h.Expect(h.reportedCrashes(testConn)).To(HaveExactElements(HaveField("Fate", wire.FateUnresponsive), HaveField("Fate", wire.FateRecovered)))
}

// Guards against blaming tasks for the end of a target that announced its departure.
func TestTargetThatLeavesHasNotCrashed(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.announce(2, true)
	h.loseRenewals(1, 5*time.Millisecond, Refused)
	h.Expect(h.reportedCrashes(testConn)).To(BeEmpty())
}

// resize announces another capacity of the target.
func (h *harness) resize(cpuMilli int) {
	a := h.tableState.target
	a.Seq, a.Capacity = a.Seq+1, job.Demand{CPUMilli: cpuMilli, MemoryMB: 1000}
	h.Announce(h.now, a)
}

// Guards against a start beyond the capacity of a target that has shrunk: its runs, including
// those that are being stopped, use capacity until they have ended.
func TestNothingStartsBeyondAReducedCapacity(t *testing.T) {
	h := newHarness(t)
	for i := range 2 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.answerStart(0, Accepted)
	h.answerStart(1, Accepted)
	h.resize(4000)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{1}})
	h.sendOrder(testConn, 3, task("b", 0), 8)
	h.Expect(h.target.starts).To(HaveLen(2))
	first, second := h.target.starts[0].Run, h.target.starts[1].Run
	h.renewWithEnds([]EndedRun{h.nextEnd(first, Stopped)}, second)
	h.Expect(h.target.starts).To(HaveLen(2), "4 of 4 cores are in use")
	h.renewWithEnds([]EndedRun{h.nextEnd(second, Done)})
	h.Expect(h.target.starts).To(HaveLen(3))
}

// Guards against orders that stay queued until their callers leave, for capacity that the target
// no longer has.
func TestQueuedOrderThatNoLongerFitsIsReturnedAtOnce(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.resize(3000)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(3), HaveField("Reason", wire.NotRunTooLarge)))
}

// Guards against entries that continue to use the previous capacity, and against new capacity
// that stays unused.
func TestResizedTargetIsReportedAgain(t *testing.T) {
	h := newHarness(t)
	h.Flush(h.now)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.Expect(h.target.starts).To(HaveLen(2))
	h.resize(12_000)
	h.Expect(h.target.starts).To(HaveLen(3))
	h.Flush(h.now)
	frames := h.outbox.sent[testConn]
	h.Expect(frames[len(frames)-1].Target.Capacity.CPUMilli).To(Equal(12_000))
}

// Guards against repeating a start after the target's capacity has shrunk below the demand of
// its running tasks.
func TestUnansweredStartIsNotRepeatedBeyondTheCapacity(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.resize(3000)
	h.answerStart(0, NoAnswer)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.target.stops).To(HaveLen(1))
}

// Guards against a start beyond the capacity of a target that does not enforce it: a restarted
// agent knows the target only from a record that may be older than its last change.
func TestTargetIgnoringCapacityStartsNothingBeforeItsAnnouncement(t *testing.T) {
	h := newHarness(t)
	h.Table = New(Options{Log: h.log, Target: h.target, Outbox: h.outbox, Lease: testLease})
	h.Restore(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}})
	h.renewWith() // initializes the fencing token
	h.renewWith()
	h.Connect(h.now, testConn, wire.DescribedFeatures)
	order := wire.Order{Seq: 1, Job: "a", RunNumber: 7, Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 100, SlackMs: 100, MaxWaitMs: 300, TimeoutMs: 3000, IgnoresCapacity: true}
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	h.Expect(h.target.starts).To(BeEmpty())
	h.announce(1, false)
	h.advance(time.Millisecond)
	h.Expect(h.target.starts).To(HaveLen(1))
}
