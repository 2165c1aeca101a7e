package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// simCaller is a caller whose end of the wait the test sets.
type simCaller struct {
	recorder
	at   time.Time // zero: waiting now
	left bool
}

// submitFor submits a job for a caller that is asked whether it waits.
func (h *harness) submitFor(j *Job) *simCaller {
	s := &simCaller{}
	s.WaitingAt = func(now time.Time) (time.Time, bool) {
		if s.at.IsZero() {
			return now, s.left
		}
		return s.at, s.left
	}
	h.Submit(h.now, j, &s.Caller, s.record)
	h.Flush()
	return s
}

// verify verifies the callers some time later.
func (h *harness) verify(after time.Duration) {
	h.now = h.now.Add(after)
	h.VerifyCallers(h.now)
	h.Flush()
}

// Guards against a run that goes on for nobody, and against one that is recalled although one of its
// callers waits.
func TestJobEndsWhenAllCallersHaveLeft(t *testing.T) {
	h := newHarness(t, 1)
	first, second := h.submitFor(h.newJob("1", 1)), h.submitFor(h.newJob("1", 1))
	first.left = true
	h.verify(time.Millisecond)
	h.Expect(h.out.recalls[1]).To(BeEmpty())
	h.Core.Abandon(h.now, &first.Caller) // its connection's end arrives late
	h.Expect(h.out.recalls[1]).To(BeEmpty(), "it is counted once")
	second.left = true
	h.verify(time.Millisecond)
	h.Expect(h.out.recalls[1]).To(HaveLen(1))
	h.Expect(h.Counts().Abandoned).To(Equal(uint64(1)))
	h.Expect(second.answers).To(ConsistOf(HaveField("Fault.Code", fault.Cancelled)))
	h.Core.Abandon(h.now, &second.Caller)
	h.Expect(h.Counts().Abandoned).To(Equal(uint64(1)))
	h.Expect(second.answers).To(HaveLen(1))
}

// Guards against a late message about a caller of an earlier submission that ends the job of another
// caller, which has sent it with the same ID.
func TestLateAbandonmentDoesNotHitANewerSubmission(t *testing.T) {
	h := newHarness(t, 1)
	first := h.submitFor(h.newJob("1", 1))
	first.left = true
	h.verify(time.Millisecond)
	h.reportOutcome(1, 1, wire.EndStopped, wire.NotRunNone)
	h.advance(time.Millisecond)
	again := h.submitFor(h.newJob("1", 1))
	h.Expect(h.orderCount()).To(Equal(2))
	h.Core.Abandon(h.now, &first.Caller)
	h.verify(time.Millisecond)
	h.Expect(again.answers).To(BeEmpty())
	h.Expect(h.out.recalls[1]).To(HaveLen(1))
}

// Guards against a resubmission that starts for a caller that has left while the earlier runs ended, and
// against one that is dropped because the caller of the earlier submission has left.
func TestCallerOfAResubmissionIsVerified(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		h := newHarness(t, 1)
		first := h.submitFor(h.newJob("1", 1))
		h.giveUp(h.jobs.byID["1"], fault.New(fault.Overloaded, "x"))
		again := h.submitFor(h.newJob("1", 1))
		again.left, first.left = leaves, !leaves
		h.verify(time.Millisecond)
		h.reportOutcome(1, 1, wire.EndStopped, wire.NotRunNone)
		h.advance(time.Millisecond)
		if leaves {
			h.Expect(again.answers).To(ConsistOf(HaveField("Kind", AnswerUnknown)))
			h.Expect(h.orderCount()).To(Equal(1))
			continue
		}
		h.Expect(again.answers).To(BeEmpty())
		h.Expect(h.orderCount()).To(Equal(2))
	}
}

// Guards against a confirmation to an agent of what a caller may not have wanted any more, and against
// jobs elsewhere, recalled ones and callers that wait holding it back.
func TestTimeAsOfWhichOrdersAreWanted(t *testing.T) {
	h := newHarness(t, 2)
	h.Expect(h.WantedAt(9).IsZero()).To(BeTrue())
	start := h.now
	known := h.submitFor(h.newJob("1", 1))
	h.Expect(h.out.orders).To(HaveLen(1))
	var busy, idle ConnID = 1, 2
	if len(h.out.orders[1]) == 0 {
		busy, idle = 2, 1
	}
	h.verify(50 * time.Millisecond)
	h.Expect(h.WantedAt(busy)).To(Equal(h.now))
	known.at = start.Add(30 * time.Millisecond) // not later than known before
	h.verify(50 * time.Millisecond)
	h.Expect(h.WantedAt(busy)).To(Equal(start.Add(50 * time.Millisecond)))
	h.Expect(h.WantedAt(idle)).To(Equal(h.now))
	waiting := h.submitFor(h.newJob("1", 1)) // a further caller of the job
	h.verify(50 * time.Millisecond)
	h.Expect(h.WantedAt(busy)).To(Equal(h.now), "the newest of its callers counts")
	waiting.at = h.now
	known.left, waiting.left = true, true
	h.verify(50 * time.Millisecond)
	h.Expect(h.out.recalls[busy]).To(HaveLen(1))
	h.Expect(h.WantedAt(busy)).To(Equal(h.now), "it is recalled")
}
