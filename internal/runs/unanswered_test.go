package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// settleUnanswered leaves the start of an order without an answer and its run reported as not run.
func (h *harness) settleUnanswered() {
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseStartAnswers()
	h.Stopped(h.now, h.target.stops[0], Accepted)
	h.advance(time.Millisecond)
	h.renewWith()
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndNotRun)))
}

// restartUnannounced makes the next renewal reach the next life of the target, before that has announced
// itself. It returns the call.
func (h *harness) restartUnannounced(running ...RunID) RenewCall {
	h.incarnation.StartedMs += 5000
	h.target.stops = nil
	call, known := h.NextRenewal(h.now)
	h.Expect(known).To(BeTrue())
	h.Renewed(h.now, h.now, call, Listing{ClockMs: youngClockMs, StartedMs: h.incarnation.StartedMs, Running: running})
	return call
}

// Guards against two runs of a task: a start without an answer was reported as not run, and the next life carries
// it out between the first call that reaches it and its announcement.
func TestFirstCallThatReachesTheNextLifeFencesUnansweredStarts(t *testing.T) {
	h := newHarness(t)
	h.settleUnanswered()
	call := h.restartUnannounced()
	for _, start := range h.target.starts {
		h.Expect(call.Token).To(BeNumerically(">", start.Token))
	}
}

// Guards against the same for a start whose answer was still awaited at that first call: later calls must follow
// before the announcement.
func TestNextLifeIsCalledBeforeItsAnnouncement(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.restartUnannounced()
	h.Started(h.now, h.target.starts[0], NoAnswer, 0)
	call, known := h.NextRenewal(h.now)
	h.Expect(known).To(BeTrue())
	h.Expect(call.Incarnation).To(Equal(h.incarnation))
	h.Expect(call.Token).To(BeNumerically(">", h.target.starts[0].Token))
	h.Expect(h.target.stops).To(ContainElement(And(HaveField("Run", h.target.starts[0].Run), HaveField("Incarnation", h.incarnation))))
}

// Guards against a run that goes on until the announcement of the next life, which has carried out the start of a
// settled run before the first call reached it.
func TestSettledRunThatTheNextLifeListsIsStoppedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.settleUnanswered()
	run := h.target.starts[0].Run
	h.restartUnannounced(run)
	h.Expect(h.target.stops).To(ContainElement(And(HaveField("Run", run), HaveField("Incarnation", h.incarnation))))
}

// Guards against work for a life that only an answer has shown: it may be of another kind.
func TestNothingStartsInALifeBeforeItsAnnouncement(t *testing.T) {
	h := newHarness(t)
	h.restartUnannounced()
	h.renewWith()
	_, store := h.UnstoredTarget()
	h.Expect(store).To(BeFalse(), "its description is not known")
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.sendOrder(2, 1, task("a", 0), 7)
	h.Expect(h.outcomes(2)).To(HaveKeyWithValue(uint64(1), HaveField("Reason", wire.NotRunDown)))
	h.Expect(h.target.starts).To(BeEmpty())
	for _, f := range h.outbox.sent[2] {
		h.Expect(f.Target).To(BeNil())
		h.Expect(f.Load.Down).To(BeTrue())
	}
	h.announce(1, false)
	h.sendOrder(2, 2, task("a", 0), 8)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Flush(h.now)
	h.Expect(h.outbox.sent[2]).To(ContainElement(HaveField("Target", Not(BeNil()))))
	_, store = h.UnstoredTarget()
	h.Expect(store).To(BeTrue())
}

// Guards against an order that is returned although its start was only overtaken by a call with a higher token.
func TestStartFencedByALaterCallIsSentAgain(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.sendOrder(testConn, 2, task("b", 0), 7)
	h.answerStart(0, NoAnswer)
	h.answerStart(1, StaleToken)
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.Expect(h.target.starts).To(HaveLen(4))
	h.Expect(h.target.starts[3].Run).To(Equal(h.target.starts[1].Run))
	h.Expect(h.target.starts[3].Token).To(BeNumerically(">", h.target.starts[1].Token))
}

// Guards against a task that is started elsewhere while its unanswered start may still be carried out, although it
// can be repeated in time.
func TestUnansweredStartIsRepeatedWhileItsTaskIsInTime(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	for n := 0; h.now.Before(h.run(h.target.starts[0].Run).queueDeadline); n++ {
		h.answerStart(n, NoAnswer)
		h.advance(minCallTimeout)
		h.Expect(h.target.stops).To(BeEmpty())
	}
	h.answerStart(len(h.target.starts)-1, NoAnswer)
	h.Expect(h.target.stops).To(HaveLen(1))
}

// Guards against milliseconds in which an unanswered start can reach the next life before any later call: an
// address that refuses connections is called again soon, as long as such a start may be under way.
func TestAbsentTargetIsCalledOftenWhileAStartMayBeUnderWay(t *testing.T) {
	h := newHarness(t)
	h.loseRenewals(2, time.Millisecond, Refused)
	call, _ := h.NextRenewal(h.now)
	h.Expect(call.RetryDelay).To(Equal(repeatedRenewRetryDelay))
	h.RenewFailed(h.now, call, Refused)

	h = newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NoAnswer)
	h.loseRenewals(2, time.Millisecond, Refused)
	call, _ = h.NextRenewal(h.now)
	h.Expect(call.RetryDelay).To(Equal(fencingRetryDelay))
	h.RenewFailed(h.now, call, Refused)
	h.advance(maxStartDelay)
	call, _ = h.NextRenewal(h.now)
	h.Expect(call.RetryDelay).To(Equal(repeatedRenewRetryDelay))
}

// Guards against two runs of a task: an agent has ended with its starts under way, and the next life of the target
// carries one out after the first call of the next agent, which knows of neither.
func TestNextAgentFencesTheStartsOfTheOneBefore(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NoAnswer)
	late := h.target.starts
	h.now = h.now.Add(time.Second)
	h.Table = New(Options{Log: h.log, Target: h.target, Outbox: h.outbox, Lease: testLease})
	h.rebirth()
	call, _ := h.NextRenewal(h.now)
	for _, start := range late {
		h.Expect(call.Token).To(BeNumerically(">", start.Token))
	}
}

// Guards against a target without work until its next announcement: the first one of its next life has come just before
// the answer that shows that life.
func TestAnnouncementJustBeforeTheFirstAnswerCounts(t *testing.T) {
	h := newHarness(t)
	call, _ := h.NextRenewal(h.now)
	h.incarnation.StartedMs += 5000
	h.Announce(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, ClockMs: youngClockMs, Seq: 1})
	h.Renewed(h.now, h.now, call, Listing{ClockMs: youngClockMs, StartedMs: h.incarnation.StartedMs})
	h.answerProbes(youngClockMs)
	h.renewWith()
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Expect(h.target.starts).To(HaveLen(1))
}
