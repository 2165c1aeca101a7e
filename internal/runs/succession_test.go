package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// second is a second target of the host, alive beside the harness's.
type second struct {
	*harness
	incarnation Incarnation
	seq         uint64
	answers     bool // at the address
	running     []RunID
	ended       []EndedRun
}

func (s *second) announce(leaving bool) {
	s.seq++
	s.Announce(s.now, Announcement{Incarnation: s.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, ClockMs: youngClockMs, Seq: s.seq, Leaving: leaving})
}

// announceFirst announces the first target.
func (s *second) announceFirst(seq uint64, leaving bool) {
	s.Announce(s.now, Announcement{Incarnation: s.harness.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, ClockMs: s.clockMs(), Seq: seq, Leaving: leaving})
}

// answer answers the calls of the table: those for the second target, and with firstRuns those for the first.
func (s *second) answer(firstAnswers bool, firstEnds []EndedRun, firstRuns ...RunID) {
	calls := s.target.renewals
	s.target.renewals = nil
	for _, c := range calls {
		switch {
		case c.Incarnation.Name == s.incarnation.Name && s.answers:
			s.Renewed(s.now, s.now, c, Listing{ClockMs: youngClockMs, StartedMs: s.incarnation.StartedMs, Running: s.running, Ended: s.ended, StaleToken: c.Probe && s.hasToken()})
		case c.Incarnation.Name == s.harness.incarnation.Name && firstAnswers:
			s.Renewed(s.now, s.now, c, Listing{ClockMs: s.clockMs(), StartedMs: s.harness.incarnation.StartedMs, Running: firstRuns, Ended: firstEnds, StaleToken: c.Probe})
		default:
			s.RenewFailed(s.now, c, Replaced)
		}
	}
}

// hasToken reports whether the second target has seen a token.
func (s *second) hasToken() bool {
	state := s.targetNamed(s.incarnation.Name)
	return state != nil && state.listed
}

// newSecond returns the second target, and the first with one run, accepted and listed.
func newSecond(t *testing.T, startedMs int64) (*second, RunID) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	run := h.target.starts[0].Run
	h.renewWith(run)
	return &second{harness: h, incarnation: Incarnation{Name: "t-2", StartedMs: startedMs}, answers: true}, run
}

// startTimes are those of the second target, beside 1000 of the first.
var startTimes = map[string]int64{"later": 2000, "equal": 1000, "absent": 0, "earlier": 500}

// Guards against two runs of a task at once: another target of the host announces itself, and the runs of the
// one that answers are reported as stopped.
func TestAnnouncementOfAnotherTargetEndsNoRun(t *testing.T) {
	for name, startedMs := range startTimes {
		t.Run(name, func(t *testing.T) {
			s, run := newSecond(t, startedMs)
			s.answers = false
			for seq := uint64(2); seq < 6; seq++ {
				s.announce(false)
				s.answer(true, nil, run)
				s.announceFirst(seq, false)
				s.renewWith(run)
				s.advance(300 * time.Millisecond)
				s.Expect(s.outcomes(testConn)).To(BeEmpty())
			}
			s.Expect(s.Table.target.Incarnation).To(Equal(s.harness.incarnation))
			s.renewWithEnds([]EndedRun{s.nextEnd(run, Done)})
			s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
		})
	}
}

// Guards against the same where both targets answer for their names, by turns.
func TestRunsOfAPredecessorGoOnBesideItsSuccessor(t *testing.T) {
	for name, startedMs := range startTimes {
		t.Run(name, func(t *testing.T) {
			s, run := newSecond(t, startedMs)
			for seq := uint64(2); seq < 6; seq++ {
				s.announce(false)
				s.answer(true, nil, run)
				s.announceFirst(seq, seq > 2)
				s.answer(true, nil, run)
				s.advance(300 * time.Millisecond)
				s.answer(true, nil, run)
				s.Expect(s.outcomes(testConn)).To(BeEmpty())
			}
			s.Expect(s.Table.target.Incarnation).To(Equal(s.incarnation), "the first one is leaving")
			s.Expect(s.targetNamed("t-1").lease.End()).To(BeTemporally(">", s.now), "its lease is renewed")
			s.advance(time.Millisecond)
			s.answer(true, []EndedRun{s.nextEnd(run, Done)})
			s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
			s.Expect(s.former).To(HaveLen(1), "its end is not acknowledged")
			s.advance(time.Millisecond)
			s.answer(true, nil)
			s.Expect(s.former).To(BeEmpty())
		})
	}
}

// Guards against a successor that waits for the room of its predecessor, and against a second run of a task that
// the predecessor has.
func TestSuccessorHasRoomOfItsOwn(t *testing.T) {
	s, run := newSecond(t, 2000)
	s.sendOrder(testConn, 2, task("b", 0), 7)
	s.answerStart(1, Accepted)
	s.renewWith(run, s.target.starts[1].Run)
	s.announce(false)
	s.answer(true, nil, run, s.target.starts[1].Run)
	s.answer(true, nil, run, s.target.starts[1].Run)
	s.sendOrder(testConn, 3, task("c", 0), 9)
	s.sendOrder(testConn, 4, task("d", 0), 9)
	s.sendOrder(testConn, 5, task("a", 0), 9)
	s.Expect(s.target.starts).To(HaveLen(4))
	s.Expect(s.target.starts[3].Incarnation).To(Equal(s.incarnation))
	s.Expect(s.outcomes(testConn)).To(Equal(map[uint64]wire.RunOutcome{5: {Seq: 5, End: wire.EndNotRun, Reason: wire.NotRunAlreadyRunning}}))
	s.Expect(s.Runs()).To(Equal(4))
}

// Guards against a recalled run of a predecessor that nobody stops.
func TestRunOfAPredecessorIsRecalled(t *testing.T) {
	s, run := newSecond(t, 2000)
	s.announce(false)
	s.answer(true, nil, run)
	s.Receive(s.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{1}})
	s.Expect(s.target.stops).To(HaveLen(1))
	s.Expect(s.target.stops[0].Incarnation).To(Equal(s.harness.incarnation))
	s.Stopped(s.now, s.target.stops[0], Accepted)
	s.advance(time.Millisecond)
	s.answer(true, nil)
	s.advance(60 * time.Millisecond)
	s.answer(true, nil)
	s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// Guards against runs that count as over because another target has answered at the address of theirs: that one
// may go on until its lease is over.
func TestRunsOfAMisdirectedTargetEndWithTheirLease(t *testing.T) {
	s, run := newSecond(t, 2000)
	s.loseRenewals(1, time.Millisecond, Replaced)
	s.announce(false)
	s.answer(false, nil)
	s.Expect(s.Table.target.Incarnation).To(Equal(s.incarnation))
	over := s.targetNamed("t-1").lease.End()
	for s.now.Before(over) {
		s.Expect(s.outcomes(testConn)).To(BeEmpty())
		s.advance(50 * time.Millisecond)
		s.answer(false, nil)
	}
	s.advance(100 * time.Millisecond)
	s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
	s.Expect(s.former).To(BeEmpty())
	s.Expect(s.run(run)).To(BeNil())
}

// Guards against the lease of a target that answers no more being extended by calls that others answer.
func TestLeaseOfAMisdirectedTargetIsNotExtended(t *testing.T) {
	s, _ := newSecond(t, 2000)
	s.loseRenewals(1, time.Millisecond, Replaced)
	call, _ := s.NextRenewal(s.now)
	s.Expect(call.LeaseUntilMs).To(BeZero())
}

// Guards against runs of the live target that end because a late announcement of an ended one is adopted, after
// the live one could not be reached.
func TestLateAnnouncementOfAnEndedTargetEndsNoRun(t *testing.T) {
	for name, failure := range map[string]RenewFailure{"refused": Refused, "misdirected": Replaced, "unresponsive": Unresponsive} {
		t.Run(name, func(t *testing.T) {
			s, run := newSecond(t, 500)
			s.answers = false
			s.loseRenewals(3, 150*time.Millisecond, failure)
			s.announce(false)
			s.answer(true, nil, run)
			s.Expect(s.Table.target.Incarnation).To(Equal(s.harness.incarnation))
			s.renewWith(run)
			s.Expect(s.outcomes(testConn)).To(BeEmpty())
		})
	}
}

// Guards against a live target that is ignored for good because its start time is not later than that of the
// one before.
func TestSuccessorIsAdoptedWhateverItsStartTime(t *testing.T) {
	for name, startedMs := range startTimes {
		t.Run(name, func(t *testing.T) {
			s, _ := newSecond(t, startedMs)
			s.answers = false
			s.announce(false)
			s.answer(true, nil)
			s.answers = true
			s.loseRenewals(1, time.Millisecond, Refused)
			s.advance(probeInterval)
			s.answer(false, nil)
			s.Expect(s.Table.target.Incarnation).To(Equal(s.incarnation))
		})
	}
}

// Guards against a runner that serves the target of its stored record, and not the one that answers.
func TestRestoredTargetGivesWayToTheOneThatAnswers(t *testing.T) {
	h := newHarness(t)
	fresh := New(Options{Log: h.log, Target: h.target, Outbox: h.outbox, Lease: testLease})
	fresh.Restore(h.now, Announcement{Incarnation: Incarnation{Name: "t-0", StartedMs: 3000}, Service: "s"})
	h.Table = fresh
	h.announce(2, false)
	h.renewWith()
	h.Expect(fresh.target.Incarnation).To(Equal(h.incarnation))
	stored, changed := fresh.UnstoredTarget()
	h.Expect(changed).To(BeTrue())
	h.Expect(stored.Incarnation).To(Equal(h.incarnation))
}

// Guards against a late announcement that is taken for news of its target once another one has answered in its
// place: the target is leaving, and gets work as if it were not.
func TestLateAnnouncementIsNoNewsOfATargetKnownBefore(t *testing.T) {
	for name, replace := range map[string]func(*second){
		"misdirected": func(s *second) { s.loseRenewals(1, time.Millisecond, Replaced) },
		"dropped": func(s *second) {
			s.announce(false)
			s.answer(true, nil)
			s.advance(time.Millisecond)
			s.Expect(s.former).To(BeEmpty())
			s.answers = false
			s.loseRenewals(1, time.Millisecond, Refused)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			s := &second{harness: h, incarnation: Incarnation{Name: "t-2", StartedMs: 2000}, answers: true}
			s.announceFirst(3, true)
			replace(s)
			s.announceFirst(2, false)
			s.answer(true, nil)
			if call, known := s.NextRenewal(s.now); known && call.Incarnation == s.harness.incarnation {
				s.renewWith()
			}
			s.sendOrder(testConn, 1, task("a", 0), 7)
			s.Expect(s.target.starts).To(BeEmpty())
			s.announceFirst(4, false)
			s.answer(true, nil)
			s.Expect(s.Table.target.Incarnation).To(Equal(s.harness.incarnation))
		})
	}
}

// Guards against a lease in the time of another target's clock, which ends later than the runner counts on.
func TestClockOfAnotherTargetIsNotTakenForThatOfTheNamedOne(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Started(h.now, h.target.starts[0], OtherIncarnation, h.clockMs()+10_000)
	h.sendOrder(testConn, 2, task("b", 0), 8)
	h.Expect(h.target.starts).To(HaveLen(2))
	h.Expect(h.target.starts[1].LeaseUntilMs).To(BeNumerically("<=", h.clockMs()+testLease.Limit.Milliseconds()))
}

// replaceTarget makes a target of another name the one that gets new runs.
func (h *harness) replaceTarget() {
	h.loseRenewals(1, time.Millisecond, Refused)
	h.incarnation = Incarnation{Name: "t-2", StartedMs: h.incarnation.StartedMs + 5000}
	h.announce(1, false)
	h.renewWith()
}

// Guards against a task on a target without the label that it needs: its order was placed for the target before,
// and arrives once another one gets the new runs.
func TestOrderForAnEarlierTargetIsReturned(t *testing.T) {
	for name, change := range map[string]func(*harness){
		"another name": (*harness).replaceTarget,
		"next life":    func(h *harness) { h.rebirth(); h.renewWith() },
		"other labels in the same life": func(h *harness) {
			a := h.tableState.target
			a.Seq, a.Labels = a.Seq+1, []string{"b"}
			h.Announce(h.now, a)
		},
		"other service in the same life": func(h *harness) {
			a := h.tableState.target
			a.Seq, a.Service = a.Seq+1, "s2"
			h.Announce(h.now, a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.Flush(h.now)
			described := h.outbox.sent[testConn][0].Target.Number
			change(h)
			starts := len(h.target.starts)
			h.Table.Receive(h.now, testConn, &wire.LeasedToAgent{
				Orders:       []wire.Order{{Seq: 1, Job: "a", RunNumber: 7, Demand: job.Demand{CPUMilli: 4000}, MaxWaitMs: 300, TimeoutMs: 3000, Description: described}},
				Reservations: []wire.Reservation{{Seq: 2, Job: "b", Demand: job.Demand{CPUMilli: 4000}, SlackMs: 100, MaxWaitMs: 300, Description: described}},
			})
			h.Expect(h.target.starts).To(HaveLen(starts))
			h.Expect(h.outcomes(testConn)).To(And(HaveKeyWithValue(uint64(1), HaveField("Reason", wire.NotRunOtherTarget)), HaveKeyWithValue(uint64(2), HaveField("Reason", wire.NotRunOtherTarget))))
			frames := h.outbox.sent[testConn]
			h.Expect(frames[len(frames)-1].Target.Number).To(BeNumerically(">", described))
			h.sendOrder(testConn, 3, task("c", 0), 7)
			h.Expect(h.target.starts).To(HaveLen(starts + 1))
		})
	}
}

// Guards against a queued order that outlasts a change of the target's labels.
func TestQueuedOrdersAreReturnedWhenLabelsChange(t *testing.T) {
	h := newHarness(t)
	for i := range 3 {
		h.sendOrder(testConn, uint64(i+1), task("a", i), 7)
	}
	a := h.tableState.target
	a.Seq, a.Labels = a.Seq+1, []string{"b"}
	h.Announce(h.now, a)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(3), HaveField("Reason", wire.NotRunOtherTarget)))
}

// Guards against orders that are returned although they fit: a runner checks the capacity itself, and the order of
// labels means nothing.
func TestDescriptionKeepsItsNumberWhenItsOrdersFit(t *testing.T) {
	h := newHarness(t)
	a := h.tableState.target
	a.Seq, a.Labels = a.Seq+1, []string{"a", "b"}
	h.Announce(h.now, a)
	number := h.description
	a.Seq, a.Labels, a.Capacity.CPUMilli = a.Seq+1, []string{"b", "a"}, 6000
	h.Announce(h.now, a)
	h.Expect(h.description).To(Equal(number))
}

// Guards against the same where the entry is of a build that doesn't state by which description it has placed an
// order, and against one that gets its orders back for good.
func TestEntryThatStatesNoDescriptionGetsANewSession(t *testing.T) {
	h := newHarness(t)
	send := func(conn ConnID, seq uint64) {
		h.Table.Receive(h.now, conn, &wire.LeasedToAgent{Orders: []wire.Order{{Seq: seq, Job: "a", Index: int(seq), RunNumber: 7, Demand: job.Demand{CPUMilli: 1000}, MaxWaitMs: 300, TimeoutMs: 3000}}})
	}
	h.Connect(h.now, 2, wire.ExtendedFeatures)
	h.Flush(h.now)
	h.Expect(h.outbox.sent[2][0].Target.Number).To(BeZero(), "an earlier build rejects it")
	send(2, 1)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.answerStart(0, Accepted)
	h.replaceTarget()
	send(2, 2)
	h.Expect(h.target.starts).To(HaveLen(1))
	h.Expect(h.outcomes(2)).To(HaveKeyWithValue(uint64(2), HaveField("Reason", wire.NotRunLeaving)))
	h.advance(2 * time.Second)
	h.advance(retireDelay)
	h.Expect(h.outbox.closed).To(ConsistOf(ConnID(2)))
	h.Disconnect(h.now, 2)
	h.renewWith()
	h.Connect(h.now, 3, wire.ExtendedFeatures)
	h.Flush(h.now)
	send(3, 3)
	h.Expect(h.target.starts).To(HaveLen(2))
}
