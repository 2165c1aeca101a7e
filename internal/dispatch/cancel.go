package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// A caller may cancel a job through any entry, and a copy of its request may arrive at any other one. The entry that
// is told passes the cancellation on to its agents, and these to their other entries.

// Cancel ends a job at its caller's request, and makes it known to the other entries. It returns false for a job
// that is not known here.
func (c *Core) Cancel(now time.Time, id string) bool {
	c.now = now
	known := c.endCancelled(id)
	if !c.cancelled.Add(now, id) {
		return known
	}
	event.Log(c.log, event.JobCancelled, "job", id, "known", known, "through", "caller")
	for _, a := range c.agentsByAge {
		a.queueCancellations(id)
	}
	return known
}

func (a *agent) queueCancellations(ids ...string) {
	if len(ids) > 0 && a.features >= wire.DescribedFeatures {
		a.outgoing.Cancellations, a.hasOutgoing = append(a.outgoing.Cancellations, ids...), true
	}
}

// queueKnownCancellations queues the newest cancellations for a new agent: there may have been none to pass them on
// when they arrived.
func (c *Core) queueKnownCancellations(a *agent) {
	ids := slices.Collect(c.cancelled.IDs(c.now))
	a.queueCancellations(ids[max(0, len(ids)-wire.MaxCancellations):]...)
}

// receiveCancellations ends the jobs that were cancelled at other entries.
func (c *Core) receiveCancellations(a *agent, ids []string) {
	for _, id := range ids {
		if !c.cancelled.Add(c.now, id) {
			continue
		}
		event.Log(c.log, event.JobCancelled, "job", id, "known", c.endCancelled(id), "through", a.host)
		if c.options.Cancelled != nil {
			c.options.Cancelled(id)
		}
	}
}

// endCancelled ends a job, and with it a resubmission that waits until the job's runs are over. It returns false for an
// unknown ID.
func (c *Core) endCancelled(id string) bool {
	l := c.jobs.byID[id]
	if l == nil {
		return false
	}
	if next := l.resubmission; next != nil {
		l.resubmission = nil
		next.caller.answer(CancelledAnswer())
	}
	if !l.answered {
		c.finish(l, CancelledAnswer())
	}
	return true
}

// CancelledAnswer returns the answer to a job that its caller has cancelled.
func CancelledAnswer() Answer {
	return Answer{Kind: AnswerUnknown, Fault: fault.New(fault.Cancelled, "cancelled by the caller")}
}
