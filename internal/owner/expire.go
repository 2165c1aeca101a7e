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
		c.dropResults(r)
		if forgetAt := r.id.Deadline.Add(AnswerKeep); now.Before(forgetAt) {
			r.next = forgetAt
			heap.Fix(&c.timeline, 0)
			continue
		}
		heap.Pop(&c.timeline)
		delete(c.jobs, r.id.String())
	}
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
