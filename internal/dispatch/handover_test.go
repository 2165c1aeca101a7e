package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/scheduler/uplink"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against hand-overs without a reason, which only cost a hop, and against an outlook that
// admits the job or counts its estimates.
func TestOutlookOfAnEntryThatServes(t *testing.T) {
	h := newHarness(t, 2)
	o := h.Outlook(h.now, h.newJob("1", 2), false)
	h.Expect(o.Reason()).To(Equal(peerchoice.None))
	o = h.Outlook(h.now, h.newJob("1", 2), true)
	h.Expect(o.Reason()).To(Equal(peerchoice.Draining))
	h.Expect(o.SlackMs).To(BeNumerically("~", 120, 1))
	h.Expect(h.Knows(h.now, "1")).To(BeFalse())
	h.Expect(h.calibration("q")).To(Equal(newHarness(t, 0).calibration("q")))
	h.submit(h.newJob("1", 2))
	h.Expect(h.Knows(h.now, "1")).To(BeTrue())
}

// Guards against a refusal for lack of targets although a peer may reach them, and against a
// hand-over to peers that have the same evacuation.
func TestOutlookWithoutTargets(t *testing.T) {
	h := newHarness(t, 1)
	h.Evacuate(h.now, "a", false)
	o := h.Outlook(h.now, h.newJob("1", 1), false)
	h.Expect(o.Reason()).To(Equal(peerchoice.None))
	h.setLoad(1, &wire.Load{Down: true})
	o = h.Outlook(h.now, h.newJob("1", 1), false)
	h.Expect(o.Reason()).To(Equal(peerchoice.NoTarget))
}

// Guards against a wide job that is refused for the entry's own narrow link although a peer with a
// wide link could send its orders in time, and against blaming the link for a job that is late
// for lack of capacity.
func TestOutlookBehindABusyLink(t *testing.T) {
	h := newHarness(t, 8)
	h.link = uplink.New(2)
	reason := func() peerchoice.Reason {
		o := h.Outlook(h.now, h.newWideJob("j"), false)
		return o.Reason()
	}
	h.Expect(reason()).To(Equal(peerchoice.None))
	h.link.Enqueue(h.now, 40_000) // 160 ms
	h.Expect(reason()).To(Equal(peerchoice.LinkBusy))
	h.Expect(h.submit(h.newWideJob("j")).answers).To(ConsistOf(HaveField("Kind", AnswerNotRun)), "the core refuses it")
	for id := range 8 {
		h.setLoad(ConnID(id+1), h.fullLoad(1000))
	}
	h.Expect(reason()).To(Equal(peerchoice.None))
}

// Guards against a job that runs on although both callers that have sent it have left, one of them
// through another entry: a copy that is sent to a third entry would run beside it.
func TestJobIsAbandonedWhenItsLastCallerLeaves(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(h.newJob("1", 1))
	h.submit(h.newJob("1", 1))
	h.Abandon(h.now, "1")
	h.advance(time.Millisecond)
	h.Expect(h.out.recalls[1]).To(BeEmpty())
	h.Abandon(h.now, "1")
	h.advance(time.Millisecond)
	h.Expect(h.out.recalls[1]).To(HaveLen(1))
}

// Guards against a resubmission that starts after its caller has left, because the caller left
// while the earlier job was being given up and had no answer yet: a copy that is sent to another
// entry would run beside it. Its request must also get an answer, because another entry may wait for it.
func TestResubmissionIsDroppedWhileTheJobIsGivenUp(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submit(h.newJob("1", 1))
	h.giveUp(h.jobs.byID["1"], fault.New(fault.Overloaded, "x"))
	again := h.submit(h.newJob("1", 1))
	h.Abandon(h.now, "1")
	h.Expect(again.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
	h.reportOutcome(1, h.agents[1].nextSeq, wire.EndNotRun, wire.NotRunNone)
	h.advance(time.Millisecond)
	h.Expect(h.orderCount()).To(Equal(1))
	h.Expect(first.answers).To(ConsistOf(HaveField("Kind", AnswerNotRun)))
}
