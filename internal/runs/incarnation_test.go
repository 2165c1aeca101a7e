package runs

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// youngClockMs is a reading of the clock of a target that has just started.
const youngClockMs = 700

// rebirth announces the next life of the target under its name. Its clock starts anew.
func (h *harness) rebirth() {
	h.incarnation.StartedMs += 5000
	h.target.stops = slices.DeleteFunc(h.target.stops, func(c StopCall) bool { return c.Incarnation != h.incarnation })
	h.lastEnd = 0
	h.Announce(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, ClockMs: youngClockMs, Seq: 1})
	h.answerProbes(youngClockMs)
}

// stoppedInNextLife checks that a run of the life before is over only once the next life has confirmed
// its stop and then doesn't list it.
func (h *harness) stoppedInNextLife(run RunID) {
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "the next life may run it")
	h.Expect(h.target.stops).To(ContainElement(And(HaveField("Run", run), HaveField("Incarnation", h.incarnation))))
	h.renewWith()
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "the stop is not confirmed")
	for _, c := range h.target.stops {
		if c.Run == run {
			h.Stopped(h.now, c, Accepted)
			break
		}
	}
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "it may be running until a listing shows otherwise")
	h.advance(time.Millisecond)
	h.renewWith()
	if h.run(run) != nil {
		h.Expect(h.run(run).startInFlight).To(BeTrue())
		h.Started(h.now, h.target.starts[0], NoAnswer, 0)
		h.renewWith()
	}
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)), "it may have run")
}

// Guards against two runs of a task: a start is under way, or its goroutine has not run yet, when the target
// restarts under its name, and the next life carries it out. Settled with the life before, the task is
// started elsewhere beside it.
func TestStartThatReachesTheNextLife(t *testing.T) {
	for name, answer := range map[string]func(*harness){
		"without an answer so far": func(*harness) {},
		"with a lost answer":       func(h *harness) { h.answerStart(0, NoAnswer) },
		"answered late":            func(h *harness) { h.rebirth(); h.Started(h.now, h.target.starts[0], Accepted, youngClockMs) },
		"answered by the next life before its announcement": func(h *harness) {
			h.Started(h.now, h.target.starts[0], Accepted, youngClockMs)
		},
		"accepted by the life before after a lost answer": func(h *harness) {
			h.answerStart(0, NoAnswer)
			h.answerStart(1, Accepted)
			h.renewWith(h.target.starts[0].Run)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.sendOrder(testConn, 1, task("a", 0), 7)
			answer(h)
			if h.incarnation.StartedMs == 1000 {
				h.rebirth()
			}
			h.stoppedInNextLife(h.target.starts[0].Run)
			h.Expect(h.Counts().CarriedOver).To(Equal(uint64(1)))
		})
	}
}

// Guards against the same when the renewal finds no process at the address first, or another life.
func TestStartAfterItsLifeWasFoundToHaveEnded(t *testing.T) {
	for name, found := range map[string]func(*harness){
		"refused":  func(h *harness) { h.loseRenewals(1, time.Millisecond, Refused) },
		"replaced": func(h *harness) { h.loseRenewals(1, time.Millisecond, Replaced) },
		"listed by the next life": func(h *harness) {
			call, _ := h.NextRenewal(h.now)
			h.Renewed(h.now, h.now, call, Listing{ClockMs: youngClockMs, StartedMs: h.incarnation.StartedMs + 5000})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.sendOrder(testConn, 1, task("a", 0), 7)
			found(h)
			h.Expect(h.outcomes(testConn)).To(BeEmpty())
			h.advance(200 * time.Millisecond)
			h.rebirth()
			h.stoppedInNextLife(h.target.starts[0].Run)
		})
	}
}

// Guards against the same for a run that was stopped in time in the life before, while its start was still
// under way.
func TestStoppedRunWaitsForItsStartCall(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{1}})
	h.Stopped(h.now, h.target.stops[0], Accepted)
	h.advance(time.Millisecond)
	h.renewWith()
	h.rebirth()
	h.stoppedInNextLife(h.target.starts[0].Run)
}

// Guards against a task reported as not run that may have run: its start was not answered, and its stop
// was confirmed, possibly by the next life, before the end of the life became known.
func TestConfirmedStopProvesNothingAboutTheLifeBefore(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseStartAnswers()
	h.Stopped(h.now, h.target.stops[0], Accepted)
	h.advance(time.Millisecond)
	h.rebirth()
	h.stoppedInNextLife(h.target.starts[0].Run)
}

// Guards against work that waits for nothing after a crash: a run that its life has accepted or listed, and
// whose start is not under way any more, ended with it.
func TestRunThatItsLifeHadIsOverWithIt(t *testing.T) {
	for name, end := range map[string]func(*harness){
		"refused until the lease is over": func(h *harness) {
			h.loseRenewals(1, time.Millisecond, Refused)
			h.Expect(h.outcomes(testConn)).To(BeEmpty(), "it may have stopped listening only")
			h.advance(1500 * time.Millisecond)
		},
		"refused, then reborn": func(h *harness) { h.loseRenewals(1, time.Millisecond, Refused); h.rebirth() },
		"misdirected until the lease is over": func(h *harness) {
			h.loseRenewals(1, time.Millisecond, Replaced)
			h.Expect(h.outcomes(testConn)).To(BeEmpty(), "another target has answered")
			h.advance(1500 * time.Millisecond)
		},
		"reborn": func(h *harness) { h.rebirth() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.sendOrder(testConn, 1, task("a", 0), 7)
			h.sendOrder(testConn, 2, task("b", 0), 7)
			h.answerStart(0, Accepted)
			h.renewWith(h.target.starts[0].Run, h.target.starts[1].Run)
			h.answerStart(1, NoAnswer)
			end(h)
			h.Expect(h.outcomes(testConn)).To(And(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)), HaveKeyWithValue(uint64(2), HaveField("End", wire.EndStopped))))
			h.Expect(h.Runs()).To(BeZero())
		})
	}
}

// Guards against a task that waits for a next life although its only start was never sent.
func TestStartThatWasNotDeliveredHasNotRunInAnyLife(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseRenewals(1, time.Millisecond, Refused)
	h.answerStart(0, NotDelivered)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), And(HaveField("End", wire.EndNotRun), HaveField("Reason", wire.NotRunDown))))
}

// Guards against a second order for a task that the next life may run, against a shutdown and a retired
// session that wait for an absent target, and against new orders that wait for a run that was carried over.
func TestRunThatIsCarriedOverBlocksItsTaskAlone(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseRenewals(1, time.Millisecond, Refused)
	h.Retire(h.now, testConn)
	h.advance(time.Second)
	h.Expect(h.Unfinished()).To(BeZero())
	h.Expect(h.outbox.closed).To(ContainElement(testConn))
	h.rebirth()
	h.Expect(h.Unfinished()).To(Equal(1))
	h.renewWith()
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.sendOrder(2, 1, task("a", 0), 9)
	h.sendOrder(2, 2, task("b", 0), 9)
	h.Expect(h.outcomes(2)).To(Equal(map[uint64]wire.RunOutcome{1: {Seq: 1, End: wire.EndNotRun, Reason: wire.NotRunAlreadyRunning}}))
	h.Expect(h.target.starts).To(HaveLen(2))
}

// Guards against a run that is carried out by the next life to its end and reported as stopped.
func TestRunThatTheNextLifeCompletes(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.rebirth()
	h.renewWithEnds([]EndedRun{h.nextEnd(h.target.starts[0].Run, Done)})
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
}

// Guards against a run that waits for a next life that rejects its start: another target has the address.
func TestTargetUnderAnotherNameEndsWhatWasCarriedOver(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.loseRenewals(1, time.Millisecond, Replaced)
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.incarnation.Name = "t-2"
	h.rebirth()
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "the first target may have the run")
	h.advance(1500 * time.Millisecond)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// Guards against a run that goes on for tens of refused calls in the next life, to which a call of the
// life before has left its fencing token.
func TestTokenOfTheLifeBeforeIsOvertakenAtOnce(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	old := h.target.starts[0].Token
	h.rebirth()
	h.Expect(h.target.stops).To(HaveLen(1))
	h.Stopped(h.now, h.target.stops[0], StaleToken)
	h.advance(time.Millisecond)
	h.Expect(h.target.stops).To(HaveLen(2))
	h.Expect(h.target.stops[1].Token).To(BeNumerically(">", old))
}

// Guards against a start that is carried out seconds after its run was settled, by a later life of the target:
// the first call that this life accepts must turn it away.
func TestLateStartOfASettledRunIsFencedInTheNextLife(t *testing.T) {
	h := newHarness(t)
	h.settleUnanswered()
	for range 3 {
		h.rebirth()
		call, _ := h.NextRenewal(h.now)
		for _, start := range h.target.starts {
			h.Expect(call.Token).To(BeNumerically(">", start.Token))
		}
		h.Renewed(h.now, h.now, call, Listing{ClockMs: youngClockMs, StartedMs: h.incarnation.StartedMs, StaleToken: true})
		raised, _ := h.NextRenewal(h.now)
		h.Expect(raised.Token).To(BeNumerically(">", call.Token))
		h.sendOrder(testConn, uint64(len(h.target.starts)+1), task("b", len(h.target.starts)), 7)
	}
}

// Guards against a target that is lost for good after the time of day was stepped back: its next life seems
// to be older than the last one, while its starts are carried out there.
func TestLifeWithAnEarlierStartTimeIsAdoptedOnceItAnswers(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.incarnation.StartedMs -= 600
	h.Announce(h.now, Announcement{Incarnation: h.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, ClockMs: youngClockMs, Seq: 1})
	_, known := h.NextRenewal(h.now)
	h.Expect(known).To(BeTrue())
	h.Expect(h.tableState.target.Incarnation).NotTo(Equal(h.incarnation), "it may be a late announcement")
	call, _ := h.NextRenewal(h.now)
	h.Renewed(h.now, h.now, call, Listing{ClockMs: youngClockMs, StartedMs: h.incarnation.StartedMs})
	h.RenewFailed(h.now, h.target.renewals[0], Unresponsive)
	h.target.renewals = nil
	h.advance(probeInterval)
	h.answerProbes(youngClockMs)
	h.stoppedInNextLife(h.target.starts[0].Run)
}

// Guards against a task blamed for the crash of a life that never had it.
func TestRunOfTheNextLifeHasNotCrashedTheLastOne(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Started(h.now, h.target.starts[0], Accepted, youngClockMs)
	h.loseRenewals(1, time.Millisecond, Refused)
	h.rebirth()
	h.Expect(h.reportedCrashes(testConn)).To(HaveExactElements(HaveField("Fate", wire.FateUnresponsive), And(HaveField("Fate", wire.FateCrashed), HaveField("Tasks", BeEmpty()))))
}

// Guards against a stop in the next life for every short run whose start was not answered: the only call
// was carried out.
func TestOnlyStartOfARunThatEndedIsNotFenced(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.renewWithEnds([]EndedRun{h.nextEnd(h.target.starts[0].Run, Done)})
	h.answerStart(0, NoAnswer)
	h.rebirth()
	h.Expect(h.target.stops).To(BeEmpty())
}

// Guards against a start that the next life carries out after its first listing: nothing but the fencing
// token can turn it away.
func TestTokenIsAboveThoseOfTheEarlierLife(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, NoAnswer)
	late := h.target.starts[0].Token
	h.rebirth()
	call, _ := h.NextRenewal(h.now)
	h.Expect(call.Token).To(BeNumerically(">", late))
}

// Guards against two runs of one task: a listing of the next life shows a run at work there, and it is
// reported as over when that life announces itself.
func TestRunThatTheNextLifeListsIsNotOver(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	call, _ := h.NextRenewal(h.now)
	h.Renewed(h.now, h.now, call, Listing{ClockMs: youngClockMs, StartedMs: h.incarnation.StartedMs + 5000, Running: []RunID{h.target.starts[0].Run}})
	h.rebirth()
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.stoppedInNextLife(h.target.starts[0].Run)
}
