package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Cancel ends a job at its caller's request, and with it a resubmission that waits until the job's runs are over. It
// returns false for an unknown ID.
func (c *Core) Cancel(now time.Time, id string) bool {
	c.now = now
	l := c.jobs.byID[id]
	if l == nil {
		return false
	}
	if next := l.resubmission; next != nil {
		l.resubmission = nil
		next.caller.answer(cancelled())
	}
	if !l.answered {
		c.finish(l, cancelled())
	}
	return true
}

// cancelled is the answer to a job that its caller has cancelled.
func cancelled() Answer {
	return Answer{Kind: AnswerUnknown, Fault: fault.New(fault.Cancelled, "cancelled by the caller")}
}
