package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// An order starts when there is capacity, and its end frees capacity for the next queued one.
func TestQueuedOrdersStartWhenCapacityIsFree(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.Expect(h.target.starts).To(HaveLen(2), "two tasks of 4 cores fit into 10")
	h.answerStart(0, Accepted)
	h.answerStart(1, Accepted)
	h.advance(100 * time.Millisecond)
	first := h.target.starts[0].Run
	h.renewWithEnds([]EndedRun{h.nextEnd(first, Done)}, h.target.starts[1].Run)
	h.Expect(h.target.starts).To(HaveLen(3))
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
}

// Guards against two runs of one task, such as a paper that is billed twice: a target leaves a
// start unanswered and carries it out seconds later, when the job runs elsewhere. The agent stops
// the run, which makes the target reject the start permanently, and reports it as not run only
// once the target has confirmed the stop and then listed no such run.
func TestUnansweredStartIsFencedBeforeItIsReportedAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseStartAnswers()
	h.Expect(h.target.stops).To(HaveLen(1))
	h.renewWith()
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "the stop is not confirmed")
	h.Stopped(h.now, h.target.stops[0], NoAnswer)
	h.advance(20 * time.Millisecond)
	h.Expect(h.target.stops).To(HaveLen(2), "a stop without an answer is repeated")
	h.Stopped(h.now, h.target.stops[1], Accepted)
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "it may be running until a listing shows otherwise")
	h.advance(time.Millisecond)
	h.renewWith()
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunNoAnswer))))
}

// A target loses one answer in five, and a start whose answer is lost was carried out. To stop it
// and start its task elsewhere would do the work twice and delay the answer. The repeated start
// shows that it runs, since the target starts a run only once.
func TestUnansweredStartIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NoAnswer)
	h.Expect(h.target.stops).To(BeEmpty())
	h.Expect(h.target.starts).To(HaveLen(2))
	h.Expect(h.target.starts[1].Run).To(Equal(h.target.starts[0].Run))
	h.answerStart(1, Accepted)
	h.advance(100 * time.Millisecond)
	h.renewWithEnds([]EndedRun{h.nextEnd(h.target.starts[0].Run, Done)})
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
	h.Expect(h.target.stops).To(BeEmpty())
}

// A short task runs and ends while its start is unanswered, so the repeated start is rejected as
// stale. Reported as not run, the task would be executed once more.
func TestRepeatedStartOfARunThatHasEnded(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NoAnswer)
	h.answerStart(1, StaleRun)
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.advance(time.Millisecond)
	h.renewWithEnds([]EndedRun{h.nextEnd(h.target.starts[0].Run, Done)})
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
}

// The first start is delayed in transit, and the repeated one finds no capacity or an unhealthy
// target. The first may still arrive seconds later, when the task runs elsewhere.
func TestRepeatedStartThatIsRejectedIsFenced(t *testing.T) {
	for _, answer := range []Answer{NoCapacity, Rejected, LeaseExpired, StaleToken} {
		h := newHarness(t)
		h.sendOrder(testConn, 1, task("a", 0), 7)
		h.answerStart(0, NoAnswer)
		h.answerStart(1, answer)
		h.Expect(h.outcomes(testConn)).To(BeEmpty(), "answer %d", answer)
		h.Expect(h.target.stops).To(HaveLen(1), "answer %d", answer)
		h.Stopped(h.now, h.target.stops[0], Accepted)
		h.advance(time.Millisecond)
		h.renewWith()
		h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndNotRun)), "answer %d", answer)
	}
}

// The first start is not answered, and the repeated one reaches another target. The first target may run the
// task until its lease is over.
func TestRepeatedStartReachesAnotherIncarnation(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NoAnswer)
	h.answerStart(1, OtherIncarnation)
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.Expect(h.target.stops).To(HaveLen(1))
	h.loseRenewals(1, time.Millisecond, Replaced)
	h.incarnation = Incarnation{Name: "t-2", StartedMs: 2000}
	h.announce(1, false)
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.advance(1500 * time.Millisecond)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// The start was carried out although its answer was lost. The listing shows the run, the stop
// ends it, and it is reported as stopped rather than as not run.
func TestUnansweredStartThatRan(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseStartAnswers()
	run := h.target.starts[0].Run
	h.renewWith(run)
	h.Stopped(h.now, h.target.stops[0], Accepted)
	h.advance(time.Millisecond)
	h.renewWithEnds([]EndedRun{h.nextEnd(run, Stopped)})
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// An entry is killed, frozen or cut off. Its callers ask other entries after 1.3 s, and these do
// not know of the old runs: all runs of the old owner are stopped as soon as its session ends.
func TestRunsEndWithTheirSession(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.answerStart(0, Accepted)
	h.answerStart(1, Accepted)
	h.Disconnect(h.now, testConn)
	h.Expect(h.target.stops).To(HaveLen(2))
	h.Expect(h.Waiting()).To(Equal(0), "queued orders never start")
	h.renewWith(h.target.starts[0].Run, h.target.starts[1].Run)
	h.Expect(h.target.starts).To(HaveLen(2))
}

// The job is submitted again through another entry while the run of the old owner is still being
// stopped on the same target. Its task must not start before that run has ended.
func TestSecondOwnerWaitsForTheFirstOnesRun(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.Disconnect(h.now, testConn)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.sendOrder(2, 1, task("a", 0), 8)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.outcomes(2)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunAlreadyRunning))))
}

// The agent's host is frozen. Orders that arrived before are read when it resumes, after their
// owner has given up the session: started then, they would run beside the resubmitted job.
func TestNothingStartsAfterASuspension(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.now = h.now.Add(4 * time.Second)
	h.DisconnectAll(h.now, 4*time.Second)
	h.sendOrder(testConn, 2, task("a", 1), 7)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.target.stops).To(HaveLen(1))
	h.Expect(h.outbox.closed).To(ConsistOf(testConn))
}

// An agent restarts while its target keeps running. No owner needs the target's runs any more,
// and they use capacity: they are stopped, and nothing starts before they have ended.
func TestRunsOfAnEarlierAgentAreStoppedFirst(t *testing.T) {
	h := newHarness(t)
	h.incarnation = Incarnation{Name: "t-2", StartedMs: 2000}
	h.announce(1, false)
	old := RunID{task("old", 0), 3}
	h.renewWith(old)
	h.Expect(h.target.stops).To(HaveLen(1))
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Expect(h.target.starts).To(BeEmpty())
	h.renewWith()
	h.Expect(h.target.starts).To(HaveLen(1))
}

// A target crashes and restarts under the same name. The runs of its first incarnation have ended
// with it, and a delayed announcement of the first does not apply to the second.
func TestAnotherIncarnationUnderTheSameName(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	first := h.incarnation
	h.incarnation.StartedMs = 9000
	h.announce(1, false)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
	h.Announce(h.now, Announcement{Incarnation: first, Service: "s", Seq: 99, Leaving: true})
	h.renewWith()
	h.sendOrder(testConn, 2, task("a", 1), 7)
	h.Expect(h.target.starts).To(HaveLen(2), "the second incarnation is not leaving")
}

// A target that announces its departure starts nothing new. Queued orders are returned at once,
// so that they can run elsewhere, and runs in progress may finish.
func TestLeavingTargetStartsNothingNew(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	h.answerStart(0, Accepted)
	h.announce(2, true)
	h.sendOrder(testConn, 4, task("a", 3), 7)
	h.Expect(h.target.starts).To(HaveLen(2))
	h.Expect(h.target.stops).To(BeEmpty())
	leaving := And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunLeaving))
	h.Expect(h.outcomes(testConn)).To(And(HaveKeyWithValue(uint64(3), leaving), HaveKeyWithValue(uint64(4), leaving)))
	h.announce(1, false) // a delayed older announcement
	h.sendOrder(testConn, 5, task("a", 4), 7)
	h.Expect(h.target.starts).To(HaveLen(2))
}

// A target is cut off. Its runs are reported as ended when the lease expires and not before:
// reported too early, their owner would start the tasks elsewhere while they still run.
func TestRunsOfAnUnreachableTargetEndWithTheLease(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.sendOrder(testConn, 2, task("a", 1), 7)
	h.answerStart(1, Accepted)
	h.sendOrder(testConn, 3, task("a", 2), 7)
	h.loseRenewals(6, 50*time.Millisecond, Unresponsive)
	h.Expect(h.outcomes(testConn)).To(HaveLen(1), "the queued order is returned")
	h.advance(600 * time.Millisecond)
	h.Expect(h.outcomes(testConn)).To(HaveLen(1))
	h.advance(300 * time.Millisecond)
	h.Expect(h.outcomes(testConn)).To(HaveLen(1), "a renewal without an answer may have extended the lease")
	h.advance(150 * time.Millisecond)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// One answer in twenty of a target is lost. While the agent waits for a lost one it sees no ends;
// with long waits, tasks of 60 ms seemed to take 500, and their target got no work for the rest
// of the day. A renewal therefore waits only until the next expected end, and ends that are found
// after a lost renewal do not count for the speed.
func TestLostRenewalsDontLowerTheSpeed(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	call, _ := h.NextRenewal(h.now)
	h.Expect(call.Wait).To(BeNumerically("<=", 120*time.Millisecond), "the task should take 100 ms")
	before := h.health.speed()
	h.now = h.now.Add(900 * time.Millisecond)
	h.RenewFailed(h.now, call, Unresponsive)
	h.renewWithEnds([]EndedRun{h.nextEnd(h.target.starts[0].Run, Done)})
	h.Expect(h.health.speed()).To(Equal(before))
}

// A target was rated slow and gets no work for that reason, so no end would ever show that it is
// fast again. Without work its speed returns to the usual one, and the next tasks measure it.
func TestSpeedOfAnIdleTargetRecovers(t *testing.T) {
	h := newHarness(t)
	for range 50 {
		h.health.recordDone(100, 2000)
	}
	h.Expect(h.health.speed()).To(BeNumerically("<", 0.1))
	for range 100 {
		h.advance(100 * time.Millisecond)
	}
	h.Expect(h.health.speed()).To(BeNumerically(">", 0.7))
}

// A long task runs when a renewal is called, short ones start after it, and the answer is lost.
// Until the call times out the agent sees no ends: the short tasks seem stalled, their target
// counts as stalled or unreachable, and jobs whose tasks are done are given up. Both are decided
// after 250 ms at the earliest.
func TestLostRenewalTimesOutInTime(t *testing.T) {
	h := newHarness(t)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Orders: []wire.Order{{
		Seq: 1, Job: "a", RunNumber: 7, Demand: job.Demand{CPUMilli: 1000}, EstimateMs: 1500, SlackMs: 100, MaxWaitMs: 300, TimeoutMs: 3000,
	}}})
	h.answerStart(0, Accepted)
	call, _ := h.NextRenewal(h.now)
	h.now = h.now.Add(call.Wait + call.ReplyTimeout)
	h.RenewFailed(h.now, call, Unresponsive)
	h.Expect(h.currentLoad().Down).To(BeFalse())
}

// A target suddenly becomes slow. A few ends are enough to detect it, where the steady speed
// alone takes half a minute.
func TestSlowdownIsDetectedWithinAFewEnds(t *testing.T) {
	h := newHarness(t)
	for range 100 {
		h.health.recordDone(100, 100)
	}
	for range 6 {
		h.health.recordDone(100, 600)
	}
	h.Expect(h.health.speed()).To(BeNumerically("<", 0.35))
}

// Nothing ends on a target where every task is stalled. The load that it reports must show that,
// or it seems as fast as before and gets more work.
func TestStalledTargetReportsALowerSpeed(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.advance(time.Second)
	h.Expect(h.currentLoad().Speed).To(BeNumerically("<", 0.3))
}

// Answers of a healthy target are lost, sometimes two in a row. Its jobs must not be given up
// for that: their callers would get an unknown outcome.
func TestTwoLostAnswersAreNoOutage(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.loseRenewals(3, 70*time.Millisecond, Unresponsive)
	h.Expect(h.currentLoad().Down).To(BeFalse())
}

// The answer to a start is lost, and the listing shows that the task runs. If it were stopped,
// the task would be executed twice, and its callers would get their answer late for nothing.
func TestListedRunIsNotStopped(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.renewWith(h.target.starts[0].Run)
	h.answerStart(0, NoAnswer)
	h.Expect(h.target.stops).To(BeEmpty())
}

// All hosts lose power, and the runner restarts before its target announces itself. With the
// record of an earlier runner it works at once, but only after the target has answered: the lease
// and the fencing token need the target's clock.
func TestRestoredTargetAnswersBeforeAnythingStarts(t *testing.T) {
	h := newHarness(t)
	fresh := New(h.options)
	fresh.Restore(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: h.Table.target.Capacity})
	h.Table = fresh
	h.Connect(h.now, testConn, wire.DescribedFeatures)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Expect(h.target.starts).To(BeEmpty())
	call, _ := h.NextRenewal(h.now)
	h.Renewed(h.now, h.now, call, Listing{ClockMs: 60_000, StartedMs: h.incarnation.StartedMs, StaleToken: true})
	h.Expect(h.target.starts).To(BeEmpty(), "the token of the earlier agent is higher")
	h.renewWith()
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.target.starts[0].Token).To(BeNumerically(">=", 60_000))
}

// The record is of a target that has been replaced since. Another one answers at the address:
// nothing is started on it before it has announced its capacity.
func TestRestoredTargetWasReplaced(t *testing.T) {
	h := newHarness(t)
	h.Table = New(h.options)
	h.Restore(h.now, Announcement{Incarnation: Incarnation{Name: "old"}, Service: "s"})
	call, _ := h.NextRenewal(h.now)
	h.RenewFailed(h.now, call, Replaced)
	_, known := h.NextRenewal(h.now)
	h.Expect(known).To(BeFalse())
	h.announce(1, false)
	_, known = h.NextRenewal(h.now)
	h.Expect(known).To(BeTrue())
}

// Tasks of several jobs are stalled on a target that answers every call. Nothing fails there and
// nothing ends; its agent reports it as to be avoided and returns queued orders.
func TestStalledTargetIsAvoided(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.sendOrder(testConn, 2, task("b", 0), 7)
	h.sendOrder(testConn, 3, task("c", 0), 7)
	h.answerStart(0, Accepted)
	h.answerStart(1, Accepted)
	h.advance(250 * time.Millisecond)
	h.Expect(h.currentLoad().Rejecting).To(BeTrue())
	h.Expect(h.outcomes(testConn)).To(HaveKey(uint64(3)))
}

// The tasks of one job share an estimate that is far too low, which proves nothing about the
// target.
func TestOneSlowJobIsNoStall(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.sendOrder(testConn, 2, task("a", 1), 7)
	h.answerStart(0, Accepted)
	h.answerStart(1, Accepted)
	h.advance(250 * time.Millisecond)
	h.Expect(h.currentLoad().Rejecting).To(BeFalse())
}

// A fleet grows to fifty entries. With a report to each of them every 15 ms the runner would
// spend most of its processor time on reports, so the interval grows in proportion.
func TestLoadIntervalGrowsWithTheSessions(t *testing.T) {
	h := newHarness(t)
	h.Expect(h.activeLoadInterval()).To(Equal(loadInterval))
	for conn := ConnID(2); conn <= 48; conn++ {
		h.Connect(h.now, conn, wire.DescribedFeatures)
	}
	h.Expect(h.activeLoadInterval()).To(Equal(4 * loadInterval))
}

// A target refuses four calls in five and serves the fifth. When each refusal counted as an
// outage, its jobs were given up after 40 ms although their tasks were still running.
func TestSomeRefusedCallsAreNoOutage(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.loseRenewals(4, 10*time.Millisecond, Overloaded)
	h.Expect(h.currentLoad().Down).To(BeFalse())
	h.loseRenewals(6, 50*time.Millisecond, Overloaded)
	h.Expect(h.currentLoad().Down).To(BeTrue())
}

// Eleven entries see the same free capacity and send orders there at the same moment. When the
// later ones were queued, they waited for the first one's task, 60 to 150 ms, while other targets
// were idle. They are returned at once, with the load that their entry then places by; an order
// that has been moved before is queued.
func TestMovableOrderWithoutCapacityIsReturnedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.sendOrder(testConn, 2, task("b", 0), 7) // two of four cores each: 2 of 10 are left
	order := wire.Order{Seq: 1, Job: "c", RunNumber: 7, Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 60, SlackMs: 90, MaxWaitMs: 100,
		TimeoutMs: 3000, Movable: true}
	h.Receive(h.now, 2, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	h.Expect(h.outcomes(2)).To(Equal(map[uint64]wire.RunOutcome{1: {Seq: 1, End: wire.EndNotRun, Reason: wire.NotRunWaitTooLong}}))
	frames := h.outbox.sent[2]
	h.Expect(frames[len(frames)-1].Load.Free.CPUMilli).To(Equal(2000))

	order.Seq, order.Movable = 2, false
	h.Receive(h.now, 2, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	h.Expect(h.Waiting()).To(Equal(1))
	order.Seq, order.Job, order.Movable, order.ExpectedWaitMs = 3, "d", true, 200
	h.Receive(h.now, 2, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	h.Expect(h.Waiting()).To(Equal(2), "its entry expects the wait")
}
