package owner

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// unknownEstimateMs stands in for a run time that the caller did not declare: the
// middle of the users' range of 50 ms to 1 s.
const unknownEstimateMs = 500

// Submit lets a submission in, or attaches the waiter to what is known of its id.
// A refusal is a *fault.Fault, and then the waiter is never called. The refusal of
// an id is remembered like an answer: a copy of the same submission that was
// delayed on another way in would otherwise be accepted after its caller was told
// "not run".
func (c *Core) Submit(now time.Time, s *job.Submission, w AnswerFunc) (stop func(), err error) {
	if r, known := c.jobs[s.ID.String()]; known {
		return c.attach(now, r, s, w)
	}
	if refusal := c.refusal(now, s); refusal != nil {
		c.counts.Refused++
		event.Log(c.log, event.JobRefused, "job", s.ID.String(), "team", s.Team, "code", int(refusal.Code),
			"reason", refusal.Name, "detail", refusal.Detail, "retry_after_ms", refusal.RetryAfterMs)
		return nil, refusal
	}
	stop = c.wait(c.accept(now, s), w)
	c.dispatch(now)
	return stop, nil
}

// refusal decides whether a new submission is turned away.
func (c *Core) refusal(now time.Time, s *job.Submission) *fault.Fault {
	if !now.Before(s.ID.Deadline) {
		// The id may have been accepted, answered and forgotten; only an id that
		// is still in the table could be vouched for.
		f := fault.Input(fault.DeadlinePast, "id", "the deadline is past")
		f.NotRun = now.Before(s.ID.Deadline.Add(AnswerRetention))
		return f
	}
	if f := c.tooFar(now, s.ID); f != nil {
		return f
	}
	if len(c.jobs) >= c.conf.maxJobs {
		// Without room to remember the refusal, "not run" could turn out untrue.
		f := fault.Refused(fault.TooManyJobs, "this entry holds as many ids as it may", time.Second)
		f.NotRun = false
		return f
	}
	if !c.runnable(now, s) {
		return c.refuse(s, fault.Input(fault.NeverRunnable, "tasks", "no known target serves the class with workers large enough"))
	}
	if c.draining {
		return c.refuse(s, fault.Refused(fault.Draining, "this entry is leaving; take a token from another", 100*time.Millisecond))
	}
	if f := c.admit(now, s); f != nil {
		return c.refuse(s, f)
	}
	return nil
}

// settleIn is how long after its start an entry waits for agents to connect before
// it concludes from their absence that a job can never run.
const settleIn = 3 * time.Second

// runnable reports whether some known target could hold each of the tasks. A job
// that no target could ever hold would wait until its deadline for nothing.
func (c *Core) runnable(now time.Time, s *job.Submission) bool {
	if c.started.IsZero() || now.Sub(c.started) < settleIn {
		return true
	}
	for i := range s.Tasks {
		if !c.anyHolds(s.Class, s.Tasks[i].Demand) {
			return false
		}
	}
	return true
}

func (c *Core) anyHolds(class string, d job.Demand) bool {
	for _, a := range c.agents {
		if a.serves(class) && d.Fits(a.target.Capacity) {
			return true
		}
	}
	return len(c.agents) == 0 // nobody is known: agents may be about to come back
}

// refuse remembers a refusal as the id's one answer.
func (c *Core) refuse(s *job.Submission, f *fault.Fault) *fault.Fault {
	r := &record{id: s.ID, fingerprint: s.Fingerprint()}
	r.answer = job.Answer{ID: s.ID.String(), State: job.Refused, Failure: f}
	c.jobs[s.ID.String()] = r
	c.schedule(r, s.ID.Deadline.Add(AnswerRetention))
	return f
}

func (c *Core) accept(now time.Time, s *job.Submission) *liveJob {
	r := &record{id: s.ID, fingerprint: s.Fingerprint()}
	live := &liveJob{rec: r, sub: s, accepted: now, waiters: map[int]AnswerFunc{}}
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
	r.live = live
	r.answer = job.Answer{ID: s.ID.String(), State: job.Pending}
	c.jobs[s.ID.String()] = r
	c.schedule(r, s.ID.Deadline)
	c.pending++
	c.counts.Accepted++
	c.countWaiting(live, len(live.waiting))
	c.addWork(live, live.remainingMs)
	c.enqueue(live)
	event.Log(c.log, event.JobAccepted, "job", s.ID.String(), "team", s.Team, "class", s.Class, "tasks", len(s.Tasks))
	return live
}

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

// attach answers a submission whose id is known.
func (c *Core) attach(now time.Time, r *record, s *job.Submission, w AnswerFunc) (func(), error) {
	if !r.cancelled && r.fingerprint != s.Fingerprint() {
		return nil, fault.New(fault.BodyMismatch, "this id came before with another body")
	}
	if r.answer.State == job.Refused {
		return nil, r.answer.Failure
	}
	event.Log(c.log, event.JobAttached, "job", r.id.String(), "state", r.answer.State)
	c.counts.Attached++
	return c.await(now, r, w)
}

// Await hands the answer of a known id to the waiter, now or when it is final.
// The error is a *fault.Fault: NotFound where this owner never accepted the id,
// AnswerExpired where the answer was given and is no longer held.
func (c *Core) Await(now time.Time, id job.ID, w AnswerFunc) (stop func(), err error) {
	r, known := c.jobs[id.String()]
	if known {
		return c.await(now, r, w)
	}
	if !now.Before(id.Deadline.Add(AnswerRetention)) {
		return nil, fault.New(fault.AnswerExpired, "an id is forgotten "+AnswerRetention.String()+" after its deadline")
	}
	return nil, fault.New(fault.NotFound, "this owner has not accepted the id")
}

// HasID reports whether the id is in the table: accepted, refused or cancelled.
func (c *Core) HasID(id job.ID) bool {
	_, known := c.jobs[id.String()]
	return known
}

func (c *Core) await(now time.Time, r *record, w AnswerFunc) (func(), error) {
	if r.live != nil {
		return c.wait(r.live, w), nil
	}
	if r.answer.State == job.Complete && r.lapsed(now) {
		if r.given > 0 {
			return nil, fault.New(fault.AnswerExpired, "the answer was given, and its results are no longer held")
		}
		c.withdraw(r)
	}
	r.give(w)
	return func() {}, nil
}

// lapsed reports whether the results of a complete answer can no longer be given.
func (r *record) lapsed(now time.Time) bool { return r.evicted || !now.Before(r.id.AnswerableUntil()) }

// give hands the answer to a waiter.
func (r *record) give(w AnswerFunc) {
	if r.answer.State == job.Complete {
		r.given++
	}
	w(r.answer)
}

// withdraw replaces a complete answer that nobody was given in time with the one that
// other entries give by now. Without it, a caller would be told that an answer was
// given that it never got.
func (c *Core) withdraw(r *record) {
	c.dropResults(r)
	f := fault.Newf(fault.OutcomeUnknown, "the job ended, and nobody was given its results within %s of the deadline", job.AnswerGrace)
	if r.evicted {
		f = fault.New(fault.OutcomeUnknown, "the job ended, and its results were dropped for want of memory")
	}
	r.answer = job.Answer{ID: r.id.String(), State: job.Failed, Failure: f}
	event.Log(c.log, event.AnswerWithdrawn, "job", r.id.String(), "evicted", r.evicted)
}

// MarkUndelivered takes back one handing over of a complete answer: its waiter was too late
// to pass the answer on.
func (c *Core) MarkUndelivered(id job.ID) {
	if r, known := c.jobs[id.String()]; known && r.given > 0 {
		r.given--
	}
}

func (c *Core) wait(l *liveJob, w AnswerFunc) func() {
	key := l.nextWait
	l.nextWait++
	l.waiters[key] = w
	return func() { delete(l.waiters, key) }
}

// Cancel ends a job. The waiters get the answer; cancelling an ended job changes
// nothing. A cancellation that overtakes its submission is remembered, so that the
// submission does not start after its caller gave it up. The error is a *fault.Fault.
func (c *Core) Cancel(now time.Time, id job.ID) error {
	r, known := c.jobs[id.String()]
	if known {
		if r.live != nil {
			c.fail(now, r.live, fault.New(fault.Cancelled, "cancelled by the caller"))
		}
		return nil
	}
	if !now.Before(id.Deadline) || id.Deadline.Sub(now) > c.opts.MaxTimeout || len(c.jobs) >= c.opts.MaxJobs {
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
