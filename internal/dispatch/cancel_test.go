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

// Guards against a cancelled job that runs again: a copy of its request arrives seconds later, also where no copy was
// seen before.
func TestCopyOfACancelledJobDoesNotRun(t *testing.T) {
	for name, known := range map[string]bool{"known": true, "not known": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			if known {
				h.submit(h.newJob("1", 1))
				h.reportOutcome(1, h.agents[1].nextSeq, wire.EndStopped, wire.NotRunNone)
			}
			h.Expect(h.Cancel(h.now, "1")).To(Equal(known))
			orders := h.orderCount()
			h.advance(3500 * time.Millisecond)
			copied := h.submit(h.newJob("1", 1))
			h.Expect(copied.answers).To(HaveExactElements(HaveField("Fault.Code", fault.Cancelled)))
			h.Expect(h.orderCount()).To(Equal(orders))
			h.Expect(h.Knows(h.now, "1")).To(BeTrue(), "it must not be handed over")
		})
	}
}

// Guards against a job that goes on because its cancellation has reached another entry.
func TestCancellationIsPassedOn(t *testing.T) {
	h := newHarness(t, 2)
	h.agents[2].features = wire.ExtendedFeatures
	h.Cancel(h.now, "elsewhere")
	h.Cancel(h.now, "elsewhere")
	h.Expect(h.agents[1].outgoing.Cancellations).To(Equal([]string{"elsewhere"}))
	h.Expect(h.agents[2].outgoing.Cancellations).To(BeEmpty(), "an earlier build rejects them")
	h.Flush()
	h.connect(3)
	h.Expect(h.agents[3].outgoing.Cancellations).To(Equal([]string{"elsewhere"}), "it may be the first agent")
	h.Flush()

	var handedOver []string
	h.options.Cancelled = func(id string) { handedOver = append(handedOver, id) }
	here := h.submit(h.newJob("here", 1))
	for range 2 {
		h.Receive(h.now, 1, &wire.LeasedToEntry{Cancellations: []string{"here", "elsewhere"}})
	}
	h.Expect(here.answers).To(HaveExactElements(HaveField("Fault.Code", fault.Cancelled)))
	h.Expect(handedOver).To(Equal([]string{"here"}))
	h.Expect(h.agents[1].outgoing.Cancellations).To(BeEmpty(), "its agents have passed it on")
}

// Guards against a job that was completed and is answered as cancelled to a copy of its request.
func TestCancellationAfterTheResultChangesNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(h.newJob("1", 1))
	h.reportOutcome(1, h.agents[1].nextSeq, wire.EndDone, wire.NotRunNone)
	h.Expect(h.Cancel(h.now, "1")).To(BeTrue())
	h.Expect(h.submit(h.newJob("1", 1)).answers).To(HaveExactElements(HaveField("Kind", AnswerComplete)))
}
