package owner

import (
	"container/heap"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// agentKeep is how long a disconnected agent without open attempts is remembered.
// It need only outlast a reconnect; forgetting it is harmless, since attempt
// numbers are never reused.
const agentKeep = 30 * time.Second

// expire ends jobs whose deadline is past and forgets ids whose answers need no
// longer be held.
func (c *Core) expire(now time.Time) {
	for len(c.timeline) > 0 && !now.Before(c.timeline[0].next) {
		r := c.timeline[0]
		if r.live != nil {
			c.fail(now, r.live, fault.New(fault.DeadlineExceeded, "the deadline passed before every task was done"))
		}
		if next := c.nextStage(now, r); now.Before(next) {
			r.next = next
			heap.Fix(&c.timeline, 0)
			continue
		}
		heap.Pop(&c.timeline)
		delete(c.jobs, r.id.String())
	}
}

// nextStage drops the results of an ended record that are no longer given, and
// returns when the record needs attention next; a time that is past means never.
func (c *Core) nextStage(now time.Time, r *record) time.Time {
	if answerable := r.id.AnswerableUntil(); now.Before(answerable) {
		return answerable
	}
	c.dropResults(r)
	return r.id.Deadline.Add(AnswerRetention)
}

// expireAgents forgets agents that have been away for long and left nothing open.
func (c *Core) expireAgents(now time.Time) {
	for i := len(c.roster) - 1; i >= 0; i-- { // backwards: removing shifts what is behind
		a := c.roster[i]
		if a.conn == 0 && len(a.attempts) == 0 && now.Sub(a.lastSeen) > agentKeep {
			c.removeAgent(a)
		}
	}
}

func (c *Core) dropResults(r *record) {
	c.kept -= r.answerBytes
	r.answerBytes = 0
	r.answer.Results = nil
	for len(c.answers) > 0 && c.answers[0].answerBytes == 0 {
		c.answers = c.answers[1:]
	}
}
