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
	// maxSkippedJobs limits the jobs that one dispatch skips because they can't start now. A
	// job at the head of the queue that waits for a rare class must not block the others,
	// and a long queue of such jobs must not cost a full scan on every event.
	maxSkippedJobs = 64
	// maxHeldJobs limits the skipped jobs with a task that is held for a faster target. In
	// trials, 4 performed as well as 32; each costs a comparison of all targets.
	maxHeldJobs = 8
	// maxHeldTasks limits the tasks of one job that are skipped because they are held for a
	// faster target.
	maxHeldTasks = 2
)

// dispatch starts waiting tasks while targets have free capacity. It fails jobs past their
// deadline first: an owner whose process was paused can receive credits before its next
// tick, and would send tasks that every agent rejects as late.
func (c *Core) dispatch(now time.Time) {
	c.expire(now)
	if c.ready.Len() == 0 {
		return
	}
	c.collectCandidates(now)
	var skipped []*liveJob
	held := 0
	for c.ready.Len() > 0 && len(skipped) < maxSkippedJobs && held < maxHeldJobs && c.anyCandidateAvailable() {
		l := c.ready.Min().Value
		if c.startTasks(now, l) {
			held++
		}
		if l.queueItem.Queued() {
			c.ready.Remove(l.queueItem)
			skipped = append(skipped, l)
		}
	}
	for _, l := range skipped {
		c.updateReadyQueue(l)
	}
}

// anyCandidateAvailable reports whether a task can be sent to some candidate.
func (c *Core) anyCandidateAvailable() bool {
	for i := range c.candidates {
		if c.options.Policy.pushes() || c.candidates[i].Credits > 0 {
			return true
		}
	}
	return false
}

// startTasks starts as many tasks of the job as there is capacity for, longest first: the
// longest determines when the job ends, so it gets the first choice of targets. It reports
// whether a task is held for a faster target.
func (c *Core) startTasks(now time.Time, l *liveJob) (heldForFaster bool) {
	slackMs := l.slackMs(now)
	held := 0
	for i := len(l.waiting) - 1; i >= 0 && held < maxHeldTasks; i-- {
		if !c.limiter.MayStart(l.sub.Team) {
			break
		}
		choice := placement.Choose(c.placementTask(now, l, l.waiting[i], slackMs), c.candidates, c.placementOptions)
		if choice.Index == placement.None {
			held++
			if choice.Reason != placement.HeldForFaster {
				break
			}
			heldForFaster = true
			event.Log(c.log.V(logging.LevelDebug), event.TaskHeld, "job", l.sub.ID.String(), "task", l.waiting[i],
				"for", c.candidateAgents[choice.RunnerUp].worker)
			continue
		}
		task := l.waiting[i]
		l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
		slackMs = max(slackMs, choice.EndMs)
		c.startTask(now, l, task, choice)
	}
	c.updateReadyQueue(l)
	return heldForFaster
}

// startTask records a new attempt at the chosen agent, spends a credit and adds the start to
// the agent's pending frame.
func (c *Core) startTask(now time.Time, l *liveJob, task int, choice placement.Choice) {
	a := c.candidateAgents[choice.Index]
	seq := c.nextSeq
	c.nextSeq++
	t := &l.sub.Tasks[task]
	l.tasks[task].state = taskSent
	l.tasks[task].starts++
	l.mayHaveRun = true
	at := &attempt{seq: seq, agent: a, job: l, task: task, sentAt: now,
		expectedEnd: now.Add(clock.FromMillis(choice.EndMs)), team: l.sub.Team,
		class: l.sub.Class, estimateMs: l.tasks[task].estimateMs, declaredMs: t.EstimateMs, demand: t.Demand}
	a.attempts[seq] = at
	a.attemptSeqs = append(a.attemptSeqs, seq)
	a.inUse = a.inUse.Add(t.Demand)
	l.tasks[task].attempt = at
	if !c.options.Policy.pushes() {
		a.spent++
	}
	c.candidates[choice.Index] = c.candidate(now, a)
	c.limiter.Started(l.sub.Team)
	c.addWaiting(l, -1)
	c.counts.Starts++
	out := c.pendingFrame(a)
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

// logPlacement logs one placement in Options.LogEvery.
func (c *Core) logPlacement(l *liveJob, task int, at *attempt, choice placement.Choice) {
	if c.options.LogEvery == 0 || c.counts.Starts%uint64(c.options.LogEvery) != 0 {
		return
	}
	runnerUp := ""
	if choice.RunnerUp != placement.None {
		runnerUp = c.candidateAgents[choice.RunnerUp].worker
	}
	event.Log(c.log, event.TaskPlaced, "job", l.sub.ID.String(), "task", task, "attempt", at.seq,
		"worker", at.agent.worker, "reason", choice.Reason.String(), "runner_up", runnerUp,
		"estimate_ms", at.estimateMs, "rank", l.rank)
}

// addWaiting adds to the numbers of waiting tasks of the job's class and team.
func (c *Core) addWaiting(l *liveJob, delta int) {
	if c.waitingTasks[l.sub.Class] += delta; c.waitingTasks[l.sub.Class] == 0 {
		delete(c.waitingTasks, l.sub.Class)
	}
	team := c.team(l.sub.Team)
	team.waiting += delta
	c.limiter.SetWaiting(l.sub.Team, team.waiting)
}

// updateReadyQueue recomputes the rank of a job. It inserts a job with waiting tasks into
// the ready queue or moves it there, and removes a job without.
func (c *Core) updateReadyQueue(l *liveJob) {
	l.rank = c.queuePolicy.Rank(queueing.Job{
		RemainingMs: l.remainingMs, LongestMs: l.longestMs, Arrived: l.accepted, Deadline: l.sub.ID.Deadline,
	})
	queued := l.queueItem != nil && l.queueItem.Queued()
	switch {
	case len(l.waiting) == 0 && queued:
		c.ready.Remove(l.queueItem)
	case len(l.waiting) == 0:
	case queued:
		c.ready.Fix(l.queueItem, l.rank)
	default:
		l.queueItem = c.ready.Push(l, l.rank)
	}
}
