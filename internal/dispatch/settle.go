package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// maxProofWait is how long an answer may wait for proof that no task of the job has run.
// The recall and its reply take two hops. After it the outcome is answered as unknown.
const maxProofWait = 40 * time.Millisecond

// handleOutcome handles the outcome of an order that an agent has reported. Repeated reports
// are ignored.
func (c *Core) handleOutcome(a *agent, out *wire.RunOutcome) {
	at := a.attempts[out.Seq]
	if at == nil {
		if r := a.reservations[out.Seq]; r != nil {
			c.handleReservationOutcome(r, out)
		}
		return
	}
	delete(a.attempts, out.Seq)
	at.agent = nil
	c.learnRunTime(at, out, a)
	c.noteRunTime(at, out, a)
	c.settleAttempt(at, out, a)
}

// settleAttempt records the outcome of an attempt and advances its job accordingly.
func (c *Core) settleAttempt(at *attempt, out *wire.RunOutcome, a *agent) {
	l, t := at.job, at.task
	l.openAttempts--
	if out.End != wire.EndNotRun {
		l.mayHaveRun = true
	}
	current := t.attempt == at
	if current {
		t.attempt = nil
	}
	if out.End == wire.EndNotRun {
		c.counts.NotRun++
	}
	if l.answered || l.givingUp || !current {
		c.advanceJob(l)
		return
	}
	switch out.End {
	case wire.EndDone:
		l.lastDone = doneTask{attempt: at, host: a.host, speed: a.load.Speed, waitMs: out.WaitMs, runMs: out.RunMs}
		c.taskSucceeded(l, t)
	case wire.EndFailed:
		c.taskFailed(at, a)
	default:
		c.taskReturned(l, t, out, a)
	}
}

// taskSucceeded marks a task as done. It completes the job after its last task, and starts
// dependent steps after the last task of a step.
func (c *Core) taskSucceeded(l *liveJob, t *task) {
	t.state = taskDone
	l.unfinished--
	l.stepTasksLeft[t.step]--
	if l.unfinished == 0 {
		c.finish(l, Answer{Kind: AnswerComplete})
		return
	}
	if l.stepTasksLeft[t.step] == 0 {
		c.unblockSteps(l)
	}
}

// unblockSteps places the tasks of steps whose dependencies are all done.
func (c *Core) unblockSteps(l *liveJob) {
	changed := false
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.state != taskBlocked || slices.ContainsFunc(l.Steps[t.step].DependsOn, func(s int) bool { return l.stepTasksLeft[s] > 0 }) {
			continue
		}
		t.state, changed = taskWaiting, true
	}
	if changed {
		c.placeWaitingTasks(l)
	}
}

// taskFailed records that an attempt failed on the target it was placed on, at agent a. It places the
// task again, or fails the job if the task has failed Queue.MaxAttempts times.
func (c *Core) taskFailed(at *attempt, a *agent) {
	l, t := at.job, at.task
	t.failures++
	if !at.onFormerTarget(a) {
		t.failedAt = append(t.failedAt, a.conn)
	}
	event.Log(c.log, event.TargetFailed, "job", l.ID, "step", t.step, "task", t.index, "host", a.host, "target", at.target,
		"failures", t.failures, "most", l.Queue.MaxAttempts)
	if t.failures >= max(l.Queue.MaxAttempts, 1) {
		c.finish(l, Answer{Kind: AnswerFailed})
		return
	}
	c.placeTaskAgain(l, t)
}

// taskReturned handles an order that ended without a result. It places the task again, or
// gives the job up if that is unsafe or too late.
func (c *Core) taskReturned(l *liveJob, t *task, out *wire.RunOutcome, a *agent) {
	c.counts.Moved++
	switch out.Reason {
	case wire.NotRunStale:
		l.runOffset += staleRunStep
	case wire.NotRunWaitTooLong:
		t.crowdedReturns++
	}
	event.Log(c.log, event.TaskReplaced, "job", l.ID, "step", t.step, "task", t.index, "host", a.host, "end", int(out.End),
		"reason", int(out.Reason), "waited_ms", out.WaitMs, "left_ms", clock.Millis(l.objective.Sub(c.now)))
	if out.Reason == wire.NotRunAlreadyRunning {
		// A run for an earlier owner is still active at that agent. If the task started
		// on another target, it would run twice at once. The caller sends the job again
		// after a fixed pause.
		l.mayHaveRun = true
		c.giveUp(l, fault.New(fault.OutcomeUnknown, "an earlier run of a task of it is not over"))
		return
	}
	if out.End == wire.EndNotRun && out.Reason == wire.NotRunExpired && !l.mayHaveBegun() {
		c.giveUp(l, fault.New(fault.Overloaded, "it can't be done in time any more"))
		return
	}
	c.placeTaskAgain(l, t)
}

// mayHaveBegun reports whether a task of the job may have run or has presumably started.
// Such a job is finished late rather than given up: it could not be answered as not run,
// so its caller would send it again.
func (l *liveJob) mayHaveBegun() bool {
	if l.mayHaveRun {
		return true
	}
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil && at.hadRoom {
			return true
		}
	}
	return false
}

// placeTaskAgain places a task again, or gives its job up if that is no longer worthwhile.
func (c *Core) placeTaskAgain(l *liveJob, t *task) {
	t.state = taskWaiting
	if !c.worthPlacing(l, t) {
		c.giveUp(l, fault.New(fault.DeadlineExceeded, "it can't be done in time any more"))
		return
	}
	c.placeWaitingTasks(l)
}

// giveUp ends a job that will not be completed, and recalls its orders. If all of them are
// proved not to have started, the job is answered as not run and the caller may retry;
// otherwise it is answered with an unknown outcome.
func (c *Core) giveUp(l *liveJob, f *fault.Fault) {
	if l.answered || l.givingUp {
		return
	}
	l.givingUp, l.giveUpFault, l.proofDeadline = true, f, c.now.Add(maxProofWait)
	c.recallOrders(l)
	c.advanceJob(l)
}

// advanceJob performs the job's pending transitions. It ends a job past its deadline,
// answers a job that is being given up once its outcome is known or maxProofWait has
// passed, and starts a waiting resubmission once all runs are over.
func (c *Core) advanceJob(l *liveJob) {
	if !l.answered && !l.givingUp && !c.now.Before(l.Deadline) {
		c.finish(l, Answer{Kind: AnswerUnknown, Fault: fault.New(fault.DeadlineExceeded, "the caller's time is over")})
	}
	if !l.answered && l.givingUp && (l.mayHaveRun || l.openAttempts == 0 || !c.now.Before(l.proofDeadline)) {
		c.answerGivenUp(l)
	}
	if l.answered && l.openAttempts == 0 && l.resubmission != nil {
		next := l.resubmission
		l.resubmission = nil
		c.jobs.remove(l)
		c.admitOrRefuse(next.job, next.caller)
	}
}

// answerGivenUp answers a job that was given up: as not run if that is proved, else with an
// unknown outcome.
func (c *Core) answerGivenUp(l *liveJob) {
	if !l.mayHaveRun && l.openAttempts == 0 {
		retryAfter := c.retrySchedule.RetryAfter(c.now, minRetryAfter, l.Queue.Priority)
		l.giveUpFault.RetryAfterMs = retryAfter.Milliseconds()
		c.finish(l, Answer{Kind: AnswerNotRun, Fault: l.giveUpFault, RetryAfter: retryAfter})
		return
	}
	c.finish(l, Answer{Kind: AnswerUnknown, Fault: l.giveUpFault})
}

// finish records the single answer of the job, recalls its open orders and answers its
// callers.
func (c *Core) finish(l *liveJob, answer Answer) {
	l.answered, l.answer, l.keepUntil = true, answer, c.now.Add(answerRetention)
	c.jobs.noteAnswer()
	c.updateMargins(l, answer)
	c.recallOrders(l)
	c.logAnswer(l, answer)
	c.link.Enqueue(c.now, answerBytes*len(l.callers))
	callers := l.callers
	l.callers = nil
	for _, caller := range callers {
		caller.answer(answer)
	}
}

// logAnswer counts and logs the answer to a job.
func (c *Core) logAnswer(l *liveJob, answer Answer) {
	tookMs := clock.Millis(c.now.Sub(l.arrived))
	late := c.now.After(l.objective)
	if answer.Kind == AnswerComplete {
		c.counts.Complete++
		event.Log(c.log, event.JobComplete, l.completionFields(tookMs, late)...)
		return
	}
	id := event.JobFailed
	reason, detail := "failed", "a task failed the maximum number of times"
	if answer.Fault != nil {
		reason, detail = answer.Fault.Name, answer.Fault.Detail
	}
	switch answer.Kind {
	case AnswerNotRun:
		c.counts.Refused++
		id = event.JobShed
	case AnswerFailed:
		c.counts.Failed++
	default:
		c.counts.Unknown++
	}
	event.Log(c.log, id, "job", l.ID, "queue", l.Queue.Name, "ms", tookMs, "late", late, "answer", int(answer.Kind), "reason", reason, "detail", detail,
		"undone", l.unfinished, "open", l.openAttempts, "not_run", answer.Kind == AnswerNotRun)
}

// completionFields returns the log fields of a completed job. For a late job they include
// the timings of its last task.
func (l *liveJob) completionFields(tookMs float64, late bool) []any {
	fields := []any{"job", l.ID, "queue", l.Queue.Name, "ms", tookMs, "late", late}
	if !late {
		return fields
	}
	last := &l.lastDone
	return append(fields, "tasks", len(l.tasks), "objective_ms", clock.Millis(l.objective.Sub(l.arrived)),
		"last_host", last.host, "last_speed", last.speed, "last_placed_ms", clock.Millis(last.attempt.placedAt.Sub(l.arrived)),
		"last_expected_ms", clock.Millis(last.attempt.expectedTime), "last_room", last.attempt.hadRoom,
		"last_wait_ms", last.waitMs, "last_run_ms", last.runMs, "last_estimate_ms", clock.Millis(l.Steps[last.attempt.task.step].Estimate))
}

// recallOrders recalls every open order of the job and releases its reservations. The agents still
// report the outcomes of the orders.
func (c *Core) recallOrders(l *liveJob) {
	c.releaseReservations(l)
	for i := range l.tasks {
		at := l.tasks[i].attempt
		if at == nil || at.agent == nil {
			continue
		}
		l.tasks[i].attempt = nil
		at.agent.outgoing.Recalls = append(at.agent.outgoing.Recalls, at.seq)
		at.agent.hasOutgoing = true
		c.counts.Recalls++
	}
}

// targetName returns the name of the agent's target, or "" if it has reported none.
func (a *agent) targetName() string {
	if a.target == nil {
		return ""
	}
	return a.target.Name
}
