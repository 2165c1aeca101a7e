package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// avoidanceAfterRejection is how long no task is sent to an agent whose target could not be
// called, or by whose clock a task's deadline was past. Otherwise the task would be sent
// back and forth between the owner and the agent, one message per round trip.
const avoidanceAfterRejection = 200 * time.Millisecond

// handleReport handles one report of an agent. Final reports are acknowledged and settle
// their attempt; others are ignored.
func (c *Core) handleReport(now time.Time, a *agent, r *wire.Report) {
	if !r.State.Final() {
		return
	}
	out := c.pendingFrame(a)
	out.Acks = append(out.Acks, r.Seq)
	at, open := a.attempts[r.Seq]
	if !open {
		return // a repeated report
	}
	c.close(at)
	c.recordOutcome(now, at, r)
	event.Log(c.log.V(1), event.TaskReported, "attempt", r.Seq, "worker", a.worker, "state", int(r.State),
		"reason", int(r.Reason), "run_ms", r.RunMs)
	if at.job == nil {
		if r.State != wire.NotRun {
			c.counts.UnusedOutcomes++
		}
		return
	}
	at.job.tasks[at.task].attempt = nil
	c.applyOutcome(now, at, r)
}

// close removes an attempt and releases its resources and its slot of the team's
// quota.
func (c *Core) close(at *attempt) {
	delete(at.agent.attempts, at.seq)
	at.agent.inUse = at.agent.inUse.Sub(at.demand)
	c.limiter.Finished(at.team)
}

// recordOutcome updates the run time estimates and the agent's health rating. A cancelled
// attempt counts only if it succeeded: its failure says nothing about the target.
func (c *Core) recordOutcome(now time.Time, at *attempt, r *wire.Report) {
	id := uint64(at.agent.incarnation)
	outcome, relevant := healthOutcome(r)
	if !relevant || at.job == nil && outcome != health.Succeeded {
		return
	}
	if outcome == health.Succeeded {
		c.estimator.Observe(id, at.class, float64(at.declaredMs), at.agent.target.Speed, r.RunMs)
	}
	if c.health.Observe(id, outcome == health.Succeeded, outcome, now) {
		event.Log(c.log, event.AgentRated, "worker", at.agent.worker, "rating", c.health.Rating(id).String())
	}
}

// healthOutcome maps a report to an outcome of the target; relevant is false if the report
// says nothing about the target.
func healthOutcome(r *wire.Report) (outcome health.Outcome, relevant bool) {
	switch {
	case r.State == wire.Succeeded:
		return health.Succeeded, true
	case r.State == wire.FailedRun:
		return health.Failed, true
	case r.State == wire.Unknown:
		return health.Lost, true
	case r.Reason == wire.ReasonTargetUnavailable, r.Reason == wire.ReasonDeadlinePast:
		return health.Rejected, true
	}
	return health.Succeeded, false
}

// applyOutcome applies the outcome of an attempt that was not cancelled to its job.
func (c *Core) applyOutcome(now time.Time, at *attempt, r *wire.Report) {
	l := at.job
	switch r.State {
	case wire.Succeeded:
		c.taskSucceeded(now, l, at.task, r.Result)
	case wire.NotRun:
		c.counts.NotRun++
		if r.Reason == wire.ReasonTargetUnavailable || r.Reason == wire.ReasonDeadlinePast {
			at.agent.avoidUntil = now.Add(avoidanceAfterRejection)
		}
		c.requeueTask(l, at.task)
		event.Log(c.log, event.TaskReplaced, "job", l.rec.id.String(), "task", at.task, "worker", at.agent.worker,
			"reason", int(r.Reason))
	case wire.FailedRun:
		c.retryOrFail(now, l, at.task, fault.Newf(fault.TaskFailed, "task %d: %s", at.task, r.Detail))
	default:
		c.retryOrFail(now, l, at.task, fault.Newf(fault.OutcomeUnknown, "task %d: %s", at.task, r.Detail))
	}
}

// taskSucceeded records a task's result. After the last task the job is complete, or has
// failed if the deadline is past.
func (c *Core) taskSucceeded(now time.Time, l *liveJob, task int, result []byte) {
	l.tasks[task].state = taskDone
	l.tasks[task].result = result
	l.remainingMs -= l.tasks[task].estimateMs
	c.addQueuedWork(l, -l.tasks[task].estimateMs)
	l.doneTasks++
	if l.doneTasks < len(l.tasks) {
		c.updateReadyQueue(l)
		return
	}
	if !now.Before(l.rec.id.Deadline) {
		c.failJob(now, l, fault.New(fault.DeadlineExceeded, "the last result came after the deadline"))
		return
	}
	results := make([][]byte, len(l.tasks))
	for i := range l.tasks {
		results[i] = l.tasks[i].result
	}
	c.finishJob(now, l, job.Answer{ID: l.rec.id.String(), State: job.Complete, Results: results})
}

// requeueTask makes a task wait again. The task must not have run, or must be idempotent.
func (c *Core) requeueTask(l *liveJob, task int) {
	l.tasks[task].state = taskWaiting
	estimate := l.tasks[task].estimateMs
	at := len(l.waiting)
	for at > 0 && l.tasks[l.waiting[at-1]].estimateMs > estimate {
		at--
	}
	l.waiting = append(l.waiting, 0)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = task
	c.addWaiting(l, 1)
	c.updateReadyQueue(l)
}

// retryOrFail retries the task of an idempotent request, up to MaxStarts starts, and
// otherwise fails the job.
func (c *Core) retryOrFail(now time.Time, l *liveJob, task int, f *fault.Fault) {
	if l.sub.Idempotent && l.tasks[task].starts < MaxStarts {
		c.requeueTask(l, task)
		return
	}
	c.failJob(now, l, f)
}

// failJob ends a job as failed and cancels its open attempts. The failure says "not run"
// only if no attempt is open and none has run.
func (c *Core) failJob(now time.Time, l *liveJob, f *fault.Fault) {
	f.NotRun = !l.mayHaveRun || c.provenNotRun(l)
	c.finishJob(now, l, job.Answer{ID: l.rec.id.String(), State: job.Failed, Failure: f})
}

// provenNotRun reports whether every task is waiting and all earlier attempts were reported
// as not run.
func (c *Core) provenNotRun(l *liveJob) bool {
	for i := range l.tasks {
		if l.tasks[i].state != taskWaiting {
			return false
		}
	}
	return !l.sub.Idempotent // an idempotent request waits again after an unknown outcome
}

// finishJob sets the final answer of a job, releases its tasks and calls its callbacks.
func (c *Core) finishJob(now time.Time, l *liveJob, answer job.Answer) {
	r := l.rec
	if l.queueItem != nil && l.queueItem.Queued() {
		c.ready.Remove(l.queueItem)
	}
	c.addWaiting(l, -len(l.waiting))
	c.addQueuedWork(l, -l.remainingMs)
	c.removeIdleTeam(l.sub.Team)
	c.cancelAttempts(l)
	r.job, r.answer = nil, answer
	c.pending--
	c.retainResults(r)
	if answer.State == job.Complete {
		c.counts.Complete++
		event.Log(c.log, event.JobComplete, "job", r.id.String(), "ms", now.Sub(l.accepted).Milliseconds())
	} else {
		c.counts.Failed++
		event.Log(c.log, event.JobFailed, "job", r.id.String(), "code", int(answer.Failure.Code),
			"reason", answer.Failure.Name, "detail", answer.Failure.Detail, "not_run", answer.Failure.NotRun)
	}
	for _, callback := range l.callbacks {
		r.deliver(callback)
	}
	l.callbacks = nil
}

// cancelAttempts cancels the open attempts of a job. They are settled by their reports.
func (c *Core) cancelAttempts(l *liveJob) {
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil {
			c.cancelAttempt(at)
		}
	}
}

// cancelAttempt cancels one attempt and detaches it from its job.
func (c *Core) cancelAttempt(at *attempt) {
	at.job.tasks[at.task].attempt = nil
	at.job = nil
	out := c.pendingFrame(at.agent)
	out.Cancels = append(out.Cancels, at.seq)
	c.counts.Cancels++
}

// retainResults keeps the results of an answer for look-ups. It evicts the oldest results
// beyond MaxAnswerBytes.
func (c *Core) retainResults(r *record) {
	for _, b := range r.answer.Results {
		r.answerBytes += len(b)
	}
	if r.answerBytes == 0 {
		return
	}
	c.retainedAnswers = append(c.retainedAnswers, r)
	c.retainedBytes += r.answerBytes
	for c.retainedBytes > MaxAnswerBytes {
		oldest := c.retainedAnswers[0]
		c.retainedAnswers = c.retainedAnswers[1:]
		c.retainedBytes -= oldest.answerBytes
		oldest.answerBytes = 0
		if oldest.answer.State == job.Complete {
			oldest.answer.Results = nil
			oldest.evicted = true
		}
	}
}
