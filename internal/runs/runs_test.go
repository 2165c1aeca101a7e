package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// The way of an order on a calm day: it starts where there is room, ends, and frees
// the room for the next one, which was waiting.
func TestOrdersStartAsRoomComesUp(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.Expect(w.target.starts).To(HaveLen(2), "two tasks of 4 cores fit into 10")
	w.answer(0, Accepted)
	w.answer(1, Accepted)
	w.pass(100 * time.Millisecond)
	first := w.target.starts[0].Run
	w.listEnds([]EndedRun{w.end(first, Done)}, w.target.starts[1].Run)
	w.Expect(w.target.starts).To(HaveLen(3))
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
}

// A target does not answer a start, and carries it out seconds later, when the job
// runs elsewhere: a paper is billed twice. The agent stops the run, which makes the
// target reject it for good, and says that it has not run only once the target has
// confirmed the stop and then listed that the run is not there.
func TestUnansweredStartIsFencedBeforeItIsNotRun(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.neverAnswered()
	w.Expect(w.target.stops).To(HaveLen(1))
	w.list()
	w.Expect(w.outcomes(session)).To(BeEmpty(), "the stop is not confirmed")
	w.Stopped(w.now, w.target.stops[0], NoAnswer)
	w.pass(20 * time.Millisecond)
	w.Expect(w.target.stops).To(HaveLen(2), "a stop without an answer is repeated")
	w.Stopped(w.now, w.target.stops[1], Accepted)
	w.Expect(w.outcomes(session)).To(BeEmpty(), "it may be running until the list says otherwise")
	w.pass(time.Millisecond)
	w.list()
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunNoAnswer))))
}

// A target loses one answer in five. A start whose answer is lost was carried out: were
// it stopped and its task started elsewhere, the work would be done twice and the answer
// be late. The same start again tells, since a run that is there is not started twice.
func TestUnansweredStartIsRepeated(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, NoAnswer)
	w.Expect(w.target.stops).To(BeEmpty())
	w.Expect(w.target.starts).To(HaveLen(2))
	w.Expect(w.target.starts[1].Run).To(Equal(w.target.starts[0].Run))
	w.answer(1, Accepted)
	w.pass(100 * time.Millisecond)
	w.listEnds([]EndedRun{w.end(w.target.starts[0].Run, Done)})
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
	w.Expect(w.target.stops).To(BeEmpty())
}

// A short task runs and ends while its start is unanswered, so the repeated start is
// rejected as too low. Told "not run", its job would be done once more.
func TestRepeatedStartOfARunThatHasEnded(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, NoAnswer)
	w.answer(1, StaleRun)
	w.Expect(w.outcomes(session)).To(BeEmpty())
	w.pass(time.Millisecond)
	w.listEnds([]EndedRun{w.end(w.target.starts[0].Run, Done)})
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
}

// The first start is held up on its way, and the repeated one finds no room or a target
// that is not well. The first may still come seconds later, when the task runs elsewhere.
func TestRepeatedStartThatIsTurnedAwayIsFenced(t *testing.T) {
	for _, answer := range []Answer{NoCapacity, Rejected, LeaseExpired, StaleToken} {
		w := newWorld(t)
		w.order(session, 1, task("a", 0), 7)
		w.answer(0, NoAnswer)
		w.answer(1, answer)
		w.Expect(w.outcomes(session)).To(BeEmpty(), "answer %d", answer)
		w.Expect(w.target.stops).To(HaveLen(1), "answer %d", answer)
		w.Stopped(w.now, w.target.stops[0], Accepted)
		w.pass(time.Millisecond)
		w.list()
		w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndNotRun)), "answer %d", answer)
	}
}

// The first start is not answered because the target crashes, and the repeated one finds
// another life. What the first may have started is gone, but it may have run.
func TestRepeatedStartMeetsAnotherLife(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, NoAnswer)
	w.answer(1, OtherIncarnation)
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// The start was carried out although its answer was lost. The list shows the run, the
// stop ends it, and what it had done by then is told as it was.
func TestUnansweredStartThatRan(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.neverAnswered()
	run := w.target.starts[0].Run
	w.list(run)
	w.Stopped(w.now, w.target.stops[0], Accepted)
	w.pass(time.Millisecond)
	w.listEnds([]EndedRun{w.end(run, Stopped)})
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// An entry is killed, frozen or cut off. Its callers ask other entries after 1.3 s, and
// these know nothing of the old runs: whatever the old owner ran is stopped as soon as
// its session is over.
func TestRunsEndWithTheirSession(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.answer(0, Accepted)
	w.answer(1, Accepted)
	w.Disconnect(w.now, session)
	w.Expect(w.target.stops).To(HaveLen(2))
	w.Expect(w.Waiting()).To(Equal(0), "what waited never starts")
	w.list(w.target.starts[0].Run, w.target.starts[1].Run)
	w.Expect(w.target.starts).To(HaveLen(2))
}

// The job is sent again through another entry while the run of the old owner is still
// being stopped on the same target. It must not start before that one is over.
func TestSecondOwnerWaitsForTheFirstOnesRun(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.Disconnect(w.now, session)
	w.Connect(w.now, 2)
	w.order(2, 1, task("a", 0), 8)
	w.Expect(w.target.starts).To(HaveLen(1))
	w.Expect(w.outcomes(2)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunBusy))))
}

// The agent's host is frozen. Orders that came in before are read when it wakes, after
// their owner has given the session up: started then, they would run beside the
// job's second coming.
func TestNothingStartsAfterAStandstill(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.now = w.now.Add(4 * time.Second)
	w.DisconnectAll(w.now)
	w.order(session, 2, task("a", 1), 7)
	w.Expect(w.target.starts).To(HaveLen(1))
	w.Expect(w.target.stops).To(HaveLen(1))
	w.Expect(w.out.closed).To(ConsistOf(session))
}

// An agent restarts beside a target that runs on. Nobody wants those runs any more,
// and they take room: they are stopped, and nothing starts before they are gone.
func TestRunsOfAnEarlierAgentAreStoppedFirst(t *testing.T) {
	w := newWorld(t)
	w.life = Incarnation{Name: "t-2", StartedMs: 2000}
	w.announce(1, false)
	old := RunID{task("old", 0), 3}
	w.list(old)
	w.Expect(w.target.stops).To(HaveLen(1))
	w.order(session, 1, task("a", 0), 7)
	w.Expect(w.target.starts).To(BeEmpty())
	w.list()
	w.Expect(w.target.starts).To(HaveLen(1))
}

// A target crashes and comes back under its id. What ran in its first life is gone
// with it; a word of the first life that was held up says nothing of the second.
func TestAnotherLifeUnderTheSameName(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	first := w.life
	w.life.StartedMs = 9000
	w.announce(1, false)
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
	w.Announce(w.now, Announcement{Incarnation: first, Service: "s", Seq: 99, Leaving: true})
	w.list()
	w.order(session, 2, task("a", 1), 7)
	w.Expect(w.target.starts).To(HaveLen(2), "the second life is not leaving")
}

// A target that leaves takes nothing new from its word on. What waits goes back at once,
// so that it can run elsewhere, and what runs may end.
func TestLeavingTargetTakesNothingNew(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.answer(0, Accepted)
	w.announce(2, true)
	w.order(session, 4, task("a", 3), 7)
	w.Expect(w.target.starts).To(HaveLen(2))
	w.Expect(w.target.stops).To(BeEmpty())
	leaving := And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunLeaving))
	w.Expect(w.outcomes(session)).To(And(HaveKeyWithValue(uint64(3), leaving), HaveKeyWithValue(uint64(4), leaving)))
	w.announce(1, false) // an older word that came late
	w.order(session, 5, task("a", 4), 7)
	w.Expect(w.target.starts).To(HaveLen(2))
}

// A target is cut off. Its runs end with the lease and not before: told too early, their
// owner would start them elsewhere while they still run.
func TestRunsOfASilentTargetEndWithTheLease(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.order(session, 2, task("a", 1), 7)
	w.answer(1, Accepted)
	w.order(session, 3, task("a", 2), 7)
	w.loseRenewals(6, 50*time.Millisecond, Unresponsive)
	w.Expect(w.outcomes(session)).To(HaveLen(1), "what waited goes back")
	w.pass(600 * time.Millisecond)
	w.Expect(w.outcomes(session)).To(HaveLen(1))
	w.pass(300 * time.Millisecond)
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// One answer in twenty of a target is lost. While the agent waits for a lost one it
// sees no end; with long waits, tasks of 60 ms seemed to take 500, and their target
// got no work for the rest of the day. The wait is as long as the next end is away,
// and ends that were found after a loss say nothing of the speed.
func TestLostRenewalsDontMakeATargetSlow(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	call, _ := w.NextRenewal(w.now)
	w.Expect(call.Wait).To(BeNumerically("<=", 120*time.Millisecond), "the task should take 100 ms")
	before := w.health.speed()
	w.now = w.now.Add(900 * time.Millisecond)
	w.RenewFailed(w.now, call, Unresponsive)
	w.listEnds([]EndedRun{w.end(w.target.starts[0].Run, Done)})
	w.Expect(w.health.speed()).To(Equal(before))
}

// A target was found slow and gets no work for it, so nothing would ever show that it
// is well again. Without work its speed goes back to the usual, and the next tasks tell.
func TestSlowTargetGetsAnotherChance(t *testing.T) {
	w := newWorld(t)
	for range 50 {
		w.health.done(100, 2000)
	}
	w.Expect(w.health.speed()).To(BeNumerically("<", 0.1))
	for range 100 {
		w.pass(100 * time.Millisecond)
	}
	w.Expect(w.health.speed()).To(BeNumerically(">", 0.7))
}

// A long task runs when a renewal is called, short ones start after it, and its answer is
// lost. Until it is given up the agent sees no end: the short tasks seem to stand, their
// target is taken for one that stands still or is away, and jobs that are done are given
// up. Both are decided after 250 ms at the earliest.
func TestOneLostListIsGivenUpInTime(t *testing.T) {
	w := newWorld(t)
	w.Receive(w.now, session, &wire.LeasedToAgent{Orders: []wire.Order{{
		Seq: 1, Job: "a", Run: 7, Demand: job.Demand{CPUMilli: 1000}, EstimateMs: 1500, SlackMs: 100, GiveUpMs: 300, LimitMs: 3000,
	}}})
	w.answer(0, Accepted)
	call, _ := w.NextRenewal(w.now)
	w.now = w.now.Add(call.Wait + call.ReplyTimeout)
	w.RenewFailed(w.now, call, Unresponsive)
	w.Expect(w.load().Down).To(BeFalse())
}

// A target turns slow at once. Some ends are enough to see it, where the steady measure
// alone takes half a minute.
func TestSlowdownShowsWithinSomeEnds(t *testing.T) {
	w := newWorld(t)
	for range 100 {
		w.health.done(100, 100)
	}
	for range 6 {
		w.health.done(100, 600)
	}
	w.Expect(w.health.speed()).To(BeNumerically("<", 0.35))
}

// Nothing ends on a target where every task stands still. The load it reports must
// show that, or it looks as good as before and draws more work.
func TestStandstillShowsInTheLoad(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.pass(time.Second)
	w.Expect(w.load().Speed).To(BeNumerically("<", 0.3))
}

// Answers of a sound target are lost, two in a row now and then. Its jobs must not be
// given up for it: callers would be told that the outcome is unknown.
func TestTwoLostAnswersAreNoOutage(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.loseRenewals(3, 70*time.Millisecond, Unresponsive)
	w.Expect(w.load().Down).To(BeFalse())
}

// The answer to a start is lost, and the list shows that the task runs. Stopped, it
// would be done twice over; its callers would get their answer late for nothing.
func TestStartThatIsListedGoesOn(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.list(w.target.starts[0].Run)
	w.answer(0, NoAnswer)
	w.Expect(w.target.stops).To(BeEmpty())
}

// All hosts lose their power, and the runner comes back before its target speaks. With
// what an earlier runner wrote down it works at once, but only after the target has
// answered: its clock is needed for the lease and the fencing token.
func TestRecalledTargetIsAskedFirst(t *testing.T) {
	w := newWorld(t)
	fresh := New(w.o)
	fresh.Restore(w.now, Announcement{Incarnation: w.life, Service: "s", Capacity: w.Table.target.Capacity})
	w.Table = fresh
	w.Connect(w.now, session)
	w.order(session, 1, task("a", 0), 7)
	w.Expect(w.target.starts).To(BeEmpty())
	call, _ := w.NextRenewal(w.now)
	w.Renewed(w.now, w.now, call, Listing{ClockMs: 60_000, StartedMs: w.life.StartedMs, StaleToken: true})
	w.Expect(w.target.starts).To(BeEmpty(), "the token of the agent before is higher")
	w.list()
	w.Expect(w.target.starts).To(HaveLen(1))
	w.Expect(w.target.starts[0].Token).To(BeNumerically(">=", 60_000))
}

// The record is of a target that has been replaced since. Another one answers at the
// address: nothing is started on it before it has said what it can hold.
func TestRecalledTargetIsGone(t *testing.T) {
	w := newWorld(t)
	w.Table = New(w.o)
	w.Restore(w.now, Announcement{Incarnation: Incarnation{Name: "old"}, Service: "s"})
	call, _ := w.NextRenewal(w.now)
	w.RenewFailed(w.now, call, Replaced)
	_, known := w.NextRenewal(w.now)
	w.Expect(known).To(BeFalse())
	w.announce(1, false)
	_, known = w.NextRenewal(w.now)
	w.Expect(known).To(BeTrue())
}

// Tasks of several jobs stand still on a target that answers every call. Nothing fails
// there and nothing ends; its agent says so, and gives back what waits.
func TestTargetThatStandsStillIsShunned(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.order(session, 2, task("b", 0), 7)
	w.order(session, 3, task("c", 0), 7)
	w.answer(0, Accepted)
	w.answer(1, Accepted)
	w.pass(250 * time.Millisecond)
	w.Expect(w.load().Shunned).To(BeTrue())
	w.Expect(w.outcomes(session)).To(HaveKey(uint64(3)))
}

// The tasks of one job share an estimate that is far too low. That says nothing of the
// target.
func TestOneJobThatTakesLongIsNoStandstill(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.order(session, 2, task("a", 1), 7)
	w.answer(0, Accepted)
	w.answer(1, Accepted)
	w.pass(250 * time.Millisecond)
	w.Expect(w.load().Shunned).To(BeFalse())
}

// A fleet grows to fifty entries. With a report to each of them every 15 ms the runner would
// spend most of its processor on reports; they come as much more seldom.
func TestReportsBecomeRarerWithManySessions(t *testing.T) {
	w := newWorld(t)
	w.Expect(w.loadPeriod()).To(Equal(loadEvery))
	for conn := ConnID(2); conn <= 48; conn++ {
		w.Connect(w.now, conn)
	}
	w.Expect(w.loadPeriod()).To(Equal(4 * loadEvery))
}

// A target refuses four calls in five and serves the fifth. Each refusal used to make it
// count as away, and after 40 ms its jobs were given up although their tasks went on.
func TestSomeRefusedCallsAreNoOutage(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.loseRenewals(4, 10*time.Millisecond, Overloaded)
	w.Expect(w.load().Down).To(BeFalse())
	w.loseRenewals(6, 50*time.Millisecond, Overloaded)
	w.Expect(w.load().Down).To(BeTrue())
}

// Eleven entries see the same free room and send there at the same moment. What comes second
// used to wait for the first one's task, 60 to 150 ms, while targets beside it were idle. It
// goes back at once, with the load that its entry then chooses by; one that has been moved
// before waits.
func TestAnOrderThatFindsNoRoomGoesBackAtOnce(t *testing.T) {
	w := newWorld(t)
	w.Connect(w.now, 2)
	w.order(session, 1, task("a", 0), 7)
	w.order(session, 2, task("b", 0), 7) // two of four cores each: 2 of 10 are left
	order := wire.Order{Seq: 1, Job: "c", Run: 7, Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 60, SlackMs: 90, GiveUpMs: 100,
		LimitMs: 3000, Movable: true}
	w.Receive(w.now, 2, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	w.Expect(w.outcomes(2)).To(Equal(map[uint64]wire.RunOutcome{1: {Seq: 1, End: wire.EndNotRun, Reason: wire.NotRunCrowded}}))
	frames := w.out.sent[2]
	w.Expect(frames[len(frames)-1].Load.Free.CPUMilli).To(Equal(2000))

	order.Seq, order.Movable = 2, false
	w.Receive(w.now, 2, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	w.Expect(w.Waiting()).To(Equal(1))
	order.Seq, order.Job, order.Movable, order.WaitMs = 3, "d", true, 200
	w.Receive(w.now, 2, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	w.Expect(w.Waiting()).To(Equal(2), "its entry knows that it waits")
}
