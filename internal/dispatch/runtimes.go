package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/scheduler/runtimes"
	"github.com/camphorrack/camphorrack/internal/wire"
)

const (
	// minRunTimeQueues limits the number of distributions while the configuration has fewer queues. One
	// takes 16 kB, and 8 kB more with summaries of agents.
	minRunTimeQueues = 64
	// revisionStep is the least relative growth of a job's estimate that revises it.
	revisionStep = 0.2
	// Summaries of agents are merged mergeInterval after a change at the earliest, and otherwise
	// every agingInterval, because they lose weight with their age.
	mergeInterval = time.Second
	agingInterval = 10 * time.Second
)

// reportedRunTimes is the newest summary of a queue that an agent has sent.
type reportedRunTimes struct {
	runtimes.Summary
	at time.Time
}

// runTimesState is what the entry knows about run times.
type runTimesState struct {
	queues        *runtimes.ByQueue[*runtimes.Distribution]
	limit         int  // of the queues; beyond it the least recently used one is dropped
	summariesNew  bool // a summary has arrived since the last merge
	summariesKept bool // an agent has sent a summary
	mergedAt      time.Time
}

func newRunTimesState() runTimesState {
	return runTimesState{queues: runtimes.NewByQueue[*runtimes.Distribution](minRunTimeQueues), limit: minRunTimeQueues}
}

// SetQueueCount sets the number of queues that the configuration has. With fewer distributions than queues
// in use, each would be dropped before it is used again.
func (c *Core) SetQueueCount(n int) {
	c.runTimes.limit = max(n, minRunTimeQueues)
	c.runTimes.queues.Resize(c.runTimes.limit)
}

// runTimesOf returns the distribution of a queue, and creates it if needed.
func (c *Core) runTimesOf(queue string) *runtimes.Distribution {
	d, known := c.runTimes.queues.Get(queue)
	if !known {
		d = runtimes.New()
		c.runTimes.queues.Add(queue, d)
	}
	return d
}

// expectedRun returns the expected run time of a task of a job on an agent's target.
func (c *Core) expectedRun(l *liveJob, t *task, a *agent) time.Duration {
	s := &l.Steps[t.step]
	runMs := clock.Millis(s.Estimate) / max(a.load.Speed, minSpeed)
	if s.DataRack != "" && !slices.Contains(a.target.Labels, s.DataRack) {
		runMs *= c.options.RemoteFactor
	}
	return clock.FromMillis(runMs)
}

// noteRunTime records the run time of a completed task: for the distribution of its queue, as
// evidence on the other runs of its job, and for the share of hung runs of its target.
func (c *Core) noteRunTime(at *attempt, out *wire.RunOutcome, a *agent) {
	if out.End != wire.EndDone {
		return
	}
	at.hungShareAt(a).Record(false)
	l, t := at.job, at.task
	if at.expectedRun <= 0 || !(out.RunMs > 0) {
		return
	}
	ratio := out.RunMs / clock.Millis(at.expectedRun) * at.level
	if ratio < runtimes.LongRatio || !runtimes.SlowTarget(ratio, l.completedRuns(a)) {
		c.runTimesOf(l.Queue.Name).Record(c.now, ratio)
	}
	t.doneRatio, t.doneOn = ratio, a.conn
	if l.answered {
		return
	}
	if ratio < runtimes.LongJobLevel {
		// Other runs past the limit are hung. A long completion is considered when the ratio of a
		// kept run has grown: judging all runs at each one took 3 ms a completion for a job of
		// 256 tasks.
		for i := range l.tasks {
			if other := l.tasks[i].attempt; other != nil {
				other.keepUntil = time.Time{}
			}
		}
	}
	if ratio >= runtimes.LongRatio {
		c.reviseByCompletions(l)
	}
}

// completedRuns returns the completed runs of a job; SameTarget refers to the target of agent a.
func (l *liveJob) completedRuns(a *agent) []runtimes.Completed {
	var completed []runtimes.Completed
	for i := range l.tasks {
		if t := &l.tasks[i]; t.doneRatio > 0 {
			completed = append(completed, runtimes.Completed{Ratio: t.doneRatio, SameTarget: t.doneOn == a.conn})
		}
	}
	return completed
}

// firstExpectedTime returns the expected time of an attempt by the first estimate of its job. Runs
// are judged by it, because an estimate that hung runs have raised is wrong, and would delay the
// stop of later ones.
func (at *attempt) firstExpectedTime() time.Duration {
	return at.expectedTime - time.Duration(float64(at.expectedRun)*(1-1/at.level))
}

// ratio returns the time of an attempt so far relative to its expected time, by the first
// estimate of its job. The margin of the usual limit is not part of it.
func (c *Core) ratio(at *attempt) float64 {
	return clock.Millis(c.now.Sub(at.placedAt)-overdueMargin) / max(clock.Millis(at.firstExpectedTime()), 1)
}

// keepRunning reports whether a run past the usual limit is more likely long than hung. It judges
// a run again only after its ratio has grown, another run of its job has ended at its usual time, or
// its target has started or stopped rejecting work.
func (c *Core) keepRunning(l *liveJob, at *attempt) bool {
	if c.now.Before(at.keepUntil) && at.keptRejecting == at.targetRejecting() {
		return true
	}
	e := runtimes.Evidence{
		Ratio: c.ratio(at), Completed: l.completedRuns(at.agent), AsLong: c.runsAsLong(l, at),
		HungShare: at.hungShareAt(at.agent).Value(), Rejecting: at.targetRejecting(), Distribution: c.runTimesOf(l.Queue.Name),
	}
	v := runtimes.Judge(e)
	if !v.Keep {
		c.noteHung(l, at, &e)
		return false
	}
	at.keepUntil = at.placedAt.Add(clock.FromMillis(v.AgainAt*clock.Millis(at.firstExpectedTime())) + overdueMargin)
	at.keptRejecting = at.targetRejecting()
	if !at.kept {
		at.kept = true
		c.counts.RunsKept++
		event.Log(c.log, event.RunKept, "job", l.ID, "queue", l.Queue.Name, "step", at.task.step, "task", at.task.index, "host", at.agent.host,
			"target", at.target, "reason", string(v.Reason), "ratio", e.Ratio, "completed", len(e.Completed), "as_long", len(e.AsLong),
			"hung_share", e.HungShare, "longer_share", e.Distribution.Survival(e.Ratio))
	}
	switch v.Reason {
	case runtimes.ReasonOthersLong:
		c.reviseByCompletions(l)
	case runtimes.ReasonOthersRunning:
		c.reviseEstimate(l, e.Ratio+e.Distribution.Remainder(e.Ratio))
	}
	return true
}

// noteHung records that a run is judged hung.
func (c *Core) noteHung(l *liveJob, at *attempt, e *runtimes.Evidence) {
	c.counts.RunsJudgedHung++
	at.hungShareAt(at.agent).Record(true)
	at.task.stoppedRatio, at.task.stoppedOn = e.Ratio, at.agent.conn
	if len(e.AsLong) > 0 && len(e.Completed) == 0 && !l.lengthRecorded {
		l.lengthRecorded = true
		e.Distribution.RecordAtLeast(c.now, e.Ratio)
	}
}

// runsAsLong returns the share of hung runs of each other target on which a run of the job has
// taken as long without an end. A target that rejects work is no evidence, and neither is an
// order that may still be queued at its agent.
func (c *Core) runsAsLong(l *liveJob, at *attempt) []float64 {
	var shares []float64
	ratio := c.ratio(at)
	for i := range l.tasks {
		t := &l.tasks[i]
		if t.stoppedRatio > 0 && t.stoppedOn != at.agent.conn && runtimes.AsLong(t.stoppedRatio, ratio) {
			share := 0.0
			if a := c.agents[t.stoppedOn]; a != nil {
				share = a.hungShare.Value()
			}
			shares = append(shares, share)
		}
		other := t.attempt
		if other == nil || other.agent == nil || other.agent == at.agent || !other.hadRoom || other.targetRejecting() {
			continue
		}
		if runtimes.AsLong(c.ratio(other), ratio) {
			shares = append(shares, other.hungShareAt(other.agent).Value())
		}
	}
	return shares
}

// reviseByCompletions revises the estimate of a job whose completed runs were long on several
// targets, or on one while a run on another target has taken as long.
func (c *Core) reviseByCompletions(l *liveJob) {
	level, count := runtimes.JobLevel(l.completedRuns(&agent{}))
	if count == 0 || level < runtimes.LongJobLevel {
		return
	}
	first := ConnID(0)
	for i := range l.tasks {
		t := &l.tasks[i]
		conn := t.doneOn
		if at := t.attempt; at != nil && at.agent != nil && at.hadRoom && runtimes.AsLong(c.ratio(at), level) {
			conn = at.agent.conn
		}
		switch {
		case conn == 0:
		case first == 0:
			first = conn
		case conn != first:
			c.reviseEstimate(l, level)
			return
		}
	}
}

// reviseEstimate raises the estimate of a job to a multiple of the first one. Run time is a
// property of the job, so that all its steps are revised. The objective follows, as its caller's
// does.
func (c *Core) reviseEstimate(l *liveJob, level float64) {
	if level < l.level*(1+revisionStep) {
		return
	}
	for i := range l.Steps {
		l.Steps[i].Estimate = clock.FromMillis(clock.Millis(l.Steps[i].Estimate) * level / l.level)
	}
	l.level = level
	paths, longestPath := l.Job.criticalPaths()
	objective := l.Queue.Objective(longestPath)
	l.criticalPaths = paths
	before := l.objective
	l.objective, l.usefulUntil = l.arrived.Add(objective), l.arrived.Add(usefulFactor*objective)
	c.counts.EstimatesRevised++
	event.Log(c.log, event.EstimateRevised, "job", l.ID, "queue", l.Queue.Name, "level", level, "after_ms", clock.Millis(c.now.Sub(l.arrived)),
		"objective_ms", clock.Millis(objective), "was_ms", clock.Millis(before.Sub(l.arrived)))
}

// receiveRunTimes stores the summaries of an agent. A malformed one is dropped.
func (c *Core) receiveRunTimes(a *agent, summaries []wire.RunTimes) {
	for i := range summaries[:min(len(summaries), wire.MaxRunTimes)] {
		s := &summaries[i]
		reported := reportedRunTimes{at: c.now}
		reported.Count, reported.Quantiles = s.Count, make([]float64, len(s.Quantiles))
		for k, q := range s.Quantiles {
			reported.Quantiles[k] = float64(q)
		}
		_, known := a.runTimes[s.Queue]
		if err := reported.Validate(); err != nil || s.Queue == "" || !known && len(a.runTimes) >= wire.MaxRunTimes {
			event.Log(c.log, event.BadFrame, "host", a.host, "queue", s.Queue, "dropped", "run_times", "count", s.Count, "queues", len(a.runTimes))
			continue
		}
		if a.runTimes == nil {
			a.runTimes = map[string]reportedRunTimes{}
		}
		a.runTimes[s.Queue] = reported
		c.runTimes.summariesNew, c.runTimes.summariesKept = true, true
	}
}

// mergeRunTimes merges the summaries of the agents into the distributions when it is due.
func (c *Core) mergeRunTimes() {
	since := c.now.Sub(c.runTimes.mergedAt)
	if !c.runTimes.summariesKept || since < mergeInterval || !c.runTimes.summariesNew && since < agingInterval {
		return
	}
	c.runTimes.mergedAt, c.runTimes.summariesNew, c.runTimes.summariesKept = c.now, false, false
	byQueue := map[string][]runtimes.AgedSummary{}
	for _, a := range c.agentsByAge {
		for queue, s := range a.runTimes {
			byQueue[queue] = append(byQueue[queue], runtimes.AgedSummary{Summary: s.Summary, Age: c.now.Sub(s.at)})
			c.runTimes.summariesKept = true
		}
	}
	for _, queue := range slices.Sorted(maps.Keys(byQueue)) {
		if c.runTimes.queues.Contains(queue) || c.runTimes.queues.Len() < c.runTimes.limit {
			c.runTimesOf(queue).SetMerged(byQueue[queue])
		}
	}
	for _, queue := range c.runTimes.queues.Keys() {
		if d, _ := c.runTimes.queues.Peek(queue); byQueue[queue] == nil {
			d.SetMerged(nil)
		}
	}
}
