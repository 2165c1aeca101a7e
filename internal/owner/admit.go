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
	// reconnectGrace is how long a disconnected agent still counts as capacity. A
	// session that is replaced must not make the entry refuse work meanwhile.
	reconnectGrace = 2 * time.Second
	// admitAll is how long after its start an entry lets everything in: until the
	// agents have dialled, its capacity looks like nothing. Longer, and an entry that
	// is replaced under saturation fills up with work it can't finish in time.
	admitAll = time.Second
	// shedEvery is how often waiting jobs are looked through for those that can't
	// be done in time any more. The look sorts the queue, so it is not done on
	// every event; a caller learns at most this much later than it could.
	shedEvery = 100 * time.Millisecond
	// contendedAfter is how long the queue must take to work off before teams are
	// held to their shares: less than what admission lets in of a flood, so that
	// shares apply by the time the flood's jobs fill the queue.
	contendedAfter = time.Second
	// holdBelow is how long the queue may take to work off for tasks to be held back
	// for faster targets. Holding leaves slots idle, and in a long queue somebody
	// always has a use for them.
	holdBelow = 2 * time.Second
	// anyClass asks for the capacity of all targets together.
	anyClass = ""
)

// team is what is known of one team's work.
type team struct {
	waiting  int     // tasks
	queuedMs float64 // unfinished work
}

func (c *Core) team(name string) *team {
	t := c.teams[name]
	if t == nil {
		t = &team{}
		c.teams[name] = t
	}
	return t
}

// addWork moves the sums of unfinished work.
func (c *Core) addWork(l *liveJob, ms float64) {
	c.queuedMs += ms
	c.team(l.sub.Team).queuedMs += ms
}

// dropTeam forgets a team without work, so that names that come once don't stay.
func (c *Core) dropTeam(name string) {
	if t := c.teams[name]; t != nil && t.idle() {
		delete(c.teams, name)
	}
}

// idle reports whether the team has no work; what is left of the sum then is the
// rounding of its additions.
func (t *team) idle() bool { return t.waiting == 0 && t.queuedMs < 1 }

// capacity returns the work that this entry gets done in a millisecond, as its
// share of the targets it knows, and the speed of the fastest that serves the class.
func (c *Core) capacity(now time.Time, class string) (perMs, fastest float64) {
	for _, a := range c.roster {
		if a.conn == 0 && now.Sub(a.lastSeen) > reconnectGrace || a.leaving() || a.target.Down || class != anyClass && !a.serves(class) {
			continue
		}
		speed := c.estimator.Speed(uint64(a.incarnation), a.target.Speed)
		perMs += speed * float64(a.target.Slots) / float64(max(a.owners, 1))
		fastest = max(fastest, speed)
	}
	return perMs, fastest
}

// admit asks the admission rules; nil means that the job is let in.
func (c *Core) admit(now time.Time, s *job.Submission) *fault.Fault {
	if c.opts.Policy != PolicyLeastWork || now.Sub(c.started) < admitAll {
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
	rank := c.order.Rank(queueing.Job{RemainingMs: work, LongestMs: longest, Arrived: now, Deadline: s.ID.Deadline})
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
	c.dropTeam(s.Team)
	return fault.Refused(fault.Overloaded, decision.Reason.String(), decision.RetryAfter)
}

// shareOut tells the limiter of teams what there is to share.
func (c *Core) shareOut(perMs float64) {
	slots, owners := 0, 1
	for _, a := range c.byConn {
		slots += a.target.Slots
		owners = max(owners, a.owners)
	}
	c.limiter.SetSlots(slots / owners)
	c.limiter.SetOwners(owners)
	c.limiter.SetContended(c.queuedMs > perMs*clock.Millis(contendedAfter))
	c.placing.NoHold = c.queuedMs > perMs*clock.Millis(holdBelow)
}

// shed ends waiting jobs that can't be done in time any more, so that their
// callers can act and the targets don't work for answers that come too late.
func (c *Core) shed(now time.Time) {
	if c.opts.Policy != PolicyLeastWork || now.Sub(c.lastShed) < shedEvery {
		return
	}
	c.lastShed = now
	perMs, fastest := c.capacity(now, anyClass)
	c.shareOut(perMs)
	if c.ready.Len() == 0 || perMs == 0 {
		return // where nobody is there now, agents may come back before the deadlines
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
		c.fail(now, l, f)
	}
}
