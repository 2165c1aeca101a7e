package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// proofWait is how long an answer may wait for the proof that nothing of the job has
// run: the recall and its answer take two hops. Later the outcome counts as unknown.
const proofWait = 40 * time.Millisecond

// outcome takes one report of an agent.
func (c *Core) outcome(a *agent, out *wire.RunOutcome) {
	at := a.attempts[out.Seq]
	if at == nil {
		return
	}
	delete(a.attempts, out.Seq)
	at.agent = nil
	c.learn(at, out, a)
	c.concluded(at, out, a)
}

// concluded ends the bookkeeping of an attempt and lets its job go on.
func (c *Core) concluded(at *attempt, out *wire.RunOutcome, a *agent) {
	l, t := at.job, at.task
	l.open--
	if out.End != wire.EndNotRun {
		l.mayHave = true
	}
	current := t.attempt == at
	if current {
		t.attempt = nil
	}
	if out.End == wire.EndNotRun {
		c.counts.NotRun++
	}
	if l.answered || l.ending || !current {
		c.look(l)
		return
	}
	switch out.End {
	case wire.EndDone:
		l.last = lastTask{at: at, host: a.host, speed: a.load.Speed, waitMs: out.WaitMs, runMs: out.RunMs}
		c.done(l, t)
	case wire.EndFailed:
		c.failed(l, t, a)
	default:
		c.moved(l, t, out, a)
	}
}

func (c *Core) done(l *liveJob, t *task) {
	t.state = taskDone
	l.undone--
	l.left[t.step]--
	if l.undone == 0 {
		c.finish(l, Answer{Kind: AnswerComplete})
		return
	}
	if l.left[t.step] == 0 {
		c.unblock(l)
	}
}

// unblock lets the steps begin whose steps before are done.
func (c *Core) unblock(l *liveJob) {
	changed := false
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.state != taskBlocked || slices.ContainsFunc(l.Steps[t.step].DependsOn, func(s int) bool { return l.left[s] > 0 }) {
			continue
		}
		t.state, changed = taskWaiting, true
	}
	if changed {
		c.placeWaiting(l)
	}
}

func (c *Core) failed(l *liveJob, t *task, a *agent) {
	t.failures++
	t.failedAt = append(t.failedAt, a.conn)
	event.Log(c.log, event.TargetFailed, "job", l.ID, "step", t.step, "task", t.index, "host", a.host, "target", a.targetName(),
		"failures", t.failures, "most", l.Queue.MaxAttempts)
	if t.failures >= max(l.Queue.MaxAttempts, 1) {
		c.finish(l, Answer{Kind: AnswerFailed})
		return
	}
	c.placeAgain(l, t)
}

// moved takes an order that ended without a result: the task goes to another target.
func (c *Core) moved(l *liveJob, t *task, out *wire.RunOutcome, a *agent) {
	c.counts.Moved++
	switch out.Reason {
	case wire.NotRunStale:
		l.runOffset += staleStep
	case wire.NotRunCrowded:
		t.moves++
	}
	event.Log(c.log, event.TaskReplaced, "job", l.ID, "step", t.step, "task", t.index, "host", a.host, "end", int(out.End),
		"reason", int(out.Reason), "waited_ms", out.WaitMs, "left_ms", clock.Millis(l.objective.Sub(c.now)))
	if out.Reason == wire.NotRunBusy {
		// A run of an earlier owner goes on there. Started on another target, the task
		// would run twice at once; the caller comes again after its pause.
		l.mayHave = true
		c.giveUp(l, fault.New(fault.OutcomeUnknown, "an earlier run of a task of it is not over"))
		return
	}
	if out.End == wire.EndNotRun && out.Reason == wire.NotRunLate && !l.begun() {
		c.giveUp(l, fault.New(fault.Overloaded, "it can't be done in time any more"))
		return
	}
	c.placeAgain(l, t)
}

// begun reports whether some of the job's work is done or, as far as is known, under
// way. Such a job is finished late rather than given up: its caller could not be told
// that nothing ran, and would only send it again.
func (l *liveJob) begun() bool {
	if l.mayHave {
		return true
	}
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil && at.room {
			return true
		}
	}
	return false
}

func (c *Core) placeAgain(l *liveJob, t *task) {
	t.state = taskWaiting
	if !c.worthPlacing(l, t) {
		c.giveUp(l, fault.New(fault.DeadlineExceeded, "it can't be done in time any more"))
		return
	}
	c.placeWaiting(l)
}

// giveUp ends a job that will not be done. Where nothing of it has run so far, its
// orders are called back first: with the proof that none has begun, the caller is
// told so and may come back; without it, the outcome is unknown.
func (c *Core) giveUp(l *liveJob, f *fault.Fault) {
	if l.answered || l.ending {
		return
	}
	l.ending, l.endFault, l.endBy = true, f, c.now.Add(proofWait)
	c.recallAll(l)
	c.look(l)
}

// look answers a job that is being given up as soon as it is known what became of
// it, ends one whose caller has stopped waiting, and begins one that came again.
func (c *Core) look(l *liveJob) {
	if !l.answered && !l.ending && !c.now.Before(l.Deadline) {
		c.finish(l, Answer{Kind: AnswerUnknown, Fault: fault.New(fault.DeadlineExceeded, "the caller's time is over")})
	}
	if !l.answered && l.ending && (l.mayHave || l.open == 0 || !c.now.Before(l.endBy)) {
		c.conclude(l)
	}
	if l.answered && l.open == 0 && l.next != nil {
		next := l.next
		l.next = nil
		c.jobs.forget(l)
		c.begin(next.job, next.waiter)
	}
}

func (c *Core) conclude(l *liveJob) {
	if !l.mayHave && l.open == 0 {
		after := c.comeback.RetryAfter(c.now, retryAfter, l.Queue.Priority)
		l.endFault.RetryAfterMs = after.Milliseconds()
		c.finish(l, Answer{Kind: AnswerNotRun, Fault: l.endFault, RetryAfter: after})
		return
	}
	c.finish(l, Answer{Kind: AnswerUnknown, Fault: l.endFault})
}

// finish gives the job its one answer and calls back what is still open.
func (c *Core) finish(l *liveJob, answer Answer) {
	l.answered, l.answer, l.keepUntil = true, answer, c.now.Add(answerKeep)
	c.jobs.answered()
	c.ended(l, answer)
	c.recallAll(l)
	c.logAnswer(l, answer)
	c.link.Enqueue(c.now, answerBytes*len(l.waiters))
	waiters := l.waiters
	l.waiters = nil
	for _, w := range waiters {
		w(answer)
	}
}

func (c *Core) logAnswer(l *liveJob, answer Answer) {
	took := clock.Millis(c.now.Sub(l.arrived))
	late := c.now.After(l.objective)
	if answer.Kind == AnswerComplete {
		c.counts.Complete++
		event.Log(c.log, event.JobComplete, l.completeFields(took, late)...)
		return
	}
	id := event.JobFailed
	reason, detail := "failed", "a task has failed as often as it may"
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
	event.Log(c.log, id, "job", l.ID, "queue", l.Queue.Name, "ms", took, "late", late, "answer", int(answer.Kind), "reason", reason, "detail", detail,
		"undone", l.undone, "open", l.open, "not_run", answer.Kind == AnswerNotRun)
}

// completeFields are what the line of a complete job says. A late one says where the time of
// its last task went, too.
func (l *liveJob) completeFields(tookMs float64, late bool) []any {
	fields := []any{"job", l.ID, "queue", l.Queue.Name, "ms", tookMs, "late", late}
	if !late {
		return fields
	}
	last := &l.last
	return append(fields, "tasks", len(l.tasks), "objective_ms", clock.Millis(l.objective.Sub(l.arrived)),
		"last_host", last.host, "last_speed", last.speed, "last_placed_ms", clock.Millis(last.at.placedAt.Sub(l.arrived)),
		"last_expected_ms", clock.Millis(last.at.expected), "last_room", last.at.room,
		"last_wait_ms", last.waitMs, "last_run_ms", last.runMs, "last_estimate_ms", clock.Millis(l.Steps[last.at.task.step].Estimate))
}

// recallAll calls every open order of the job back. What becomes of them is still
// reported.
func (c *Core) recallAll(l *liveJob) {
	for i := range l.tasks {
		at := l.tasks[i].attempt
		if at == nil || at.agent == nil {
			continue
		}
		l.tasks[i].attempt = nil
		at.agent.out.Recalls = append(at.agent.out.Recalls, at.seq)
		at.agent.dirty = true
		c.counts.Recalls++
	}
}

func (a *agent) targetName() string {
	if a.target == nil {
		return ""
	}
	return a.target.Name
}
