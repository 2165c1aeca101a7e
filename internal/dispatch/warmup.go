package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/warmup"
)

// awaitingJob is a job that waits for targets before it is admitted.
type awaitingJob struct {
	*liveJob
	warmup.Job
	until time.Time
}

// awaitTargets keeps a job that no target can take until targets connect, and returns true; it returns
// false if the job is to be refused at once.
func (c *Core) awaitTargets(l *liveJob) bool {
	w := &awaitingJob{liveJob: l, Job: warmup.Job{
		Priority: l.Queue.Priority, Path: l.longestPath(), Objective: l.objective, Useful: l.usefulUntil, Deadline: l.Deadline,
	}}
	until, ok := warmup.WaitUntil(c.now, c.warmingSince, &w.Job)
	if !ok {
		return false
	}
	w.until = until
	c.awaiting = append(c.awaiting, w)
	c.counts.AwaitedTargets++
	event.Log(c.log, event.JobAwaitsTargets, "job", l.ID, "queue", l.Queue.Name, "for_ms", clock.Millis(until.Sub(c.now)), "waiting", len(c.awaiting))
	return true
}

// admitAwaiting decides again on the jobs that wait for targets, the most urgent first.
func (c *Core) admitAwaiting() {
	if len(c.awaiting) == 0 {
		return
	}
	awaiting := c.awaiting
	c.awaiting = nil
	slices.SortStableFunc(awaiting, func(a, b *awaitingJob) int { return warmup.Compare(&a.Job, &b.Job) })
	for _, w := range awaiting {
		l := w.liveJob
		if l.answered {
			continue // its caller has left, or cancelled it
		}
		f, predictedMs := c.checkAdmission(l)
		switch {
		case f == nil, c.mayAdmitLate(w):
			c.admit(l)
		case !c.draining && !c.reachesTarget(l.Queue.Service) && c.now.Before(w.until):
			c.awaiting = append(c.awaiting, w)
		default:
			c.jobs.remove(l)
			c.jobs.noteAnswer()
			c.refuse(l, f, predictedMs)
		}
	}
}

// mayAdmitLate reports whether a job that has waited for targets is admitted although it is predicted
// to be late.
func (c *Core) mayAdmitLate(w *awaitingJob) bool {
	if c.draining || len(c.candidateAgents) == 0 {
		return false
	}
	c.collectCandidates(w.liveJob)
	endMs, fitsNow, f := c.predict(w.liveJob)
	return f == nil && warmup.Admits(&w.Job, c.now.Add(clock.FromMillis(endMs)), fitsNow)
}

// noteSessionLost begins to wait for targets again if the last session has ended.
func (c *Core) noteSessionLost() {
	if len(c.agents) == 0 {
		c.warmingSince = c.now
	}
}

// longestPath returns the expected time from the start of the job's first task to its end.
func (l *liveJob) longestPath() time.Duration { return slices.Max(l.criticalPaths) }

// heldMs returns how long the job has waited at this entry, in milliseconds.
func (l *liveJob) heldMs(now time.Time) float64 { return clock.Millis(now.Sub(l.arrived) + l.Held) }
