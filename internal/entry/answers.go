package entry

import (
	"time"

	"github.com/gin-gonic/gin"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// await registers a callback for the job's answer by calling ask on the control goroutine. It
// writes the answer, or "pending" when the wait ends first, or the fault that ask returned.
func (a *api) await(g *gin.Context, id job.ID, wait time.Duration,
	ask func(time.Time, core, owner.AnswerFunc) (func(), error),
) {
	answers := make(chan job.Answer, 1) // buffered: the callback must not block the control goroutine
	var stopWaiting func()
	var askErr error
	err := a.control.do(func(now time.Time, c core) {
		stopWaiting, askErr = ask(now, c, func(answer job.Answer) { answers <- answer })
	})
	if err == nil {
		err = askErr
	}
	if err != nil {
		writeFault(g, id.String(), err)
		return
	}
	answer, ok := waitForAnswer(g, answers, wait)
	if !ok {
		// If the command queue is full, the callback stays registered until the job
		// ends. The job continues in any case.
		_ = a.control.post(func(_ time.Time, c core) {
			stopWaiting()
			if len(answers) > 0 { // the answer arrived just after the wait had ended
				c.MarkUndelivered(id)
			}
		})
		answer = job.Answer{ID: id.String(), State: job.Pending}
	}
	a.deliver(g, id, answer)
}

// waitForAnswer returns the answer, or false once the wait is over or the caller has
// disconnected.
func waitForAnswer(g *gin.Context, answers <-chan job.Answer, wait time.Duration) (job.Answer, bool) {
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

// pastAnswerGrace reports whether, by this entry's own clock, a complete answer may no longer
// be given. The process may have been frozen between the job's end and the writing of the
// answer. Meanwhile another entry that could not reach the owner may have reported the
// outcome as unknown, which it does from forward.MaxClockSkew after that time.
func (a *api) pastAnswerGrace(id job.ID) bool { return !a.clock.Now().Before(id.AnswerableUntil()) }

// markUndeliveredAndAwait returns a function for await that records that the owner's complete
// answer was not delivered in time, and asks for the answer again.
func markUndeliveredAndAwait(id job.ID) func(time.Time, core, owner.AnswerFunc) (func(), error) {
	return func(now time.Time, c core, w owner.AnswerFunc) (func(), error) {
		c.MarkUndelivered(id)
		return c.Await(now, id, w)
	}
}

// deliver writes an answer and records whether its caller is expected to ask for it again.
func (a *api) deliver(g *gin.Context, id job.ID, answer job.Answer) {
	callerGone := g.Request.Context().Err() != nil
	switch {
	case answer.State == job.Complete && callerGone:
		// The caller never read this answer. Unless it is marked undelivered, it is reported as
		// given to a caller that asks again after the grace period.
		_ = a.control.post(func(_ time.Time, c core) { c.MarkUndelivered(id) }) // on failure, it counts as given
	case answer.State == job.Complete && a.pastAnswerGrace(id):
		a.await(g, id, 0, markUndeliveredAndAwait(id))
		return
	}
	written := writeAnswer(g, answer) && !callerGone && g.Request.Context().Err() == nil
	if written && answer.Final() {
		a.unclaimed.remove(id.String())
		return
	}
	a.unclaimed.add(a.clock.Now(), id.String(), id.AnswerableUntil())
}
