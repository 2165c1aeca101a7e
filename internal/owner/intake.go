package owner

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// unknownEstimateMs is the estimate for a task whose run time the caller did not declare:
// the middle of the range of 50 ms to 1 s that users have.
const unknownEstimateMs = 500

// Submit accepts or refuses a submission. If its id is known, the callback gets the answer
// of the earlier submission. stop removes the callback. A refusal is a *fault.Fault, and the
// callback is then never called. Refusals are recorded like answers: a copy of the same
// submission that was delayed on another path would otherwise be accepted after its caller
// got the answer "not run".
func (c *Core) Submit(now time.Time, s *job.Submission, callback AnswerFunc) (stop func(), err error) {
	if r, known := c.jobs[s.ID.String()]; known {
		return c.handleResubmission(now, r, s, callback)
	}
	if refusal := c.checkAdmission(now, s); refusal != nil {
		c.counts.Refused++
		event.Log(c.log, event.JobRefused, "job", s.ID.String(), "team", s.Team, "code", int(refusal.Code),
			"reason", refusal.Name, "detail", refusal.Detail, "retry_after_ms", refusal.RetryAfterMs)
		return nil, refusal
	}
	stop = c.addCallback(c.accept(now, s), callback)
	c.dispatch(now)
	return stop, nil
}

// checkAdmission returns a fault if a new submission must be refused.
func (c *Core) checkAdmission(now time.Time, s *job.Submission) *fault.Fault {
	if !now.Before(s.ID.Deadline) {
		// The id may have been accepted, answered and removed. Only during
		// AnswerRetention does its absence prove that it has not run.
		f := fault.Input(fault.DeadlinePast, "id", "the deadline is past")
		f.NotRun = now.Before(s.ID.Deadline.Add(AnswerRetention))
		return f
	}
	if f := c.checkDeadline(now, s.ID); f != nil {
		return f
	}
	if len(c.jobs) >= c.conf.maxJobs {
		// The refusal can't be recorded, so a delayed copy may be accepted later: the
		// fault must not say "not run".
		f := fault.Refused(fault.TooManyJobs, "this entry holds as many ids as it may", time.Second)
		f.NotRun = false
		return f
	}
	if !c.runnable(now, s) {
		return c.recordRefusal(s, fault.Input(fault.NeverRunnable, "tasks", "no known target serves the class with workers large enough"))
	}
	if c.draining {
		return c.recordRefusal(s, fault.Refused(fault.Draining, "this entry is leaving; take a token from another", 100*time.Millisecond))
	}
	if f := c.checkLoad(now, s); f != nil {
		return c.recordRefusal(s, f)
	}
	return nil
}

// agentConnectGrace is the time after its start in which an entry does not refuse a job as
// never runnable, because agents may not have connected yet.
const agentConnectGrace = 3 * time.Second

// runnable reports whether each task fits on some known target. Without this check a job
// that no target can ever run would wait until its deadline.
func (c *Core) runnable(now time.Time, s *job.Submission) bool {
	if c.startedAt.IsZero() || now.Sub(c.startedAt) < agentConnectGrace {
		return true
	}
	for i := range s.Tasks {
		if !c.anyTargetFits(s.Class, s.Tasks[i].Demand) {
			return false
		}
	}
	return true
}

// anyTargetFits reports whether a known target, connected or not, serves the class and has
// at least the capacity d.
func (c *Core) anyTargetFits(class string, d job.Demand) bool {
	for _, a := range c.agents {
		if a.serves(class) && d.Fits(a.target.Capacity) {
			return true
		}
	}
	return len(c.agents) == 0 // no agent is known: some may be about to reconnect
}

// recordRefusal records a refusal as the final answer of the id.
func (c *Core) recordRefusal(s *job.Submission, f *fault.Fault) *fault.Fault {
	r := &record{id: s.ID, fingerprint: s.Fingerprint()}
	r.answer = job.Answer{ID: s.ID.String(), State: job.Refused, Failure: f}
	c.jobs[s.ID.String()] = r
	c.schedule(r, s.ID.Deadline.Add(AnswerRetention))
	return f
}

// accept records a submission as a pending job and queues its tasks.
func (c *Core) accept(now time.Time, s *job.Submission) *liveJob {
	r := &record{id: s.ID, fingerprint: s.Fingerprint()}
	live := &liveJob{rec: r, sub: s, accepted: now, callbacks: map[int]AnswerFunc{}}
	live.tasks = make([]liveTask, len(s.Tasks))
	live.waiting = make([]int, len(s.Tasks))
	for i := range s.Tasks {
		live.tasks[i].estimateMs = c.estimate(s, i)
		live.waiting[i] = i
	}
	for i := range live.tasks {
		live.remainingMs += live.tasks[i].estimateMs
		live.longestMs = max(live.longestMs, live.tasks[i].estimateMs)
	}
	slices.SortStableFunc(live.waiting, func(a, b int) int {
		return compareFloat(live.tasks[a].estimateMs, live.tasks[b].estimateMs)
	})
	r.job = live
	r.answer = job.Answer{ID: s.ID.String(), State: job.Pending}
	c.jobs[s.ID.String()] = r
	c.schedule(r, s.ID.Deadline)
	c.pending++
	c.counts.Accepted++
	c.addWaiting(live, len(live.waiting))
	c.addQueuedWork(live, live.remainingMs)
	c.updateReadyQueue(live)
	event.Log(c.log, event.JobAccepted, "job", s.ID.String(), "team", s.Team, "class", s.Class, "tasks", len(s.Tasks))
	return live
}

// estimate returns the expected run time of a task at speed 1, in milliseconds: the
// declared one, corrected by the estimator.
func (c *Core) estimate(s *job.Submission, task int) float64 {
	declared := float64(s.Tasks[task].EstimateMs)
	if declared == 0 {
		declared = unknownEstimateMs
	}
	return c.estimator.TaskMs(s.Class, declared)
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// handleResubmission handles a submission whose id is known: the callback gets the answer of
// the earlier one. It is a fault if the body differs or the earlier submission was refused.
func (c *Core) handleResubmission(now time.Time, r *record, s *job.Submission, callback AnswerFunc) (func(), error) {
	if !r.cancelled && r.fingerprint != s.Fingerprint() {
		return nil, fault.New(fault.BodyMismatch, "this id came before with another body")
	}
	if r.answer.State == job.Refused {
		return nil, r.answer.Failure
	}
	event.Log(c.log, event.JobAttached, "job", r.id.String(), "state", r.answer.State)
	c.counts.Attached++
	return c.awaitAnswer(now, r, callback)
}

// Await calls the callback with the answer of a known id, now or when it is final. stop
// removes the callback. The error is a *fault.Fault: NotFound if this owner has not accepted
// the id, AnswerExpired if the answer was given and its results are no longer held, or the
// id was removed.
func (c *Core) Await(now time.Time, id job.ID, callback AnswerFunc) (stop func(), err error) {
	r, known := c.jobs[id.String()]
	if known {
		return c.awaitAnswer(now, r, callback)
	}
	if !now.Before(id.Deadline.Add(AnswerRetention)) {
		return nil, fault.New(fault.AnswerExpired, "an id is forgotten "+AnswerRetention.String()+" after its deadline")
	}
	return nil, fault.New(fault.NotFound, "this owner has not accepted the id")
}

// HasID reports whether the id is known: accepted, refused or cancelled.
func (c *Core) HasID(id job.ID) bool {
	_, known := c.jobs[id.String()]
	return known
}

// awaitAnswer registers the callback for a pending answer, or calls it with the final one.
func (c *Core) awaitAnswer(now time.Time, r *record, callback AnswerFunc) (func(), error) {
	if r.job != nil {
		return c.addCallback(r.job, callback), nil
	}
	if r.answer.State == job.Complete && r.resultsExpired(now) {
		if r.deliveries > 0 {
			return nil, fault.New(fault.AnswerExpired, "the answer was given, and its results are no longer held")
		}
		c.withdraw(r)
	}
	r.deliver(callback)
	return func() {}, nil
}

// resultsExpired reports whether the results of a complete answer can no longer be given:
// they were evicted, or job.AnswerGrace is over.
func (r *record) resultsExpired(now time.Time) bool {
	return r.evicted || !now.Before(r.id.AnswerableUntil())
}

// deliver calls the callback with the final answer, and counts the deliveries of a complete
// one.
func (r *record) deliver(callback AnswerFunc) {
	if r.answer.State == job.Complete {
		r.deliveries++
	}
	callback(r.answer)
}

// withdraw replaces a complete answer that no caller got in time with an unknown outcome,
// the answer that other entries give by now. Otherwise the answer would be reported as given
// to a caller that never got it.
func (c *Core) withdraw(r *record) {
	c.dropResults(r)
	f := fault.Newf(fault.OutcomeUnknown, "the job ended, and nobody was given its results within %s of the deadline", job.AnswerGrace)
	if r.evicted {
		f = fault.New(fault.OutcomeUnknown, "the job ended, and its results were dropped for want of memory")
	}
	r.answer = job.Answer{ID: r.id.String(), State: job.Failed, Failure: f}
	event.Log(c.log, event.AnswerWithdrawn, "job", r.id.String(), "evicted", r.evicted)
}

// MarkUndelivered undoes the count of one delivery of a complete answer, which its receiver
// could not pass on to the caller in time.
func (c *Core) MarkUndelivered(id job.ID) {
	if r, known := c.jobs[id.String()]; known && r.deliveries > 0 {
		r.deliveries--
	}
}

// addCallback registers a callback for a job's final answer and returns a function that
// removes it.
func (c *Core) addCallback(l *liveJob, callback AnswerFunc) func() {
	key := l.nextCallbackKey
	l.nextCallbackKey++
	l.callbacks[key] = callback
	return func() { delete(l.callbacks, key) }
}

// Cancel ends a job as failed; its callbacks get that answer. Cancelling an ended job has no
// effect. A cancellation that arrives before its submission is recorded, so that the
// submission does not start after its caller has given it up. Where that is not possible,
// because the deadline is past or too far away or too many ids are held, the error is the
// *fault.Fault NotFound.
func (c *Core) Cancel(now time.Time, id job.ID) error {
	r, known := c.jobs[id.String()]
	if known {
		if r.job != nil {
			c.failJob(now, r.job, fault.New(fault.Cancelled, "cancelled by the caller"))
		}
		return nil
	}
	if !now.Before(id.Deadline) || id.Deadline.Sub(now) > c.options.MaxTimeout || len(c.jobs) >= c.options.MaxJobs {
		return fault.New(fault.NotFound, "this owner has not accepted the id")
	}
	f := fault.New(fault.Cancelled, "cancelled before the submission came")
	f.NotRun = true
	r = &record{id: id, cancelled: true}
	r.answer = job.Answer{ID: id.String(), State: job.Failed, Failure: f}
	c.jobs[id.String()] = r
	c.schedule(r, id.Deadline.Add(AnswerRetention))
	return nil
}
