package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against a job that starts after it was cancelled: a copy of its request waits until a start in doubt of the
// first submission is settled.
func TestCancellationEndsAWaitingResubmission(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(h.newJob("1", 1))
	h.giveUp(h.jobs.byID["1"], fault.New(fault.OutcomeUnknown, "x"))
	h.advance(maxProofWait)
	again := h.submit(h.newJob("1", 1))
	h.Expect(again.answers).To(BeEmpty())
	h.Expect(h.Cancel(h.now, "1")).To(BeTrue())
	h.Expect(again.answers).To(HaveExactElements(And(HaveField("Kind", AnswerUnknown), HaveField("Fault.Code", fault.Cancelled))))
	h.Abandon(h.now, "1")
	h.reportOutcome(1, h.agents[1].nextSeq, wire.EndStopped, wire.NotRunNone)
	h.advance(time.Millisecond)
	h.Expect(h.orderCount()).To(Equal(1))
	h.Expect(again.answers).To(HaveLen(1))
}
