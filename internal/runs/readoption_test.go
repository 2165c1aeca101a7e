package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// adoptSecondDirectly makes the second target announce itself beside the first, whose address it then takes over:
// the first is not known any more, and the next announcement is adopted without a probe. It returns the probe that
// was called before.
func adoptSecondDirectly(t *testing.T) (*second, RenewCall) {
	s := &second{harness: newHarness(t), incarnation: Incarnation{Name: "t-2", StartedMs: 2000}}
	s.announce(false)
	s.Expect(s.target.renewals).To(HaveLen(1))
	probe := s.target.renewals[0]
	s.target.renewals = nil
	s.Expect(probe.Probe).To(BeTrue())
	s.loseRenewals(1, time.Millisecond, Replaced)
	s.announce(false)
	s.Expect(s.Table.target.Incarnation).To(Equal(s.incarnation))
	return s, probe
}

// startOnSecond lets the second target list its runs, and starts one that it accepts.
func (s *second) startOnSecond() RunID {
	s.harness.incarnation = s.incarnation
	s.renewWith()
	s.sendOrder(testConn, 1, task("a", 0), 7)
	s.Expect(s.target.starts).To(HaveLen(1))
	s.answerStart(0, Accepted)
	s.renewWith(s.target.starts[0].Run)
	return s.target.starts[0].Run
}

// Guards against runs that are reported as stopped while they go on, because a probe that was called before their
// target was adopted is answered afterwards.
func TestAnswerToAProbeOfAnAdoptedTargetEndsNoRun(t *testing.T) {
	s, probe := adoptSecondDirectly(t)
	run := s.startOnSecond()
	s.Renewed(s.now, s.now, probe, Listing{ClockMs: youngClockMs, StartedMs: s.incarnation.StartedMs})
	s.Expect(s.outcomes(testConn)).To(BeEmpty(), "the run goes on")
	s.renewWithEnds([]EndedRun{s.nextEnd(run, Done)})
	s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndDone)))
}

// Guards against the same by a probe that is called again, for an announcement from before the adoption, once the
// target is leaving or could not be reached for a moment.
func TestAdoptedTargetIsNotProbedAgain(t *testing.T) {
	for name, disturb := range map[string]func(*second){
		"leaving":      func(s *second) { s.announce(true) },
		"unresponsive": func(s *second) { s.loseRenewals(3, 150*time.Millisecond, Unresponsive) },
	} {
		t.Run(name, func(t *testing.T) {
			s, probe := adoptSecondDirectly(t)
			s.startOnSecond()
			s.RenewFailed(s.now, probe, Unresponsive)
			disturb(s)
			s.advance(probeInterval)
			for _, c := range s.target.renewals {
				if c.Probe {
					s.Renewed(s.now, s.now, c, Listing{ClockMs: s.clockMs(), StartedMs: s.incarnation.StartedMs, StaleToken: true})
				}
			}
			s.Expect(s.outcomes(testConn)).To(BeEmpty(), "the run goes on")
		})
	}
}

// Guards against a second state for the name of a former target: the answers to its calls go to the other one,
// and its runs are never over.
func TestFormerTargetThatIsRebornHasOneState(t *testing.T) {
	s, _ := newSecond(t, 2000)
	s.announce(false)
	s.answer(true, nil, s.harness.target.starts[0].Run)
	s.Expect(s.former).To(HaveLen(1))
	call := RenewCall{Incarnation: s.incarnation}
	s.RenewFailed(s.now, call, Replaced) // the second has no run, so that it counts as unknown
	s.target.renewals = nil
	s.harness.incarnation.StartedMs = 9000
	s.harness.announce(1, false)
	s.advance(time.Millisecond)
	named := 0
	for state := range s.targets() {
		if state.target.Incarnation.Name == "t-1" {
			named++
		}
	}
	s.Expect(named).To(Equal(1))
	for range 40 {
		s.advance(100 * time.Millisecond)
		s.harness.answerProbes(youngClockMs)
	}
	s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)), "its life is over")
}

// Guards against a start that the next life of a former target carries out after its run was settled: the lease
// that the start names is one of the clock of the life before.
func TestRunOfAFormerTargetCarriedOverIsNotOverWithItsLease(t *testing.T) {
	s := &second{harness: newHarness(t), incarnation: Incarnation{Name: "t-2", StartedMs: 2000}, answers: true}
	s.sendOrder(testConn, 1, task("a", 0), 7)
	s.answerStart(0, NoAnswer)
	s.announce(false)
	s.answer(true, nil)
	s.Expect(s.former).To(HaveLen(1))
	calls := s.target.renewals
	s.target.renewals = nil
	if len(calls) == 0 {
		s.advance(time.Millisecond)
		calls = s.target.renewals
		s.target.renewals = nil
	}
	answered := false
	for _, c := range calls {
		if c.Incarnation.Name == "t-1" {
			s.Renewed(s.now, s.now, c, Listing{ClockMs: youngClockMs, StartedMs: 9000}) // it was reborn, and has not announced itself
			answered = true
		}
	}
	s.Expect(answered).To(BeTrue())
	s.Expect(s.Counts().CarriedOver).To(Equal(uint64(1)))
	for range 15 {
		s.advance(100 * time.Millisecond)
		s.answer(false, nil)
	}
	s.Expect(s.outcomes(testConn)).To(BeEmpty(), "the next life may carry out the start")
	s.advance(maxStartDelay)
	s.Expect(s.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
	s.advance(time.Millisecond)
	s.Expect(s.former).To(BeEmpty())
}

// Guards against a draining predecessor that takes the place of its successor after a moment without answers:
// nothing starts on either until the successor announces itself again.
func TestLeavingTargetDoesNotReplaceAnotherOne(t *testing.T) {
	s, run := newSecond(t, 2000)
	s.announceFirst(2, true)
	s.announce(false)
	s.answer(true, nil, run)
	s.answer(true, nil, run)
	s.Expect(s.Table.target.Incarnation).To(Equal(s.incarnation))
	for range 3 { // 450 ms without an answer
		call, _ := s.NextRenewal(s.now)
		s.now = s.now.Add(150 * time.Millisecond)
		s.RenewFailed(s.now, call, Unresponsive)
	}
	s.announceFirst(3, true)
	s.answer(true, nil, run)
	s.Expect(s.Table.target.Incarnation).To(Equal(s.incarnation))
}

// Guards against a start on a target that drains, by an earlier announcement that arrives late.
func TestDrainingTargetIsNotAdoptedAsReadyAgain(t *testing.T) {
	h := newHarness(t)
	h.announce(5, true)
	h.loseRenewals(1, time.Millisecond, Replaced)
	h.announce(4, false)
	_, known := h.NextRenewal(h.now)
	h.Expect(known).To(BeFalse())
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Expect(h.target.starts).To(BeEmpty())
}

// Guards against a late start of a settled run that the next life of a dropped former target carries out: the
// tokens shown to the next life must be above those of the life before, or it is not fenced.
func TestNextLifeOfADroppedTargetGetsAHigherToken(t *testing.T) {
	s := &second{harness: newHarness(t), incarnation: Incarnation{Name: "t-2", StartedMs: 2000}, answers: true}
	s.sendOrder(testConn, 1, task("a", 0), 7)
	s.answerStart(0, NoAnswer)
	s.announce(false)
	s.answer(true, nil)
	for range 20 { // the first target answers no more
		s.advance(100 * time.Millisecond)
		s.answer(false, nil)
	}
	s.Expect(s.outcomes(testConn)).To(HaveKey(uint64(1)))
	s.Expect(s.former).To(BeEmpty())
	s.RenewFailed(s.now, RenewCall{Incarnation: s.incarnation}, Replaced)
	s.harness.incarnation.StartedMs = 9000
	s.Announce(s.now, Announcement{Incarnation: s.harness.incarnation, Service: "s", ClockMs: youngClockMs, Seq: 1})
	s.harness.answerProbes(youngClockMs)
	s.Expect(s.Table.target.Incarnation).To(Equal(s.harness.incarnation))
	call, _ := s.NextRenewal(s.now)
	s.Expect(call.Token).To(BeNumerically(">", s.target.starts[0].Token))
}
