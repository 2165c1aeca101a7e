package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// reportCrash makes an agent report that its target has crashed, does not answer or answers
// again, depending on fate, with a running task of each job. All open orders of the session end as
// stopped.
func (h *harness) reportCrash(id ConnID, fate wire.Fate, jobs ...string) {
	c := wire.Crash{Target: "t" + string(rune('a'+id)), StartedMs: 1, Fate: fate}
	f := &wire.LeasedToEntry{Load: &wire.Load{Down: fate != wire.FateRecovered, LastSeq: 1 << 40, Speed: 1}}
	for _, job := range jobs {
		c.Tasks = append(c.Tasks, wire.TaskRef{Job: job})
	}
	f.Crashes = []wire.Crash{c}
	for seq := range h.agents[id].attempts {
		f.Outcomes = append(f.Outcomes, wire.RunOutcome{Seq: seq, End: wire.EndStopped})
	}
	h.Receive(h.now, id, f)
	h.Flush()
}

// Guards against a task that crashes one target after another. After two crashes it is not
// started again, and its caller is answered immediately.
func TestTaskThatCrashesTwoTargetsFailsItsJob(t *testing.T) {
	h := newHarness(t, 4)
	caller := h.submit(h.newJob("1", 1))
	for range 2 {
		h.Expect(caller.answers).To(BeEmpty())
		for id, a := range h.agents {
			if len(a.attempts) > 0 {
				h.reportCrash(id, wire.FateCrashed, "1")
				break
			}
		}
		h.advance(400 * time.Millisecond)
	}
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerFailed)))
	h.Expect(h.orderCount()).To(Equal(2))
}

// crashBeforeStart makes the agent with the order of a job report that its target has crashed before
// it answered the start.
func (h *harness) crashBeforeStart(job string) {
	for id, a := range h.agents {
		if len(a.attempts) > 0 {
			h.reportCrash(id, wire.FateUnresponsive, job)
			h.reportCrash(id, wire.FateCrashed)
			return
		}
	}
}

// Guards against sound jobs that are answered as failed when targets crash within milliseconds of
// each other: the task was sent to targets on which it never ran.
func TestOrderThatNeverRanIsNoCrash(t *testing.T) {
	h := newHarness(t, 5)
	caller := h.submit(h.newJob("1", 1))
	for id, a := range h.agents {
		if len(a.attempts) > 0 {
			h.reportCrash(id, wire.FateCrashed, "1")
			break
		}
	}
	h.crashBeforeStart("1")
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.orderCount()).To(Equal(3), "it is placed again")
	h.crashBeforeStart("1")
	h.Expect(caller.answers).To(ConsistOf(And(HaveField("Kind", AnswerUnknown), HaveField("Fault.Code", fault.Suspected))), "it may crash its targets")
	h.Expect(h.orderCount()).To(Equal(3))
	again := h.submit(h.newJob("1", 1))
	h.Expect(again.answers).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Suspected))))
}

// Guards against a task that continues to crash targets because its caller sends it to an
// entry that has not started it before.
func TestCrashesSeenThroughOtherEntriesCount(t *testing.T) {
	h := newHarness(t, 4)
	h.reportCrash(1, wire.FateCrashed, "1")
	h.advance(time.Second)
	h.reportCrash(2, wire.FateCrashed, "1")
	caller := h.submit(h.newJob("1", 1))
	h.Expect(caller.answers).To(ConsistOf(HaveField("Kind", AnswerFailed)))
	h.Expect(h.orderCount()).To(BeZero())
}

// Guards against harmless jobs that are answered as failed after many targets were lost at the
// same time.
func TestTargetsLostTogetherAreNotACrashLoop(t *testing.T) {
	h := newHarness(t, 6)
	for id := ConnID(1); id <= 3; id++ {
		h.reportCrash(id, wire.FateCrashed, "1", "x"+string(rune('0'+id)))
	}
	for id := ConnID(4); id <= 6; id++ {
		h.reportCrash(id, wire.FateCrashed, "y")
	}
	h.connect(7)
	caller := h.submit(h.newJob("x1", 1))
	h.Expect(caller.answers).To(BeEmpty())
	h.Expect(h.orderCount()).To(Equal(1))
}

// Guards against a job that crashes targets faster than they restart and report it, and
// against failing a job whose targets were only unreachable.
func TestJobIsQuarantinedWhileItsTargetsDoNotAnswer(t *testing.T) {
	h := newHarness(t, 3)
	h.reportCrash(1, wire.FateUnresponsive, "1")
	h.advance(time.Second)
	h.reportCrash(2, wire.FateUnresponsive, "1")
	caller := h.submit(h.newJob("1", 1))
	h.Expect(caller.answers).To(ConsistOf(And(HaveField("Kind", AnswerNotRun), HaveField("Fault.Code", fault.Suspected))))
	h.reportCrash(1, wire.FateRecovered, "1")
	again := h.submit(h.newJob("1", 1))
	h.Expect(again.answers).To(BeEmpty())
	h.Expect(h.orderCount()).To(Equal(1), "they had not crashed")
}
