package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/earliest"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// frameBytes is what a frame takes on the link besides the bodies of its orders, orderBytes
	// what an order takes, and answerBytes what the answer to a caller does.
	frameBytes, orderBytes, answerBytes = 120, 80, 300
	// runEpochMs is where run numbers begin, in Unix milliseconds: the start of 2026.
	runEpochMs = 1767225600000
	// staleStep is added to a run number that a target has seen a higher one than:
	// clocks of hosts may be some seconds apart.
	staleStep = 10_000
	// localHopMs and remoteHopMs are the way to an agent and back, with the time that
	// both processes take to wake up.
	localHopMs, remoteHopMs = 3, 6
	// minSpeed keeps a prediction finite for a target on which nothing moves.
	minSpeed = 0.02
	// usualSlackMs is how long a task that has not begun may wait beyond its slack before
	// it comes back: the estimate that the slack was made from is rough. A longer one
	// gives room to tasks that are late anyway.
	usualSlackMs = 10
	// mostMoves is how often a task may come back because it would wait longer than
	// predicted. Other entries send work there at the same moment, and its own choice is
	// made on a load some milliseconds old; where that has gone wrong twice, all targets
	// are full and going on would only cost hops.
	mostMoves = 2
)

func (a *agent) usable() bool {
	return a.target != nil && !a.load.Leaving && !a.load.Down && !a.load.Shunned
}

// view fills the candidates with the agents whose targets may run the job's tasks, and
// returns how many it left out because their data centre is evacuated.
func (c *Core) view(l *liveJob) (evacuated int) {
	c.candidates, c.viewed = c.candidates[:0], c.viewed[:0]
	linkWaitMs, firstMs := c.link.WaitMs(c.now), c.link.TransmitMs(frameBytes+len(l.Spec))
	for _, a := range c.roster {
		if !a.usable() || a.target.Service != l.Queue.Service {
			continue
		}
		if _, out := c.evacuated[a.targetDataCentre()]; out {
			evacuated++
			continue
		}
		c.viewed = append(c.viewed, a)
		cand := c.candidate(a, l)
		cand.RoundTripMs, cand.BodyTransmitMs = cand.RoundTripMs+linkWaitMs, firstMs
		c.candidates = append(c.candidates, cand)
	}
	return evacuated
}

// targetDataCentre returns that of the agent's target.
func (a *agent) targetDataCentre() string { return cmp.Or(a.target.DataCentre, a.dataCentre) }

func (c *Core) candidate(a *agent, l *liveJob) earliest.Candidate {
	hop := float64(remoteHopMs)
	if a.dataCentre == c.o.DataCentre {
		hop = localHopMs
	}
	slack := clock.Millis(l.objective.Sub(c.now)) - clock.Millis(l.tails[0])
	cand := earliest.Candidate{
		Free: a.load.Free, Total: a.target.Capacity, WaitMs: a.load.WaitMs[horizon(slack)],
		Speed: max(a.load.Speed, minSpeed), RoundTripMs: hop, FailureRate: a.load.FailedRate,
	}
	for i := range a.unseen {
		cand.Reserve(a.unseen[i].task, a.unseen[i].index)
	}
	cand.StepTasks = 0
	return cand
}

// horizon returns the index of the prediction for a task of that slack.
func horizon(slackMs float64) int {
	for i, h := range wire.Horizons {
		if slackMs <= h {
			return i
		}
	}
	return len(wire.Horizons) - 1
}

// spec returns a task as a placement sees it. Its functions look at the agents that
// were viewed last.
func (c *Core) spec(l *liveJob, t *task) earliest.Task {
	s := &l.Steps[t.step]
	spec := earliest.Task{
		Demand: s.Demand, EstimateMs: clock.Millis(s.Estimate), RemainingMs: c.leftMs(l, t),
		MaxPerTarget: s.MaxPerTarget, RemoteFactor: c.o.RemoteFactor,
	}
	if s.Label != "" || len(t.failedAt) > 0 {
		spec.Fits = func(i int) bool {
			a := c.viewed[i]
			return !slices.Contains(t.failedAt, a.conn) && (s.Label == "" || slices.Contains(a.target.Labels, s.Label))
		}
	}
	if s.DataRack != "" {
		spec.IsLocal = func(i int) bool { return slices.Contains(c.viewed[i].target.Labels, s.DataRack) }
	}
	return spec
}

// leftMs returns the time by which the task must end for its job to be in time, or, where
// that is past, for its answer to be worth something.
func (c *Core) leftMs(l *liveJob, t *task) float64 {
	behind := l.tails[t.step] - l.Steps[t.step].Estimate
	left := l.objective.Sub(c.now) - behind
	if left <= 0 {
		left = l.late.Sub(c.now) - behind
	}
	return clock.Millis(left)
}

// placeWaiting sends an order for each waiting task of the job.
func (c *Core) placeWaiting(l *liveJob) {
	if c.endCrashLoop(l) {
		return
	}
	c.view(l)
	c.countOwn(l)
	placed := make([]string, 0, 8)
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		spec := c.spec(l, t)
		choice := earliest.Choose(spec, c.candidates)
		if choice.Index == earliest.None && len(t.failedAt) > 0 {
			// Every other target is away: one on which it failed is better than none.
			t.failedAt = nil
			spec = c.spec(l, t)
			choice = earliest.Choose(spec, c.candidates)
		}
		if choice.Index == earliest.None {
			c.giveUp(l, fault.New(fault.Overloaded, "no target can take a task of it now"))
			return
		}
		c.candidates[choice.Index].Reserve(spec, choice.Index)
		a := c.viewed[choice.Index]
		c.order(l, t, a, spec, choice)
		placed = append(placed, strconv.Itoa(t.step)+"."+strconv.Itoa(t.index)+"@"+a.host)
	}
	if len(placed) > 0 {
		event.Log(c.log, event.TaskPlaced, "job", l.ID, "queue", l.Queue.Name, "tasks", strings.Join(placed, " "),
			"left_ms", clock.Millis(l.objective.Sub(c.now)), "oldest_load_ms", c.oldestLoadMs())
	}
}

// countOwn counts the job's open tasks in, for the bound of tasks on one target.
func (c *Core) countOwn(l *liveJob) {
	for i := range l.tasks {
		at := l.tasks[i].attempt
		if at == nil || at.agent == nil {
			continue
		}
		if k := slices.Index(c.viewed, at.agent); k >= 0 {
			c.candidates[k].StepTasks++
		}
	}
}

func (c *Core) order(l *liveJob, t *task, a *agent, spec earliest.Task, choice earliest.Choice) {
	s := &l.Steps[t.step]
	a.nextSeq++
	at := &attempt{seq: a.nextSeq, run: c.nextRun(l), agent: a, job: l, task: t, placedAt: c.now,
		expected: clock.FromMillis(choice.EndMs), room: choice.FitsNow}
	c.link.Enqueue(c.now, c.sendBytes(a, l))
	t.state, t.attempt = taskPlaced, at
	a.attempts[at.seq] = at
	l.open++
	c.counts.Orders++
	a.unseen = append(a.unseen, unseen{at.seq, earliest.Task{Demand: spec.Demand, EstimateMs: spec.EstimateMs}, choice.Index})

	tailMs := clock.Millis(l.tails[t.step]) / max(a.load.Speed, minSpeed)
	slackMs, giveUpMs := c.patience(l, tailMs)
	a.out.Orders = append(a.out.Orders, wire.Order{
		Seq: at.seq, Job: l.ID, Step: t.step, Index: t.index, Run: at.run, Spec: l.Spec,
		Demand: s.Demand, EstimateMs: clock.Millis(s.Estimate),
		SlackMs: int64(slackMs), GiveUpMs: int64(giveUpMs), LimitMs: l.Deadline.Sub(c.now).Milliseconds(),
		Movable: t.moves < mostMoves, WaitMs: choice.StartMs, Unguarded: !l.Queue.EnforcesCapacity,
	})
	a.dirty = true
}

// sendBytes is what one more order of the job to the agent takes on the link.
func (c *Core) sendBytes(a *agent, l *liveJob) int {
	for i := range a.out.Orders {
		if a.out.Orders[i].Job == l.ID {
			return orderBytes
		}
	}
	return orderBytes + frameBytes + len(l.Spec)
}

// nextRun numbers a start. The number is higher than every earlier one of this entry,
// also where the job came before, and, by the time of day, than those of others.
func (c *Core) nextRun(l *liveJob) uint64 {
	c.lastRun = max(c.lastRun+1, uint64(max(c.o.Now().UnixMilli()-runEpochMs, 1)))
	return c.lastRun + l.runOffset
}

// patience returns how long a task may wait and be in time, and how long it may wait
// before it comes back. A job that can't be in time any more is finished late where
// part of its work is done, behind all that can still be in time.
func (c *Core) patience(l *liveJob, tailMs float64) (slackMs, giveUpMs float64) {
	callerMs := clock.Millis(l.Deadline.Sub(c.now)) - tailMs
	slackMs = clock.Millis(l.objective.Sub(c.now)) - tailMs
	if slackMs < -usualSlackMs {
		slackMs = clock.Millis(l.late.Sub(c.now)) - tailMs
	}
	return slackMs, max(0, min(slackMs+usualSlackMs, callerMs))
}

// worthPlacing reports whether a task that is placed again now is worth its work.
func (c *Core) worthPlacing(l *liveJob, t *task) bool {
	end := c.now.Add(l.tails[t.step])
	return end.Before(l.late) && end.Before(l.Deadline)
}

// overAfter is how long after the end of an agent's session what it ran is over at
// the latest: the lease ends, by a clock that may run 2 % slow, and the stop takes a
// moment.
func (c *Core) overAfter() time.Duration {
	return c.o.LeaseLimit + c.o.LeaseLimit/20 + 60*time.Millisecond
}
