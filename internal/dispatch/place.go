package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/scheduler/earliest"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// frameBytes is the size on the link of a frame without orders and specs, orderBytes
	// that of an order without its spec, and answerBytes that of an answer to a caller.
	frameBytes, orderBytes, answerBytes = 120, 80, 300
	// runEpochMs is the Unix time in milliseconds at which run numbers start: the start
	// of 2026.
	runEpochMs = 1767225600000
	// staleRunStep is added to a job's run numbers after a target rejected one as lower
	// than an earlier one. The clocks of hosts may differ by some seconds.
	staleRunStep = 10_000
	// localHopMs and remoteHopMs are the round trip times to an agent in the same and in
	// another data centre, including the wake-up of both processes.
	localHopMs, remoteHopMs = 3, 6
	// minSpeed keeps predictions finite for a target on which no task makes progress.
	minSpeed = 0.02
	// slackToleranceMs is how long a task may wait beyond its slack before its agent
	// returns it unstarted. It allows for the rough estimate behind the slack. A longer
	// time would give capacity to tasks that are late anyway.
	slackToleranceMs = 10
	// maxCrowdedReturns is how often a task may be returned because it would wait longer
	// than predicted. That happens because other entries send work to the same target at
	// the same time, and because the target is chosen by a load report that is some
	// milliseconds old. After two such returns all targets are presumably full, and each
	// further move would only cost hops.
	maxCrowdedReturns = 2
)

// usable reports whether the agent has a target that accepts new orders and a session that delivers them.
func (a *agent) usable() bool {
	return a.target != nil && !a.replaced && !a.load.Leaving && !a.load.Down && !a.load.Rejecting
}

// collectCandidates rebuilds candidates and candidateAgents from the usable agents of the
// job's service. It returns how many it left out because their data centre is evacuated.
func (c *Core) collectCandidates(l *liveJob) (evacuated int) {
	c.candidates, c.candidateAgents = c.candidates[:0], c.candidateAgents[:0]
	linkWaitMs, bodyTransmitMs := c.link.WaitMs(c.now), c.link.TransmitMs(frameBytes+len(l.Spec))
	for _, a := range c.agentsByAge {
		if !a.usable() || a.target.Service != l.Queue.Service {
			continue
		}
		if _, isEvacuated := c.evacuated[a.targetDataCentre()]; isEvacuated {
			evacuated++
			continue
		}
		c.candidateAgents = append(c.candidateAgents, a)
		cand := c.candidate(a, l)
		cand.RoundTripMs, cand.BodyTransmitMs = cand.RoundTripMs+linkWaitMs, bodyTransmitMs
		c.candidates = append(c.candidates, cand)
	}
	return evacuated
}

// targetDataCentre returns the data centre of the agent's target; by default it is the
// agent's own.
func (a *agent) targetDataCentre() string { return cmp.Or(a.target.DataCentre, a.dataCentre) }

// candidate describes the agent's target for a placement: its newest load, less the orders
// that this load does not include yet.
func (c *Core) candidate(a *agent, l *liveJob) earliest.Candidate {
	roundTripMs := float64(remoteHopMs)
	if a.dataCentre == c.options.DataCentre {
		roundTripMs = localHopMs
	}
	slack := clock.Millis(l.objective.Sub(c.now)) - clock.Millis(l.criticalPaths[0])
	cand := earliest.Candidate{
		Free: a.load.Free, Total: a.target.Capacity, WaitMs: a.load.WaitMs[horizonIndex(slack)],
		Speed: max(a.load.Speed, minSpeed), RoundTripMs: roundTripMs, FailureRate: a.load.FailureRate,
	}
	for i := range a.uncounted {
		a.uncounted[i].count(&cand)
	}
	cand.JobTasks = 0
	return cand
}

// horizonIndex returns the index in wire.SlackHorizonsMs of the wait prediction for a task with
// that slack.
func horizonIndex(slackMs float64) int {
	for i, h := range wire.SlackHorizonsMs {
		if slackMs <= h {
			return i
		}
	}
	return len(wire.SlackHorizonsMs) - 1
}

// placementTask describes a task for a placement. The functions in the result refer to
// candidateAgents by index, so they are valid until the next collectCandidates.
func (c *Core) placementTask(l *liveJob, t *task) earliest.Task {
	s := &l.Steps[t.step]
	request := earliest.Task{
		Demand: s.Demand, EstimateMs: clock.Millis(s.Estimate), RemainingMs: c.remainingMs(l, t),
		MaxPerTarget: s.MaxPerTarget, RemoteFactor: c.options.RemoteFactor,
	}
	if s.Label != "" || len(t.failedAt) > 0 {
		request.Fits = func(i int) bool {
			a := c.candidateAgents[i]
			return !slices.Contains(t.failedAt, a.conn) && (s.Label == "" || slices.Contains(a.target.Labels, s.Label))
		}
	}
	if s.DataRack != "" {
		request.IsLocal = func(i int) bool { return slices.Contains(c.candidateAgents[i].target.Labels, s.DataRack) }
	}
	return request
}

// remainingMs returns the time from now, in milliseconds, by which the task must end so that
// its job meets the objective. If that time is past, it returns the time by which the
// answer still has some value.
func (c *Core) remainingMs(l *liveJob, t *task) float64 {
	following := l.criticalPaths[t.step] - l.Steps[t.step].Estimate
	left := l.objective.Sub(c.now) - following
	if left <= 0 {
		left = l.usefulUntil.Sub(c.now) - following
	}
	return clock.Millis(left)
}

// placeWaitingTasks sends an order for each waiting task of the job, or reservations. It gives the
// job up if no target can take one of them.
func (c *Core) placeWaitingTasks(l *liveJob) {
	if c.endIfCrashLoop(l) {
		return
	}
	c.collectCandidates(l)
	c.countOpenTasks(l)
	placed, runNumbers := make([]string, 0, 8), make([]string, 0, 8)
	var reserved []string
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		request := c.placementTask(l, t)
		choice := earliest.Choose(request, c.candidates)
		if choice.Index == earliest.None && len(t.failedAt) > 0 {
			// No other target is available: retry on one where the task has failed.
			t.failedAt = nil
			request = c.placementTask(l, t)
			choice = earliest.Choose(request, c.candidates)
		}
		if choice.Index == earliest.None {
			c.giveUp(l, fault.New(fault.Overloaded, "no target can take a task of it now"))
			return
		}
		if line := c.reserve(l, t, request, choice); line != "" {
			reserved = append(reserved, line)
			continue
		}
		c.candidates[choice.Index].Reserve(request, choice.Index)
		a := c.candidateAgents[choice.Index]
		c.sendOrder(l, t, a, request, choice)
		placed = append(placed, strconv.Itoa(t.step)+"."+strconv.Itoa(t.index)+"@"+a.host)
		runNumbers = append(runNumbers, strconv.FormatUint(t.attempt.run, 10))
	}
	if len(placed) > 0 {
		event.Log(c.log, event.TaskPlaced, "job", l.ID, "queue", l.Queue.Name, "tasks", strings.Join(placed, " "), "runs", strings.Join(runNumbers, " "),
			"left_ms", clock.Millis(l.objective.Sub(c.now)), "oldest_load_ms", c.maxLoadAgeMs())
	}
	if len(reserved) > 0 {
		event.Log(c.log, event.TaskReserved, "job", l.ID, "queue", l.Queue.Name, "tasks", strings.Join(reserved, " "),
			"left_ms", clock.Millis(l.objective.Sub(c.now)), "oldest_load_ms", c.maxLoadAgeMs())
	}
}

// countOpenTasks adds the job's open tasks, of all steps, to the candidates, for the limit of
// tasks per target.
func (c *Core) countOpenTasks(l *liveJob) {
	for i := range l.tasks {
		at := l.tasks[i].attempt
		if at == nil || at.agent == nil {
			continue
		}
		if k := slices.Index(c.candidateAgents, at.agent); k >= 0 {
			c.candidates[k].JobTasks++
		}
	}
}

// sendOrder queues an order for the task to the chosen agent and records the attempt.
func (c *Core) sendOrder(l *liveJob, t *task, a *agent, request earliest.Task, choice earliest.Choice) {
	s := &l.Steps[t.step]
	a.nextSeq++
	at := &attempt{seq: a.nextSeq, run: c.nextRunNumber(l), agent: a, target: a.targetName(), job: l, task: t, placedAt: c.now,
		expectedTime: clock.FromMillis(choice.EndMs), expectedRun: c.expectedRun(l, t, a), level: l.level, hadRoom: choice.FitsNow}
	c.link.Enqueue(c.now, c.orderBytesOnLink(a, l))
	t.state, t.attempt = taskPlaced, at
	a.attempts[at.seq] = at
	l.openAttempts++
	c.counts.Orders++
	a.uncounted = append(a.uncounted, uncountedOrder{seq: at.seq, task: earliest.Task{Demand: request.Demand, EstimateMs: request.EstimateMs}, index: choice.Index})

	pathMs := clock.Millis(l.criticalPaths[t.step]) / max(a.load.Speed, minSpeed)
	slackMs, giveUpMs := c.waitLimits(l, pathMs)
	order := wire.Order{
		Seq: at.seq, Job: l.ID, Step: t.step, Index: t.index, RunNumber: at.run, Spec: l.Spec,
		Demand: s.Demand, EstimateMs: clock.Millis(s.Estimate),
		SlackMs: int64(slackMs), MaxWaitMs: int64(giveUpMs), TimeoutMs: l.Deadline.Sub(c.now).Milliseconds(),
		Movable: t.crowdedReturns < maxCrowdedReturns, ExpectedWaitMs: choice.StartMs, IgnoresCapacity: !l.Queue.EnforcesCapacity,
	}
	if a.features >= wire.DescribedFeatures {
		order.Description = a.target.Number
	}
	if a.features >= wire.ExtendedFeatures {
		order.Queue, order.Priority = l.Queue.Name, l.Queue.Priority
	}
	a.outgoing.Orders = append(a.outgoing.Orders, order)
	a.hasOutgoing = true
}

// orderBytesOnLink returns the bytes that one more order of the job adds to the agent's next
// frame. A frame contains the spec of a job only once.
func (c *Core) orderBytesOnLink(a *agent, l *liveJob) int {
	for i := range a.outgoing.Orders {
		if a.outgoing.Orders[i].Job == l.ID {
			return orderBytes
		}
	}
	return orderBytes + frameBytes + len(l.Spec)
}

// nextRunNumber returns the run number of a new start. Apart from runOffset, it is higher than
// every earlier one of this entry, including those of earlier submissions of the job. Because
// it follows the time of day, it is also higher than those of other entries whose clocks
// agree.
func (c *Core) nextRunNumber(l *liveJob) uint64 {
	c.lastRun = max(c.lastRun+1, uint64(max(c.options.Now().UnixMilli()-runEpochMs, 1)))
	return c.lastRun + l.runOffset
}

// waitLimits returns how long a task may wait and still be in time, and how long it may
// wait before its agent returns it, both in milliseconds. pathMs is the time from the
// start of the task to the end of the job. A job that can no longer meet its objective
// gets the slack up to usefulUntil instead: if part of its work is done it is finished
// late, after all tasks that can still be in time.
func (c *Core) waitLimits(l *liveJob, pathMs float64) (slackMs, giveUpMs float64) {
	callerMs := clock.Millis(l.Deadline.Sub(c.now)) - pathMs
	slackMs = clock.Millis(l.objective.Sub(c.now)) - pathMs
	if slackMs < -slackToleranceMs {
		slackMs = clock.Millis(l.usefulUntil.Sub(c.now)) - pathMs
	}
	return slackMs, max(0, min(slackMs+slackToleranceMs, callerMs))
}

// worthPlacing reports whether a job whose task is placed again now can still end before
// its deadline and while its answer has some value.
func (c *Core) worthPlacing(l *liveJob, t *task) bool {
	end := c.now.Add(l.criticalPaths[t.step])
	return end.Before(l.usefulUntil) && end.Before(l.Deadline)
}
