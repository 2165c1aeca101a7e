package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// avoidAfterRefusal keeps an agent whose target could not be called, or whose clock
// says that the deadline is past, from getting the same task again at once:
// without it a task circles between the owner and the agent, a message each round
// trip.
const avoidAfterRefusal = 200 * time.Millisecond

// settle takes one report of an agent.
func (c *Core) settle(now time.Time, a *agent, r *wire.Report) {
	if !r.State.Final() {
		return
	}
	out := c.touch(a)
	out.Acks = append(out.Acks, r.Seq)
	at, open := a.attempts[r.Seq]
	if !open {
		return // a repeated report
	}
	c.close(at)
	c.learnFrom(now, at, r)
	event.Log(c.log.V(1), event.TaskReported, "attempt", r.Seq, "worker", a.worker, "state", int(r.State),
		"reason", int(r.Reason), "run_ms", r.RunMs)
	if at.live == nil {
		if r.State != wire.NotRun {
			c.counts.UnusedOutcomes++
		}
		return
	}
	at.live.tasks[at.task].attempt = nil
	c.conclude(now, at, r)
}

// close ends the owner's bookkeeping of an attempt.
func (c *Core) close(at *attempt) {
	delete(at.agent.attempts, at.seq)
	at.agent.inUse = at.agent.inUse.Sub(at.demand)
	c.limiter.Finished(at.team)
}

// learnFrom feeds an outcome to the estimates and the agent's rating. What was
// called back says nothing about the target.
func (c *Core) learnFrom(now time.Time, at *attempt, r *wire.Report) {
	id := uint64(at.agent.incarnation)
	kind, counts := outcomeKind(r)
	if !counts || at.live == nil && kind != health.Succeeded {
		return
	}
	if kind == health.Succeeded {
		c.estimator.Observe(id, at.class, float64(at.declaredMs), at.agent.target.Speed, r.RunMs)
	}
	if c.health.Observe(id, kind == health.Succeeded, kind, now) {
		event.Log(c.log, event.AgentRated, "worker", at.agent.worker, "rating", c.health.Rating(id).String())
	}
}

// outcomeKind maps a report to what it says about the target; counts is false
// where it says nothing.
func outcomeKind(r *wire.Report) (kind health.Outcome, counts bool) {
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

// conclude applies an attempt's outcome to its job, which is still live.
func (c *Core) conclude(now time.Time, at *attempt, r *wire.Report) {
	l := at.live
	switch r.State {
	case wire.Succeeded:
		c.succeed(now, l, at.task, r.Result)
	case wire.NotRun:
		c.counts.NotRun++
		if r.Reason == wire.ReasonTargetUnavailable || r.Reason == wire.ReasonDeadlinePast {
			at.agent.avoidUntil = now.Add(avoidAfterRefusal)
		}
		c.putBack(l, at.task)
		event.Log(c.log, event.TaskReplaced, "job", l.rec.id.String(), "task", at.task, "worker", at.agent.worker,
			"reason", int(r.Reason))
	case wire.FailedRun:
		c.retryOrFail(now, l, at.task, fault.Newf(fault.TaskFailed, "task %d: %s", at.task, r.Detail))
	default:
		c.retryOrFail(now, l, at.task, fault.Newf(fault.OutcomeUnknown, "task %d: %s", at.task, r.Detail))
	}
}

func (c *Core) succeed(now time.Time, l *liveJob, task int, result []byte) {
	l.tasks[task].state = taskDone
	l.tasks[task].result = result
	l.remainingMs -= l.tasks[task].estimateMs
	c.addWork(l, -l.tasks[task].estimateMs)
	l.done++
	if l.done < len(l.tasks) {
		c.enqueue(l)
		return
	}
	if !now.Before(l.rec.id.Deadline) {
		c.fail(now, l, fault.New(fault.DeadlineExceeded, "the last result came after the deadline"))
		return
	}
	results := make([][]byte, len(l.tasks))
	for i := range l.tasks {
		results[i] = l.tasks[i].result
	}
	c.finish(now, l, job.Answer{ID: l.rec.id.String(), State: job.Complete, Results: results})
}

// putBack makes a task that certainly did not run wait again.
func (c *Core) putBack(l *liveJob, task int) {
	l.tasks[task].state = taskWaiting
	estimate := l.tasks[task].estimateMs
	at := len(l.waiting)
	for at > 0 && l.tasks[l.waiting[at-1]].estimateMs > estimate {
		at--
	}
	l.waiting = append(l.waiting, 0)
	copy(l.waiting[at+1:], l.waiting[at:])
	l.waiting[at] = task
	c.countWaiting(l, 1)
	c.enqueue(l)
}

func (c *Core) retryOrFail(now time.Time, l *liveJob, task int, f *fault.Fault) {
	if l.sub.Idempotent && l.tasks[task].tries < MaxStarts {
		c.putBack(l, task)
		return
	}
	c.fail(now, l, f)
}

// fail ends a job as failed and calls back whatever is still under way. The
// failure says "not run" only where no attempt is open and none ever ran.
func (c *Core) fail(now time.Time, l *liveJob, f *fault.Fault) {
	f.NotRun = !l.mayHaveRun || c.provenNotRun(l)
	c.finish(now, l, job.Answer{ID: l.rec.id.String(), State: job.Failed, Failure: f})
}

// provenNotRun reports whether every task is waiting and each attempt of the past
// was reported as not run.
func (c *Core) provenNotRun(l *liveJob) bool {
	for i := range l.tasks {
		if l.tasks[i].state != taskWaiting {
			return false
		}
	}
	return !l.sub.Idempotent // an idempotent request waits again after an unknown outcome
}

// finish gives the job its one final answer and lets go of its tasks.
func (c *Core) finish(now time.Time, l *liveJob, answer job.Answer) {
	r := l.rec
	if l.place != nil && l.place.Queued() {
		c.ready.Remove(l.place)
	}
	c.countWaiting(l, -len(l.waiting))
	c.addWork(l, -l.remainingMs)
	c.dropTeam(l.sub.Team)
	c.recall(l)
	r.live, r.answer = nil, answer
	c.pending--
	c.retain(r)
	if answer.State == job.Complete {
		c.counts.Complete++
		event.Log(c.log, event.JobComplete, "job", r.id.String(), "ms", now.Sub(l.accepted).Milliseconds())
	} else {
		c.counts.Failed++
		event.Log(c.log, event.JobFailed, "job", r.id.String(), "code", int(answer.Failure.Code),
			"reason", answer.Failure.Name, "detail", answer.Failure.Detail, "not_run", answer.Failure.NotRun)
	}
	for _, w := range l.waiters {
		r.give(w)
	}
	l.waiters = nil
}

// recall cancels the job's open attempts; their reports settle them later.
func (c *Core) recall(l *liveJob) {
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil {
			c.abandon(at)
		}
	}
}

// abandon cancels one attempt whose outcome no longer matters.
func (c *Core) abandon(at *attempt) {
	at.live.tasks[at.task].attempt = nil
	at.live = nil
	out := c.touch(at.agent)
	out.Cancels = append(out.Cancels, at.seq)
	c.counts.Cancels++
}

// retain keeps the results for later look-ups, within MaxAnswerBytes.
func (c *Core) retain(r *record) {
	for _, b := range r.answer.Results {
		r.answerBytes += len(b)
	}
	if r.answerBytes == 0 {
		return
	}
	c.answers = append(c.answers, r)
	c.kept += r.answerBytes
	for c.kept > MaxAnswerBytes {
		oldest := c.answers[0]
		c.answers = c.answers[1:]
		c.kept -= oldest.answerBytes
		oldest.answerBytes = 0
		if oldest.answer.State == job.Complete {
			oldest.answer.Results = nil
			oldest.evicted = true
		}
	}
}
