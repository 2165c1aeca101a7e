package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	resendDelay = 1300 * time.Millisecond
	grantLimit  = time.Second
)

// Guards against an order that never starts because it came before the first proof that the entry of a
// new session wants its runs.
func TestOrderBeforeTheFirstProof(t *testing.T) {
	l := newLeaseTarget(t)
	l.outbox.wanted[testConn] = time.Time{}
	l.advance(time.Millisecond)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.Expect(l.target.starts).To(BeEmpty())
	l.outbox.wanted[testConn] = l.now
	l.advance(50 * time.Millisecond)
	l.Expect(l.target.starts).To(HaveLen(1))
}

// leaseTarget is a target whose clock is slow by 2 %. Its stops are lost, and its renewals arrive.
type leaseTarget struct {
	*harness
	running map[RunID]bool
	end     time.Time // of the lease
	lapsed  time.Time // when its runs ended with the lease
	lastEnd uint64
}

func newLeaseTarget(t *testing.T) *leaseTarget {
	h := newHarness(t)
	o := h.options
	o.Lease, _ = lease.NewTerms(grantLimit, resendDelay)
	h.Table = New(o)
	h.announce(1, false)
	h.renewWith()
	h.Connect(h.now, testConn, wire.DescribedFeatures)
	return &leaseTarget{harness: h, running: map[RunID]bool{}}
}

func (l *leaseTarget) clockAt(at time.Time) int64 {
	return 60_000 + at.Sub(time.Unix(1_800_000_000, 0)).Milliseconds()*98/100
}

func (l *leaseTarget) grant(untilMs int64) {
	left := min(time.Duration(untilMs-l.clockAt(l.now))*time.Millisecond, grantLimit)
	if end := l.now.Add(left * 100 / 98); untilMs > 0 && end.After(l.end) {
		l.end = end
	}
}

// accept carries out a start.
func (l *leaseTarget) accept(n int) {
	c := l.target.starts[n]
	l.grant(c.LeaseUntilMs)
	l.running[c.Run] = true
	l.Started(l.now, c, Accepted, l.clockAt(l.now))
}

// pass passes the time: a renewal every 25 ms, which arrives but is answered only if answered is set.
func (l *leaseTarget) pass(d time.Duration, answered bool) {
	for until := l.now.Add(d); l.now.Before(until); {
		c, _ := l.NextRenewal(l.now)
		l.grant(c.LeaseUntilMs)
		listing := Listing{ClockMs: l.clockAt(l.now), StartedMs: l.incarnation.StartedMs}
		for run := range l.running {
			if !l.now.Before(l.end) {
				delete(l.running, run)
				l.lapsed = l.now
				l.lastEnd++
				listing.Ended = append(listing.Ended, EndedRun{l.lastEnd, run, Stopped})
				continue
			}
			listing.Running = append(listing.Running, run)
		}
		calledAt := l.now
		l.now = l.now.Add(25 * time.Millisecond)
		if answered {
			l.Renewed(l.now, calledAt, c, listing)
		} else {
			l.RenewFailed(l.now, c, Unresponsive)
		}
		if n := len(l.target.stops); n > 0 {
			l.Stopped(l.now, l.target.stops[n-1], NoAnswer)
		}
		l.Tick(l.now)
	}
}

// Guards against two runs of one task: the stops of a run without an owner are lost, and renewals
// keep it going until the job that was sent again runs beside it.
func TestRunWhoseStopsAreLostEndsBeforeItsJobIsSentAgain(t *testing.T) {
	for name, giveUp := range map[string]func(*leaseTarget){
		"the session ends": func(l *leaseTarget) { l.Disconnect(l.now, testConn) },
		"it is recalled": func(l *leaseTarget) {
			l.Receive(l.now, testConn, &wire.LeasedToAgent{Recalls: []uint64{1}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaseTarget(t)
			l.Connect(l.now, 2, wire.DescribedFeatures)
			l.sendOrder(testConn, 1, task("a", 0), 7)
			l.sendOrder(2, 1, task("b", 0), 7)
			l.accept(0)
			l.accept(1)
			l.pass(time.Second, true)
			wantedAt := l.now
			l.outbox.wanted[testConn] = wantedAt
			l.pass(600*time.Millisecond, true)
			giveUp(l)
			l.pass(2*time.Second, true)
			l.Expect(l.lapsed).To(And(BeTemporally(">", wantedAt), BeTemporally("<=", wantedAt.Add(resendDelay-50*time.Millisecond))))
			l.Expect(l.outcomes(2)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
			l.Expect(l.Counts().LeasesWithheld).To(Equal(uint64(1)))
			l.sendOrder(2, 2, task("c", 0), 8)
			l.Expect(l.target.starts).To(HaveLen(3), "the target works again once the runs have ended")
		})
	}
}

// Guards against the same after a suspension of the agent, which its clock has not counted: its
// entries' callers have waited for that time already.
func TestSuspensionCountsForTheEndOfALease(t *testing.T) {
	l := newLeaseTarget(t)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	before := l.endBy(l.run(RunID{task("a", 0), 7}))
	l.DisconnectAll(l.now, 500*time.Millisecond)
	l.Expect(l.endBy(l.run(RunID{task("a", 0), 7}))).To(BeTemporally("<=", before.Add(-500*time.Millisecond)))
}

// Guards against runs that lapse although their owner is heard of regularly, and against a short
// lease while nothing is wrong.
func TestLeaseOfWantedRunsIsExtended(t *testing.T) {
	l := newLeaseTarget(t)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	for range 5 {
		l.outbox.wanted[testConn] = l.now.Add(-400 * time.Millisecond)
		l.pass(100*time.Millisecond, true)
		l.Expect(l.end.Sub(l.now)).To(BeNumerically(">=", 500*time.Millisecond))
	}
	l.Expect(l.Counts().LeasesWithheld).To(BeZero())
}

// Guards against a run of an entry that was not heard of for long, under a lease that was granted for
// the runs of others and can't be shortened.
func TestRunStartsOnlyUnderALeaseThatEndsInTime(t *testing.T) {
	l := newLeaseTarget(t)
	l.Connect(l.now, 2, wire.DescribedFeatures)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	l.outbox.wanted[2] = l.now.Add(-800 * time.Millisecond)
	l.sendOrder(2, 1, task("b", 0), 8)
	l.Expect(l.target.starts).To(HaveLen(1))
	l.Expect(l.Counts().StartsDelayed).To(Equal(uint64(1)))
	delete(l.outbox.wanted, 2)
	l.advance(15 * time.Millisecond)
	l.Expect(l.target.starts).To(HaveLen(2), "the entry was heard of again")
}

// Guards against runs reported as ended while they go on: renewals arrive at the target, and their
// answers are lost.
func TestUnansweredRenewalCountsAsGranted(t *testing.T) {
	l := newLeaseTarget(t)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	l.pass(700*time.Millisecond, false)
	l.Expect(l.end).To(BeTemporally(">", l.now), "the target has extended the lease")
	l.Expect(l.outcomes(testConn)).To(BeEmpty())
}

// Guards against runs on an unreachable target that are renewed for as long as it is unreachable, if
// the calls arrive: their jobs are given up.
func TestLeaseOfAnUnreachableTargetIsNotExtended(t *testing.T) {
	l := newLeaseTarget(t)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	l.pass(1200*time.Millisecond, false)
	l.Expect(l.end).To(BeTemporally("<", l.now))
	l.Expect(l.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)))
}

// Guards against runs of an earlier agent that go on because orders wait for them to end: their
// owners are gone, and renewals for the waiting orders would keep them going.
func TestRunsOfAnEarlierAgentAreNotRenewed(t *testing.T) {
	l := newLeaseTarget(t)
	old := RunID{task("old", 0), 3}
	l.incarnation = Incarnation{Name: "t-2", StartedMs: 2000}
	l.announce(1, false)
	l.renewWith(old)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	call, _ := l.NextRenewal(l.now)
	l.Expect(call.LeaseUntilMs).To(BeZero())
}

// Guards against a run that lapses because it starts just after a renewal was sent that waits for an
// end as long as its lease lasts.
func TestRenewalOfAnIdleTargetReturnsBeforeALeaseEnds(t *testing.T) {
	l := newLeaseTarget(t)
	idle, _ := l.NextRenewal(l.now)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	l.Expect(l.now.Add(idle.Wait + idle.ReplyTimeout + 2*maxCallTimeout)).To(BeTemporally("<", l.end))
}

// Guards against a target that is lost for hours: it restarts under its name, and a call of the life
// before leaves it a fencing token far above its new clock.
func TestTokenOfAnEarlierLifeIsOvertaken(t *testing.T) {
	h := newHarness(t)
	h.incarnation.StartedMs = 9000
	h.Announce(h.now, Announcement{Incarnation: h.incarnation, Service: "s", ClockMs: 1000, Seq: 1})
	const token = 30 * 24 * 3600 * 1000 // of a life that lasted for a month
	for n := 0; !h.listed; n++ {
		h.Expect(n).To(BeNumerically("<", 50))
		call, _ := h.NextRenewal(h.now)
		h.now = h.now.Add(time.Millisecond)
		h.Renewed(h.now, h.now, call, Listing{ClockMs: 1001 + int64(n), StartedMs: 9000, StaleToken: call.Token < token})
	}
	before := h.token
	for range 30 { // calls that were under way together
		h.Stopped(h.now, StopCall{Incarnation: h.incarnation, Token: before, Run: RunID{task("a", 0), 7}}, StaleToken)
	}
	h.Expect(h.token).To(BeNumerically("<=", before+1))
}

// Guards against a lease that is extended for a run that nobody wants: a suspension counted only for runs
// whose session was still open.
func TestSuspensionCountsForARunWhoseSessionHadEnded(t *testing.T) {
	l := newLeaseTarget(t)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	l.Disconnect(l.now, testConn)
	r := l.run(RunID{task("a", 0), 7})
	before := l.endBy(r)
	l.DisconnectAll(l.now, 500*time.Millisecond)
	l.Expect(l.endBy(r)).To(BeTemporally("<=", before.Add(-500*time.Millisecond)))
}

// Guards against a run under a lease that is longer than its own: the target has started again, and its
// new life has carried out a call for the last one, with a time that is far ahead on the new clock.
func TestLeaseGrantedThroughACallForTheLastLifeCounts(t *testing.T) {
	for name, grant := range map[string]func(*leaseTarget, RunID){
		"a renewal is answered by the new life": func(l *leaseTarget, _ RunID) {
			call, _ := l.NextRenewal(l.now)
			l.Renewed(l.now, l.now, call, Listing{ClockMs: youngClockMs, StartedMs: l.incarnation.StartedMs + 5000})
			l.rebirth()
			l.renewWith()
		},
		"a start is answered by the new life": func(l *leaseTarget, _ RunID) {
			l.Started(l.now, l.target.starts[0], Accepted, youngClockMs)
			l.rebirth()
			l.renewWith()
		},
		"a start is answered after the announcement": func(l *leaseTarget, _ RunID) {
			l.rebirth()
			l.Started(l.now, l.target.starts[0], Accepted, youngClockMs)
			l.renewWith()
		},
		"its run is listed by the new life": func(l *leaseTarget, run RunID) {
			l.rebirth()
			l.renewWith(run)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaseTarget(t)
			l.sendOrder(testConn, 1, task("a", 0), 7)
			grant(l, l.target.starts[0].Run)
			l.outbox.wanted[testConn] = l.now.Add(-400 * time.Millisecond)
			l.sendOrder(testConn, 2, task("b", 0), 8)
			l.Expect(l.target.starts).To(HaveLen(1), "it has to end in 740 ms, and the lease may last for a second")
			delete(l.outbox.wanted, testConn)
			l.advance(15 * time.Millisecond)
			l.Expect(l.target.starts).To(HaveLen(2))
		})
	}
}

// Guards against a run that goes on under a lease that the target's next life granted for a renewal of its
// last one, which had no answer.
func TestUnansweredRenewalMayExtendTheLeaseOfTheNextLife(t *testing.T) {
	l := newLeaseTarget(t)
	l.sendOrder(testConn, 1, task("a", 0), 7)
	l.accept(0)
	l.renewWith(RunID{task("a", 0), 7})
	call, _ := l.NextRenewal(l.now)
	l.Expect(call.LeaseUntilMs).NotTo(BeZero())
	l.now = l.now.Add(100 * time.Millisecond)
	l.RenewFailed(l.now, call, Unresponsive)

	l.now = l.now.Add(200 * time.Millisecond)
	l.incarnation.StartedMs += 1000
	grantedAt := l.now // the target has started again, and carries the renewal out
	l.now = l.now.Add(10 * time.Millisecond)
	l.Announce(l.now, Announcement{Incarnation: l.incarnation, Service: "s", Capacity: job.Demand{CPUMilli: 10_000, MemoryMB: 1000}, ClockMs: 50, Seq: 1})
	renewal, _ := l.NextRenewal(l.now)
	l.Renewed(l.now, l.now, renewal, Listing{ClockMs: 50, StartedMs: l.incarnation.StartedMs})
	wantedAt := l.now.Add(-700 * time.Millisecond)
	l.outbox.wanted[testConn] = wantedAt
	l.advance(time.Millisecond)
	l.Expect(wantedAt.Add(resendDelay)).To(BeTemporally("<", grantedAt.Add(grantLimit)), "the lease lasts longer")
	l.sendOrder(testConn, 2, task("b", 0), 8)
	for _, start := range l.target.starts {
		l.Expect(start.Run.Task).NotTo(Equal(task("b", 0)), "it may go on until its caller has sent the job again")
	}
}

// Guards against the same where the calls are under way while the next life announces itself.
func TestCallUnderWayAtARestartMayExtendTheLease(t *testing.T) {
	for name, restart := range map[string]func(*leaseTarget){
		"a renewal that the new life answers": func(l *leaseTarget) {
			call, _ := l.NextRenewal(l.now)
			l.Expect(call.LeaseUntilMs).NotTo(BeZero())
			l.rebirth()
			l.Renewed(l.now, l.now, call, Listing{ClockMs: 50, StartedMs: l.incarnation.StartedMs})
			l.renewWith()
		},
		"a start that has no answer": func(l *leaseTarget) {
			l.sendOrder(testConn, 3, task("c", 0), 9)
			l.Expect(l.target.starts).To(HaveLen(2))
			l.rebirth()
			l.renewWith()
			l.Started(l.now, l.target.starts[1], NoAnswer, 0)
			l.Stopped(l.now, l.target.stops[len(l.target.stops)-1], Accepted)
			l.renewWith()
			l.renewWith()
			l.Expect(l.run(RunID{task("c", 0), 9})).To(BeNil())
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeaseTarget(t)
			l.sendOrder(testConn, 1, task("a", 0), 7)
			l.accept(0)
			l.renewWith(RunID{task("a", 0), 7})
			restart(l)
			l.outbox.wanted[testConn] = l.now.Add(-500 * time.Millisecond)
			l.advance(time.Millisecond)
			l.sendOrder(testConn, 2, task("b", 0), 8)
			for _, start := range l.target.starts {
				l.Expect(start.Run.Task).NotTo(Equal(task("b", 0)), "the lease may last for a second")
			}
		})
	}
}
