package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// crashes returns what the session was told of the target's lives.
func (w *world) crashes(conn ConnID) []wire.Crash {
	w.Flush(w.now)
	var all []wire.Crash
	for _, f := range w.out.sent[conn] {
		all = append(all, f.Crashes...)
	}
	return all
}

// Guards against a task that crashes target after target because nobody tells what was at work.
func TestCrashNamesWhatWasAtWork(t *testing.T) {
	w := newWorld(t)
	w.Connect(w.now, 2)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.answer(0, Accepted)
	w.loseRenewals(1, 5*time.Millisecond, Refused)
	for _, conn := range []ConnID{session, 2} {
		w.Expect(w.crashes(conn)).To(ConsistOf(And(HaveField("Target", "t-1"), HaveField("Fate", wire.FateCrashed),
			HaveField("Tasks", ConsistOf(wire.TaskRef{Job: "a"}, wire.TaskRef{Job: "a", Index: 1})))), "not what only waited")
	}
}

// Guards against a silent target whose crash is proved only when it is back, long after its
// lease has ended the runs.
func TestSilentTargetThatComesBackAsAnotherLifeHasCrashed(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.loseRenewals(6, 60*time.Millisecond, Unresponsive)
	w.pass(1500 * time.Millisecond)
	w.life = Incarnation{Name: "t-1", StartedMs: 9000}
	w.announce(1, false)
	w.Expect(w.crashes(session)).To(HaveExactElements(HaveField("Fate", wire.FateSilent),
		And(HaveField("Fate", wire.FateCrashed), HaveField("BornMs", int64(1000)), HaveField("Tasks", ConsistOf(wire.TaskRef{Job: "a"})))))
}

// Guards against suspicion of what ran on a target that was only out of reach.
func TestSilentTargetThatGoesOnHasNotCrashed(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.loseRenewals(6, 60*time.Millisecond, Unresponsive)
	w.list(w.target.starts[0].Run)
	w.Expect(w.crashes(session)).To(HaveExactElements(HaveField("Fate", wire.FateSilent), HaveField("Fate", wire.FateBack)))
}

// Guards against suspicion of what ran on a target that said that it leaves.
func TestTargetThatLeavesHasNotCrashed(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.answer(0, Accepted)
	w.announce(2, true)
	w.loseRenewals(1, 5*time.Millisecond, Refused)
	w.Expect(w.crashes(session)).To(BeEmpty())
}

// resize lets the target say that it has another capacity.
func (w *world) resize(cpuMilli int) {
	a := w.board.target
	a.Seq, a.Capacity = a.Seq+1, job.Demand{CPUMilli: cpuMilli, MemoryMB: 1000}
	w.Announce(w.now, a)
}

// Guards against a start over the capacity of a target that has shrunk: what runs there, also
// what is being stopped, takes room until it has ended.
func TestNothingStartsOverACapacityThatShrank(t *testing.T) {
	w := newWorld(t)
	for i := range 2 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.answer(0, Accepted)
	w.answer(1, Accepted)
	w.resize(4000)
	w.Receive(w.now, session, &wire.LeasedToAgent{Recalls: []uint64{1}})
	w.order(session, 3, task("b", 0), 8)
	w.Expect(w.target.starts).To(HaveLen(2))
	first, second := w.target.starts[0].Run, w.target.starts[1].Run
	w.listEnds([]EndedRun{w.end(first, Stopped)}, second)
	w.Expect(w.target.starts).To(HaveLen(2), "4 of 4 cores are in use")
	w.listEnds([]EndedRun{w.end(second, Done)})
	w.Expect(w.target.starts).To(HaveLen(3))
}

// Guards against orders that wait until their callers leave for room which a target has no more.
func TestWaitingOrderThatNoLongerFitsComesBackAtOnce(t *testing.T) {
	w := newWorld(t)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.resize(3000)
	w.Expect(w.outcomes(session)).To(HaveKeyWithValue(uint64(3), HaveField("Reason", wire.NotRunUnfit)))
}

// Guards against entries that go on reckoning with the capacity of before, and against new room
// that stays unused.
func TestResizedTargetIsDescribedAnew(t *testing.T) {
	w := newWorld(t)
	w.Flush(w.now)
	for i := range 3 {
		w.order(session, uint64(i+1), task("a", i), 7)
	}
	w.Expect(w.target.starts).To(HaveLen(2))
	w.resize(12_000)
	w.Expect(w.target.starts).To(HaveLen(3))
	w.Flush(w.now)
	frames := w.out.sent[session]
	w.Expect(frames[len(frames)-1].Target.Capacity.CPUMilli).To(Equal(12_000))
}

// Guards against a start that is called again after the target has shrunk below what it runs.
func TestUnansweredStartIsNotRepeatedOverTheCapacity(t *testing.T) {
	w := newWorld(t)
	w.order(session, 1, task("a", 0), 7)
	w.resize(3000)
	w.answer(0, NoAnswer)
	w.Expect(w.target.starts).To(HaveLen(1))
	w.Expect(w.target.stops).To(HaveLen(1))
}

// Guards against a start over the capacity of a target that does not turn it away: a restarted
// agent knows the target only from a record that may be older than its last change.
func TestUnguardedTargetStartsNothingBeforeItHasSpoken(t *testing.T) {
	w := newWorld(t)
	w.Table = New(Options{Log: w.log, Target: w.target, Outbox: w.out, LeaseLimit: time.Second})
	w.Restore(w.now, Announcement{Incarnation: w.life, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}})
	w.list() // draws the token
	w.list()
	w.Connect(w.now, session)
	order := wire.Order{Seq: 1, Job: "a", Run: 7, Demand: job.Demand{CPUMilli: 4000}, EstimateMs: 100, SlackMs: 100, GiveUpMs: 300, LimitMs: 3000, Unguarded: true}
	w.Receive(w.now, session, &wire.LeasedToAgent{Orders: []wire.Order{order}})
	w.Expect(w.target.starts).To(BeEmpty())
	w.announce(1, false)
	w.pass(time.Millisecond)
	w.Expect(w.target.starts).To(HaveLen(1))
}
