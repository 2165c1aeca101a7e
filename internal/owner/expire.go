package owner

import (
	"container/heap"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// agentRetention is how long a disconnected agent without open attempts is kept. It only has
// to exceed the time of a reconnect; removing the agent is harmless, since sequence numbers
// of attempts are never reused.
const agentRetention = 30 * time.Second

// expire fails jobs whose deadline is past, drops results that are no longer given, and
// removes ids whose retention is over.
func (c *Core) expire(now time.Time) {
	for len(c.timers) > 0 && !now.Before(c.timers[0].dueAt) {
		r := c.timers[0]
		if r.job != nil {
			c.failJob(now, r.job, fault.New(fault.DeadlineExceeded, "the deadline passed before every task was done"))
		}
		if next := c.expireResults(now, r); now.Before(next) {
			r.dueAt = next
			heap.Fix(&c.timers, 0)
			continue
		}
		heap.Pop(&c.timers)
		delete(c.jobs, r.id.String())
	}
}

// expireResults drops the results of a final answer if they are no longer given. It returns
// the time at which the record is due next; if that is past, the record must be removed.
func (c *Core) expireResults(now time.Time, r *record) time.Time {
	if answerable := r.id.AnswerableUntil(); now.Before(answerable) {
		return answerable
	}
	c.dropResults(r)
	return r.id.Deadline.Add(AnswerRetention)
}

// expireAgents removes agents without open attempts that have been disconnected for longer
// than agentRetention.
func (c *Core) expireAgents(now time.Time) {
	for i := len(c.roster) - 1; i >= 0; i-- { // backwards, because a removal shifts the agents behind it
		a := c.roster[i]
		if a.conn == 0 && len(a.attempts) == 0 && now.Sub(a.lastSeen) > agentRetention {
			c.removeAgent(a)
		}
	}
}

// dropResults drops the results of a record.
func (c *Core) dropResults(r *record) {
	c.retainedBytes -= r.answerBytes
	r.answerBytes = 0
	r.answer.Results = nil
	for len(c.retainedAnswers) > 0 && c.retainedAnswers[0].answerBytes == 0 {
		c.retainedAnswers = c.retainedAnswers[1:]
	}
}
