package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// crash lets an agent's target crash with a task of each job at work, and the orders of the
// session end with it.
func (w *world) crash(id ConnID, fate wire.Fate, jobs ...string) {
	c := wire.Crash{Target: "t" + string(rune('a'+id)), BornMs: 1, Fate: fate}
	f := &wire.LeasedToEntry{Load: &wire.Load{Down: fate != wire.FateBack, Seen: 1 << 40, Speed: 1}}
	for _, job := range jobs {
		c.Tasks = append(c.Tasks, wire.TaskRef{Job: job})
	}
	f.Crashes = []wire.Crash{c}
	for seq := range w.agents[id].attempts {
		f.Outcomes = append(f.Outcomes, wire.RunOutcome{Seq: seq, End: wire.EndStopped})
	}
	w.Receive(w.now, id, f)
	w.Flush()
}

// Guards against a task that takes down one target after the other: after two it is not started
// again, and its caller is told at once.
func TestTaskUnderWhichTwoTargetsCrashFailsItsJob(t *testing.T) {
	w := newWorld(t, 4)
	caller := w.submit(w.newJob("1", 1))
	for range 2 {
		w.Expect(caller.got).To(BeEmpty())
		for id, a := range w.agents {
			if len(a.attempts) > 0 {
				w.crash(id, wire.FateCrashed, "1")
				break
			}
		}
		w.pass(400 * time.Millisecond)
	}
	w.Expect(caller.got).To(ConsistOf(HaveField("Kind", AnswerFailed)))
	w.Expect(w.orders()).To(Equal(2))
}

// Guards against a task that goes on crashing targets because its caller asks again at an entry
// that did not start it before.
func TestOtherEntriesKnowWhatCrashed(t *testing.T) {
	w := newWorld(t, 4)
	w.crash(1, wire.FateCrashed, "1")
	w.pass(time.Second)
	w.crash(2, wire.FateCrashed, "1")
	caller := w.submit(w.newJob("1", 1))
	w.Expect(caller.got).To(ConsistOf(HaveField("Kind", AnswerFailed)))
	w.Expect(w.orders()).To(BeZero())
}

// Guards against sound jobs that are answered as failed after many targets were lost at the
// same moment.
func TestTargetsLostTogetherAreNoCrashLoop(t *testing.T) {
	w := newWorld(t, 6)
	for id := ConnID(1); id <= 3; id++ {
		w.crash(id, wire.FateCrashed, "1", "x"+string(rune('0'+id)))
	}
	for id := ConnID(4); id <= 6; id++ {
		w.crash(id, wire.FateCrashed, "y")
	}
	w.connect(7)
	caller := w.submit(w.newJob("x1", 1))
	w.Expect(caller.got).To(BeEmpty())
	w.Expect(w.orders()).To(Equal(1))
}

// Guards against a job that takes down targets faster than they come back to tell of it, and
// against a false answer for one whose targets were only out of reach.
func TestJobIsHeldWhileItsTargetsDoNotAnswer(t *testing.T) {
	w := newWorld(t, 3)
	w.crash(1, wire.FateSilent, "1")
	w.pass(time.Second)
	w.crash(2, wire.FateSilent, "1")
	caller := w.submit(w.newJob("1", 1))
	w.Expect(caller.got).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Suspected))))
	w.crash(1, wire.FateBack, "1")
	again := w.submit(w.newJob("1", 1))
	w.Expect(again.got).To(BeEmpty())
	w.Expect(w.orders()).To(Equal(1), "they had not crashed")
}
