package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/scheduler/placement"
	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// maxSetAside bounds how many jobs that can't start now are looked past for one
	// that can: a head of the queue that waits for a rare class must not block the
	// others, and a long queue of such jobs must not cost a scan on every event.
	maxSetAside = 64
	// maxHeldJobs bounds how many jobs with a task that waits for a faster target are
	// looked past. In trials 4 do as well as 32; each costs a look over all targets.
	maxHeldJobs = 8
	// maxHeld bounds how many tasks of one job are looked past because they wait for
	// a faster target.
	maxHeld = 2
)

// dispatch starts waiting tasks while there is room for them. It ends jobs past
// their deadline first: an owner that was paused hears of free slots before its
// next tick, and would send out work that every agent turns away as late.
func (c *Core) dispatch(now time.Time) {
	c.expire(now)
	if c.ready.Len() == 0 {
		return
	}
	c.view(now)
	var aside []*liveJob
	held := 0
	for c.ready.Len() > 0 && len(aside) < maxSetAside && held < maxHeldJobs && c.anyRoom() {
		l := c.ready.Min().Value
		if c.startFrom(now, l) {
			held++
		}
		if l.place.Queued() {
			c.ready.Remove(l.place)
			aside = append(aside, l)
		}
	}
	for _, l := range aside {
		c.enqueue(l)
	}
}

// anyRoom reports whether some candidate may take a task.
func (c *Core) anyRoom() bool {
	for i := range c.candidates {
		if c.opts.Policy.push() || c.candidates[i].Credits > 0 {
			return true
		}
	}
	return false
}

// startFrom starts as many tasks of the job as there is room for, longest first:
// the longest decides when the job ends, so it gets the first choice of targets.
// It reports whether a task waits for a faster target.
func (c *Core) startFrom(now time.Time, l *liveJob) (holds bool) {
	slackMs := l.slackMs(now)
	held := 0
	for i := len(l.waiting) - 1; i >= 0 && held < maxHeld; i-- {
		if !c.limiter.MayStart(l.sub.Team) {
			break
		}
		choice := placement.Choose(c.taskView(now, l, l.waiting[i], slackMs), c.candidates, c.placing)
		if choice.Index == placement.None {
			held++
			if choice.Reason != placement.HeldForFaster {
				break
			}
			holds = true
			event.Log(c.log.V(logging.LevelDebug), event.TaskHeld, "job", l.sub.ID.String(), "task", l.waiting[i],
				"for", c.viewed[choice.RunnerUp].worker)
			continue
		}
		task := l.waiting[i]
		l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
		slackMs = max(slackMs, choice.EndMs)
		c.start(now, l, task, choice)
	}
	c.enqueue(l)
	return holds
}

func (c *Core) start(now time.Time, l *liveJob, task int, choice placement.Choice) {
	a := c.viewed[choice.Index]
	seq := c.nextSeq
	c.nextSeq++
	t := &l.sub.Tasks[task]
	l.tasks[task].state = taskSent
	l.tasks[task].tries++
	l.mayHaveRun = true
	at := &attempt{seq: seq, agent: a, live: l, task: task, sentAt: now,
		endsAt: now.Add(clock.FromMillis(choice.EndMs)), team: l.sub.Team,
		class: l.sub.Class, estimateMs: l.tasks[task].estimateMs, declaredMs: t.EstimateMs, demand: t.Demand}
	a.attempts[seq] = at
	a.order = append(a.order, seq)
	a.inUse = a.inUse.Add(t.Demand)
	l.tasks[task].attempt = at
	if !c.opts.Policy.push() {
		a.spent++
	}
	c.candidates[choice.Index] = c.candidate(now, a)
	c.limiter.Started(l.sub.Team)
	c.countWaiting(l, -1)
	c.counts.Starts++
	out := c.touch(a)
	out.Starts = append(out.Starts, wire.Start{
		Seq:        seq,
		Job:        l.sub.ID.String(),
		Task:       task,
		Class:      l.sub.Class,
		Payload:    t.Payload,
		DeadlineMs: l.sub.ID.Deadline.UnixMilli(),
		EstimateMs: t.EstimateMs,
		Demand:     t.Demand,
		Idempotent: l.sub.Idempotent,
	})
	c.logPlacement(l, task, at, choice)
}

func (c *Core) logPlacement(l *liveJob, task int, at *attempt, choice placement.Choice) {
	if c.opts.LogEvery == 0 || c.counts.Starts%uint64(c.opts.LogEvery) != 0 {
		return
	}
	runnerUp := ""
	if choice.RunnerUp != placement.None {
		runnerUp = c.viewed[choice.RunnerUp].worker
	}
	event.Log(c.log, event.TaskPlaced, "job", l.sub.ID.String(), "task", task, "attempt", at.seq,
		"worker", at.agent.worker, "reason", choice.Reason.String(), "runner_up", runnerUp,
		"estimate_ms", at.estimateMs, "rank", l.rank)
}

// countWaiting keeps the sums of waiting tasks by class and by team.
func (c *Core) countWaiting(l *liveJob, by int) {
	if c.waitingTasks[l.sub.Class] += by; c.waitingTasks[l.sub.Class] == 0 {
		delete(c.waitingTasks, l.sub.Class)
	}
	team := c.team(l.sub.Team)
	team.waiting += by
	c.limiter.SetWaiting(l.sub.Team, team.waiting)
}

// enqueue puts a job with waiting tasks into the ready queue, moves it there after
// its rank changed, or takes it out when nothing of it waits.
func (c *Core) enqueue(l *liveJob) {
	l.rank = c.order.Rank(queueing.Job{
		RemainingMs: l.remainingMs, LongestMs: l.longestMs, Arrived: l.accepted, Deadline: l.sub.ID.Deadline,
	})
	queued := l.place != nil && l.place.Queued()
	switch {
	case len(l.waiting) == 0 && queued:
		c.ready.Remove(l.place)
	case len(l.waiting) == 0:
	case queued:
		c.ready.Fix(l.place, l.rank)
	default:
		l.place = c.ready.Push(l, l.rank)
	}
}
