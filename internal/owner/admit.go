package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/admission"
	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
	"github.com/camphorrack/camphorrack/internal/scheduler/shedding"
)

const (
	// reconnectGrace is how long a disconnected agent still counts as capacity, so that the
	// replacement of a session does not make the entry refuse work.
	reconnectGrace = 2 * time.Second
	// admissionStartDelay is the time after its start in which an entry admits every job:
	// its capacity appears to be zero until the agents have connected. With a longer delay,
	// an entry that is replaced under saturation fills up with work that it can't finish in
	// time.
	admissionStartDelay = time.Second
	// shedInterval is the interval between checks of the waiting jobs for those that can no
	// longer be done in time. A check sorts the queue, so it is not done on every event; a
	// caller gets its answer at most this much later.
	shedInterval = 100 * time.Millisecond
	// contentionThreshold is the time to drain the queue above which teams are limited to
	// their shares. It is less than admission accepts of a burst, so that the shares apply
	// by the time the burst's jobs fill the queue.
	contentionThreshold = time.Second
	// maxHoldQueue is the time to drain the queue up to which tasks are held for faster
	// targets. Holding leaves slots idle, which other tasks of a longer queue can use.
	maxHoldQueue = 2 * time.Second
	// anyClass makes Core.capacity count the targets of all classes.
	anyClass = ""
)

// team sums up one team's unfinished work.
type team struct {
	waiting  int     // number of waiting tasks
	queuedMs float64 // estimated run time of unfinished tasks, in ms at speed 1
}

// team returns the sums of a team, and adds the team if it is new.
func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// addQueuedWork adds ms, which may be negative, to the sums of unfinished work.
func (c *Core) addQueuedWork(l *liveJob, ms float64) {
	c.queuedMs += ms
	c.team(l.sub.Team).queuedMs += ms
}

// removeIdleTeam removes a team without work, so that the table of teams does not grow with
// every name that is used once.
func (c *Core) removeIdleTeam(name string) {
	if t := c.teams[name]; t != nil && t.idle() {
		delete(c.teams, name)
	}
}

// idle reports whether the team has no work. The sum may then still differ from zero by
// rounding errors.
func (t *team) idle() bool { return t.waiting == 0 && t.queuedMs < 1 }

// capacity returns the work at speed 1, in milliseconds, that this entry's share of the
// targets of a class completes per millisecond, and the speed of the fastest of them.
func (c *Core) capacity(now time.Time, class string) (perMs, fastest float64) {
	for _, a := range c.roster {
		if a.conn == 0 && now.Sub(a.lastSeen) > reconnectGrace || a.leaving() || a.target.Down || class != anyClass && !a.serves(class) {
			continue
		}
		speed := c.estimator.Speed(uint64(a.incarnation), a.target.Speed)
		perMs += speed * float64(a.target.Slots) / float64(max(a.ownerCount, 1))
		fastest = max(fastest, speed)
	}
	return perMs, fastest
}

// checkLoad applies admission control by load; nil means that the job is admitted.
func (c *Core) checkLoad(now time.Time, s *job.Submission) *fault.Fault {
	if c.options.Policy != PolicyLeastWork || now.Sub(c.startedAt) < admissionStartDelay {
		return nil
	}
	var work, longest float64
	for i := range s.Tasks {
		estimate := c.estimate(s, i)
		work += estimate
		longest = max(longest, estimate)
	}
	perMs, fastest := c.capacity(now, s.Class)
	view := admission.View{
		QueuedMs: c.queuedMs, CapacityMsPerMs: perMs, FastestSpeed: fastest,
		Jobs: c.pending, RemainingMs: work, LongestMs: longest,
		DeadlineIn:   s.ID.Deadline.Sub(now),
		TeamQueuedMs: c.team(s.Team).queuedMs, Teams: len(c.teams),
		Limits: c.conf.admission,
	}
	rank := c.queuePolicy.Rank(queueing.Job{RemainingMs: work, LongestMs: longest, Arrived: now, Deadline: s.ID.Deadline})
	c.ready.Each(func(it *queueing.Item[*liveJob]) bool {
		if it.Rank() < rank {
			view.AheadMs += it.Value.remainingMs
		}
		return true
	})
	decision := admission.Decide(view)
	if decision.Admit {
		return nil
	}
	c.removeIdleTeam(s.Team)
	return fault.Refused(fault.Overloaded, decision.Reason.String(), decision.RetryAfter)
}

// updateSharing updates the team limiter, and whether tasks may be held for faster targets,
// from the connected agents and the time to drain the queue at the capacity perMs.
func (c *Core) updateSharing(perMs float64) {
	slots, owners := 0, 1
	for _, a := range c.byConn {
		slots += a.target.Slots
		owners = max(owners, a.ownerCount)
	}
	c.limiter.SetSlots(slots / owners)
	c.limiter.SetOwners(owners)
	c.limiter.SetContended(c.queuedMs > perMs*clock.Millis(contentionThreshold))
	c.placementOptions.NoHold = c.queuedMs > perMs*clock.Millis(maxHoldQueue)
}

// shed fails waiting jobs that can no longer be done in time, so that their callers can
// react and the targets do no work for late answers.
func (c *Core) shed(now time.Time) {
	if c.options.Policy != PolicyLeastWork || now.Sub(c.lastShed) < shedInterval {
		return
	}
	c.lastShed = now
	perMs, fastest := c.capacity(now, anyClass)
	c.updateSharing(perMs)
	if c.ready.Len() == 0 || perMs == 0 {
		return // without usable targets nothing is shed: agents may reconnect before the deadlines
	}
	waiting := make([]*liveJob, 0, c.ready.Len())
	c.ready.Each(func(it *queueing.Item[*liveJob]) bool {
		waiting = append(waiting, it.Value)
		return true
	})
	slices.SortFunc(waiting, func(a, b *liveJob) int { return cmp.Compare(a.rank, b.rank) })
	jobs := make([]shedding.Job, len(waiting))
	for i, l := range waiting {
		jobs[i] = shedding.Job{
			RemainingMs: l.remainingMs, LongestMs: l.longestMs, Started: l.mayHaveRun,
			DeadlineIn: l.sub.ID.Deadline.Sub(now),
		}
	}
	for _, d := range shedding.Pick(shedding.Fleet{CapacityMsPerMs: perMs, FastestSpeed: fastest}, jobs, nil) {
		l := waiting[d.Index]
		event.Log(c.log, event.JobShed, "job", l.sub.ID.String(), "team", l.sub.Team, "reason", d.Reason.String())
		f := fault.New(fault.Overloaded, "it can't be done before its deadline any more: "+d.Reason.String())
		f.RetryAfterMs = admission.MinRetry.Milliseconds()
		c.failJob(now, l, f)
	}
}
