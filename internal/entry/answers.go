package entry

import (
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// await asks the control state for an answer and writes what comes of it.
func (a *api) await(g *gin.Context, id job.ID, wait time.Duration,
	ask func(time.Time, core, owner.AnswerFunc) (func(), error),
) {
	answers := make(chan job.Answer, 1) // the waiter never blocks
	var stop func()
	var refusal error
	err := a.control.do(func(now time.Time, c core) {
		stop, refusal = ask(now, c, func(answer job.Answer) { answers <- answer })
	})
	if err == nil {
		err = refusal
	}
	if err != nil {
		writeFault(g, id.String(), err)
		return
	}
	answer, ok := receive(g, answers, wait)
	if !ok {
		// Where there is no room for this command, the waiter stays until the job
		// ends; the job itself goes on in any case.
		_ = a.control.post(func(_ time.Time, c core) {
			stop()
			if len(answers) > 0 { // it came when the wait was just over
				c.MarkUndelivered(id)
			}
		})
		answer = job.Answer{ID: id.String(), State: job.Pending}
	}
	a.deliver(g, id, answer)
}

// receive waits for the answer until the wait is over or the caller is gone.
func receive(g *gin.Context, answers <-chan job.Answer, wait time.Duration) (job.Answer, bool) {
	select {
	case answer := <-answers:
		return answer, true
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
	case <-g.Request.Context().Done():
	}
	return job.Answer{}, false
}

// lapsed reports whether a complete answer must no longer be given, by this entry's
// own clock. The process may have been frozen between the job's end and the writing
// of the answer; meanwhile another entry that could not reach the owner may have told
// a caller that the outcome is unknown, which it does forward.MaxClockSkew later.
func (a *api) lapsed(id job.ID) bool { return !a.clock.Now().Before(id.AnswerableUntil()) }

// withheld asks the owner again after its complete answer came too late to be given.
func withheld(id job.ID) func(time.Time, core, owner.AnswerFunc) (func(), error) {
	return func(now time.Time, c core, w owner.AnswerFunc) (func(), error) {
		c.MarkUndelivered(id)
		return c.Await(now, id, w)
	}
}

// deliver writes an answer and notes whether its caller will come back for it.
func (a *api) deliver(g *gin.Context, id job.ID, answer job.Answer) {
	left := g.Request.Context().Err() != nil
	switch {
	case answer.State == job.Complete && left:
		// Nobody reads it: where this one comes back past the grace, it wasn't given.
		_ = a.control.post(func(_ time.Time, c core) { c.MarkUndelivered(id) }) // else it counts as given
	case answer.State == job.Complete && a.lapsed(id):
		a.await(g, id, 0, withheld(id))
		return
	}
	written := writeAnswer(g, answer) && !left && g.Request.Context().Err() == nil
	if written && answer.Final() {
		a.unclaimed.claimed(id.String())
		return
	}
	a.unclaimed.add(a.clock.Now(), id.String(), id.AnswerableUntil())
}
