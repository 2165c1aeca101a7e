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

// The way of a job on a calm day: its tasks are placed at once, spread over the
// targets, and the caller has its answer with the last end.
func TestJobIsAnsweredWithItsLastTask(t *testing.T) {
	w := newWorld(t, 3)
	a := w.submit(w.newJob("j", 3))
	w.Expect(w.orders()).To(Equal(3))
	for id, list := range w.sent() {
		w.Expect(list).To(HaveLen(1), "one task a target")
		w.Expect(a.got).To(BeEmpty())
		w.end(id, list[0].Seq, wire.EndDone, 0)
	}
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// No target can do the job in the time that its caller wants it in. Let in, it would be
// late and make others late; held, its caller would wait for nothing. It is refused at
// once, nothing of it is sent, and the caller is told when to come back.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	w := newWorld(t, 2)
	w.load(1, w.full(500))
	w.load(2, w.full(500))
	a := w.submit(w.newJob("j", 2))
	w.Expect(a.got).To(HaveLen(1))
	w.Expect(a.got[0].Kind).To(Equal(AnswerNotRun))
	w.Expect(a.got[0].Fault.Code).To(Equal(fault.Overloaded))
	w.Expect(a.got[0].RetryAfter).To(BeNumerically(">=", time.Second))
	w.Expect(w.orders()).To(Equal(0))
}

// A job was let in, and then the targets turned slow: its tasks come back without
// having run. The caller is told that it has not run, but only after every order is
// proved so; told before, a task that starts after all would make it a lie.
func TestNotRunIsSaidAfterTheLastProof(t *testing.T) {
	w := newWorld(t, 2)
	w.load(1, w.full(30)) // the tasks wait
	w.load(2, w.full(30))
	a := w.submit(w.newJob("j", 2))
	one, two := w.sent()[1][0], w.sent()[2][0]
	w.end(1, one.Seq, wire.EndNotRun, wire.NotRunLate)
	w.Expect(a.got).To(BeEmpty(), "the other order may be running")
	w.Expect(w.out.recalls[2]).To(ConsistOf(two.Seq))
	w.end(2, two.Seq, wire.EndNotRun, wire.NotRunRecalled)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
}

// The same, but one task had begun by then. Whatever the caller is told, it must not be
// "not run": it would send a confirmation again that has been billed.
func TestNotRunIsNotSaidOfAJobThatBegan(t *testing.T) {
	w := newWorld(t, 2)
	w.load(1, w.full(30)) // the tasks wait
	w.load(2, w.full(30))
	a := w.submit(w.newJob("j", 2))
	w.end(1, w.sent()[1][0].Seq, wire.EndNotRun, wire.NotRunLate)
	w.end(2, w.sent()[2][0].Seq, wire.EndStopped, 0)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// The proof does not come: the agent hangs. The caller must not wait for it.
func TestMissingProofMakesTheOutcomeUnknown(t *testing.T) {
	w := newWorld(t, 2)
	w.load(1, w.full(30)) // the tasks wait
	w.load(2, w.full(30))
	a := w.submit(w.newJob("j", 2))
	w.end(1, w.sent()[1][0].Seq, wire.EndNotRun, wire.NotRunLate)
	w.pass(2 * proofWait)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// A task fails on one target. It is tried on another one; "failed" is said only when one
// task has failed as often as its queue allows. Ends without a result don't count: a
// job must not fail for a target that was taken away.
func TestFailedOnlyAfterItsAttempts(t *testing.T) {
	w := newWorld(t, 2)
	a := w.submit(w.newJob("j", 1))
	first := ConnID(1)
	if len(w.sent()[1]) == 0 {
		first = 2
	}
	other := 3 - first
	w.end(first, w.sent()[first][0].Seq, wire.EndStopped, 0)
	w.end(first, w.sent()[first][0].Seq, wire.EndStopped, 0) // a repeated report
	w.Expect(w.orders()).To(Equal(2))
	at := first
	if len(w.sent()[first]) == 1 {
		at = other
	}
	w.end(at, w.sent()[at][len(w.sent()[at])-1].Seq, wire.EndFailed, 0)
	w.Expect(a.got).To(BeEmpty())
	next := 3 - at
	w.Expect(w.orders()).To(Equal(3))
	w.end(next, w.sent()[next][len(w.sent()[next])-1].Seq, wire.EndFailed, 0)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerFailed)))
}

// The caller of a job leaves. It may ask again elsewhere in 1.3 s, so the work is called
// back at once.
func TestWorkStopsWhenTheCallerLeaves(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(w.newJob("j", 2))
	w.Abandon(w.now, "j")
	w.Flush()
	w.Expect(w.out.recalls).To(And(HaveKeyWithValue(ConnID(1), HaveLen(1)), HaveKeyWithValue(ConnID(2), HaveLen(1))))
}

// A job is sent again to the same entry while what ran of it is being stopped. It runs
// from the start, but not before the old runs are over: a task would run twice at once.
func TestSecondComingWaitsForTheFirstToBeOver(t *testing.T) {
	w := newWorld(t, 2)
	w.submit(w.newJob("j", 2))
	w.Abandon(w.now, "j")
	again := w.submit(w.newJob("j", 2))
	w.Expect(w.orders()).To(Equal(2))
	w.end(1, w.sent()[1][0].Seq, wire.EndStopped, 0)
	w.Expect(w.orders()).To(Equal(2))
	w.end(2, w.sent()[2][0].Seq, wire.EndStopped, 0)
	w.Expect(w.orders()).To(Equal(4))
	w.Expect(again.got).To(BeEmpty())
	for id, list := range w.sent() {
		w.Expect(list[1].Run).To(BeNumerically(">", list[0].Run), "agent %d", id)
	}
}

// A copy of a request comes seconds after its answer. It gets the same answer and
// nothing runs again.
func TestCopyGetsTheAnswerOfTheFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.submit(w.newJob("j", 1))
	w.end(1, w.sent()[1][0].Seq, wire.EndDone, 0)
	w.pass(3 * time.Second)
	again := w.submit(w.newJob("j", 1))
	w.Expect(again.got).To(ConsistOf(HaveField("Kind", AnswerComplete)))
	w.Expect(w.orders()).To(Equal(1))
}

// The host that runs a task is lost. The caller is told at once that the outcome is
// unknown, and when it asks again, the job starts only after the lease of the lost
// run is surely over.
func TestLostHostKeepsTheJobFromStartingBesideItself(t *testing.T) {
	w := newWorld(t, 2)
	a := w.submit(w.newJob("j", 1))
	lost := ConnID(1)
	if len(w.sent()[1]) == 0 {
		lost = 2
	}
	w.Disconnect(w.now, lost)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
	w.submit(w.newJob("j", 1))
	w.pass(900 * time.Millisecond)
	w.Expect(w.orders()).To(Equal(1))
	w.pass(300 * time.Millisecond)
	w.Expect(w.orders()).To(Equal(2))
}

// A target leaves or stops answering. Nothing new goes there from the moment its agent
// has said so.
func TestNothingGoesToATargetThatIsAway(t *testing.T) {
	for name, change := range map[string]func(*wire.Load){
		"leaving": func(l *wire.Load) { l.Leaving = true },
		"down":    func(l *wire.Load) { l.Down = true },
		"shunned": func(l *wire.Load) { l.Shunned = true },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 2)
			l := w.idle()
			change(l)
			w.load(1, l)
			w.submit(w.newJob("j", 4))
			w.Expect(w.sent()[1]).To(BeEmpty())
			w.Expect(w.sent()[2]).To(HaveLen(4))
		})
	}
}

// A task may need a label, and a step may allow one task a target. A job that no target
// can hold is refused at once.
func TestTasksGoWhereTheyMay(t *testing.T) {
	w := newWorld(t, 3)
	w.Receive(w.now, 2, &wire.LeasedToEntry{Target: &wire.LeasedTarget{Name: "tb", Service: "s", Labels: []string{"big"},
		Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}}})
	j := w.newJob("label", 2)
	j.Steps[0].Label = "big"
	w.submit(j)
	w.Expect(w.sent()[2]).To(HaveLen(2))
	j = w.newJob("apart", 3)
	j.Steps[0].MaxPerTarget = 1
	w.submit(j)
	w.Expect(w.sent()[1]).To(HaveLen(1))
	w.Expect(w.sent()[3]).To(HaveLen(1))
	j = w.newJob("large", 1)
	j.Steps[0].Demand.CPUMilli = 11_000
	w.Expect(w.submit(j).got).To(ConsistOf(HaveField("Fault.Code", fault.NeverRunnable)))
}

// A step begins when the steps before it are done.
func TestStepsFollowEachOther(t *testing.T) {
	w := newWorld(t, 1)
	j := w.newJob("j", 1)
	j.Steps = append(j.Steps, Step{Count: 1, Demand: job.Demand{CPUMilli: 1000}, Estimate: 50 * time.Millisecond, DependsOn: []int{0}})
	a := w.submit(j)
	w.Expect(w.orders()).To(Equal(1))
	w.end(1, w.sent()[1][0].Seq, wire.EndDone, 0)
	w.Expect(w.sent()[1]).To(HaveLen(2))
	w.Expect(w.sent()[1][1].Step).To(Equal(1))
	w.end(1, w.sent()[1][1].Seq, wire.EndDone, 0)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// One entry sends many jobs within the few milliseconds in which its loads are old. It
// counts in what it sent itself, or all of it would go to the one target that looked
// best.
func TestOwnOrdersCountBeforeTheLoadShowsThem(t *testing.T) {
	w := newWorld(t, 4)
	for i := range 4 {
		w.submit(w.newJob(string(rune('a'+i)), 2))
	}
	for id := ConnID(1); id <= 4; id++ {
		w.Expect(w.sent()[id]).To(HaveLen(2), "agent %d", id)
	}
}

// An entry that leaves finishes what it has and refuses what is new, truthfully.
func TestDrainRefusesNewJobs(t *testing.T) {
	w := newWorld(t, 1)
	a := w.submit(w.newJob("old", 1))
	w.Drain()
	w.Expect(w.submit(w.newJob("new", 1)).got).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Draining))))
	w.end(1, w.sent()[1][0].Seq, wire.EndDone, 0)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// A caller stops waiting. The job ends with it, and its work is called back.
func TestJobEndsWithItsCallersTime(t *testing.T) {
	w := newWorld(t, 1)
	a := w.submit(w.newJob("j", 1))
	w.pass(2 * time.Second)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
	w.Expect(w.out.recalls[1]).To(HaveLen(1))
}

// A task stands still on a target that answers all calls. Its caller used to wait until
// its own time was over, with everything else done. The task is stopped and runs
// elsewhere; it is never started there before the stop is reported.
func TestOverdueTaskRunsElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	a := w.submit(w.newJob("j", 1))
	at := ConnID(1)
	if len(w.sent()[1]) == 0 {
		at = 2
	}
	l := w.idle()
	l.Shunned, l.Seen = true, 1
	w.load(at, l)
	for range 20 {
		w.pass(20 * time.Millisecond)
	}
	w.Expect(w.out.recalls[at]).To(HaveLen(1))
	w.Expect(w.orders()).To(Equal(1))
	w.end(at, w.sent()[at][0].Seq, wire.EndStopped, 0)
	other := 3 - at
	w.Expect(w.sent()[other]).To(HaveLen(1))
	w.end(other, w.sent()[other][0].Seq, wire.EndDone, 0)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerComplete)))
}

// The same, too late for anything else. The caller is told at once, not when its own time
// is over.
func TestOverdueTaskEndsItsJob(t *testing.T) {
	w := newWorld(t, 1)
	a := w.submit(w.newJob("j", 1))
	for range 40 {
		w.pass(20 * time.Millisecond)
	}
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// One task of a job comes back late while another is at work. Given up, the job would
// have run in part for nothing and its caller, who can't be told "not run", would send it
// again. It is finished late, behind everything that can still be in time.
func TestJobThatBeganIsFinishedLate(t *testing.T) {
	w := newWorld(t, 2)
	busy := w.idle()
	busy.WaitMs = w.full(200).WaitMs
	w.load(1, busy)
	w.load(2, w.full(30))
	j := w.newJob("j", 3)
	a := w.submit(j)
	w.Expect(w.sent()[1]).To(HaveLen(2), "there is room for two")
	w.now = w.now.Add(150 * time.Millisecond)
	w.end(2, w.sent()[2][0].Seq, wire.EndNotRun, wire.NotRunLate)
	w.Expect(a.got).To(BeEmpty())
	w.Expect(w.orders()).To(Equal(4))
	last := w.sent()[1][len(w.sent()[1])-1]
	if len(w.sent()[1]) == 2 {
		last = w.sent()[2][1]
	}
	w.Expect(last.SlackMs).To(BeNumerically(">", 300), "it waits behind what is in time")
}

// A target goes away the moment after a job was placed. What had not begun there comes
// back and runs elsewhere; the job used to be given up although nothing of it had run.
func TestOrdersOnTheirWayToALostTargetRunElsewhere(t *testing.T) {
	w := newWorld(t, 2)
	a := w.submit(w.newJob("j", 1))
	at := ConnID(1)
	if len(w.sent()[1]) == 0 {
		at = 2
	}
	down := w.idle()
	down.Down = true
	w.load(at, down)
	w.Expect(a.got).To(BeEmpty())
	w.end(at, w.sent()[at][0].Seq, wire.EndNotRun, wire.NotRunDown)
	w.Expect(w.sent()[3-at]).To(HaveLen(1))
	w.pass(2 * downWait)
	w.Expect(a.got).To(BeEmpty())
}

// A task was at work on a target that went away. Its caller is told soon, not when the
// lease of the lost run is over.
func TestJobAtWorkOnALostTargetIsGivenUp(t *testing.T) {
	w := newWorld(t, 1)
	a := w.submit(w.newJob("j", 1))
	down := w.idle()
	down.Down = true
	w.load(1, down)
	w.pass(2 * downWait)
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// A job comes to a second entry while a run of its first owner is still being stopped, and
// the agent beside that run says so. Placed on another target, the task would run twice at
// once: a paper is billed twice.
func TestTaskWithARunThatIsNotOverGoesNowhere(t *testing.T) {
	w := newWorld(t, 2)
	a := w.submit(w.newJob("j", 1))
	at := ConnID(1)
	if len(w.sent()[1]) == 0 {
		at = 2
	}
	w.end(at, w.sent()[at][0].Seq, wire.EndNotRun, wire.NotRunBusy)
	w.Expect(w.orders()).To(Equal(1))
	w.Expect(a.got).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
}

// Every target is busy for a moment that most jobs can bear. The estimates of the queue
// are off at random, so a job that is declared short is most likely a usual one, and its
// caller wants it when a usual one is wanted. Believed as declared it is refused as
// hopeless, though it would have been in time.
func TestDeclaredShortIsNotHopeless(t *testing.T) {
	w := newWorld(t, 2)
	declared := []time.Duration{50, 70, 100, 140, 200}
	for i := range 200 {
		j := w.newJob(fmt.Sprint("before-", i), 1)
		j.Steps[0].Estimate = declared[i%len(declared)] * time.Millisecond
		w.submit(j)
		for id, list := range w.out.orders {
			for _, order := range list {
				idle := w.idle()
				idle.Seen = order.Seq
				w.Receive(w.now, id, &wire.LeasedToEntry{Load: idle, Outcomes: []wire.RunOutcome{{Seq: order.Seq, End: wire.EndDone, RunMs: 100}}})
			}
			delete(w.out.orders, id)
		}
	}
	w.load(1, w.full(75))
	w.load(2, w.full(75))
	j := w.newJob("short", 1)
	j.Steps[0].Estimate = 50 * time.Millisecond // wanted within 140 ms if that were so
	a := w.submit(j)
	w.Expect(a.got).To(BeEmpty())
	w.Expect(w.orders()).To(Equal(1))
}

// Operators add and drop queues all day long. What is remembered of each queue's estimates
// must stay within bounds, and a queue that comes after a thousand others must be learned
// about too: its callers would be refused for estimates that nobody corrects.
func TestQueuesThatComeLateAreLearned(t *testing.T) {
	w := newWorld(t, 1)
	for i := range 3 * maxLines {
		w.line(fmt.Sprint("queue-", i)).AddEstimate(100)
		w.Expect(len(w.lines)).To(BeNumerically("<=", maxLines))
	}
	w.Expect(w.line("last")).To(BeIdenticalTo(w.line("last")))
}

// The room that a load showed has gone to another entry's task. The task goes where there is
// room, and after two such moves it waits: where all targets are full, moving on would cost
// hops until it is late.
func TestATaskThatFindsNoRoomGoesElsewhereTwice(t *testing.T) {
	w := newWorld(t, 3)
	a := w.submit(w.newJob("j", 1))
	been := map[ConnID]bool{}
	for move := range mostMoves {
		for id := ConnID(1); id <= 3; id++ {
			if sent := w.sent()[id]; len(sent) > 0 && !been[id] {
				been[id] = true
				w.Expect(sent[0].Movable).To(BeTrue(), "move %d", move)
				w.load(id, w.full(100))
				w.end(id, sent[0].Seq, wire.EndNotRun, wire.NotRunCrowded)
				break
			}
		}
	}
	w.Expect(w.orders()).To(Equal(1 + mostMoves))
	for id := ConnID(1); id <= 3; id++ {
		w.Expect(w.sent()[id]).To(HaveLen(1))
		if !been[id] {
			w.Expect(w.sent()[id][0].Movable).To(BeFalse())
		}
	}
	w.Expect(a.got).To(BeEmpty())
}
