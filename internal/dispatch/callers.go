package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
)

// addCaller adds a caller that waits for the answer to the job.
func (l *liveJob) addCaller(now time.Time, caller *Caller) {
	caller.job = l
	l.callers = append(l.callers, caller)
	if at, _ := caller.waitingAt(now); at.After(l.wantedAt) {
		l.wantedAt = at
	}
}

// Abandon ends the wait of a caller that has left; it has no effect on one that was answered, or
// counted as left before. The caller may soon send its job to another entry, and the runs here must
// be over by then. A job with further callers continues until the last one has left; a resubmission
// that waits for earlier runs is dropped.
func (c *Core) Abandon(now time.Time, caller *Caller) {
	c.now = now
	l := caller.job
	if l == nil || caller.left {
		return
	}
	caller.left = true
	if next := l.resubmission; next != nil && next.caller == caller {
		// A job that is being given up has recalled its orders already.
		l.resubmission = nil
		caller.answer(Answer{Kind: AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")})
		return
	}
	if l.answered {
		return
	}
	if l.callersLeft++; l.callersLeft < len(l.callers) {
		return
	}
	c.counts.Abandoned++
	event.Log(c.log, event.JobAbandoned, "job", l.ID, "after_ms", clock.Millis(now.Sub(l.arrived)), "open", l.openAttempts,
		"waited_ms_ago", clock.Millis(now.Sub(l.wantedAt)))
	c.finish(l, Answer{Kind: AnswerUnknown, Fault: fault.New(fault.Cancelled, "the caller has left")})
}

// VerifyCallers asks each caller that has no answer whether it still waits, and ends the jobs whose
// callers have left.
func (c *Core) VerifyCallers(now time.Time) {
	c.now, c.verifiedAt = now, now
	for _, l := range slices.Collect(c.jobs.unsettled.Keys()) {
		if next := l.resubmission; next != nil {
			if _, left := next.caller.waitingAt(now); left {
				c.Abandon(now, next.caller)
			}
		}
		for _, caller := range l.callers {
			if caller.left {
				continue
			}
			at, left := caller.waitingAt(now)
			if left {
				c.Abandon(now, caller)
				continue
			}
			if at.After(l.wantedAt) {
				l.wantedAt = at
			}
		}
	}
}

// WantedAt returns the latest time at which everything that is ordered at an agent was wanted, as of the
// last VerifyCallers. What is recalled does not count: its recall is sent by the next Flush at the
// latest. It is zero for an unknown session.
func (c *Core) WantedAt(conn ConnID) time.Time {
	a := c.agents[conn]
	if a == nil {
		return time.Time{}
	}
	wantedAt := c.verifiedAt
	for _, at := range a.attempts {
		if l := at.job; !l.answered && !l.givingUp && l.wantedAt.Before(wantedAt) {
			wantedAt = l.wantedAt
		}
	}
	return wantedAt
}
