package dispatch

import (
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/scheduler/peerchoice"
	"github.com/camphorrack/camphorrack/internal/scheduler/uplink"
)

// minLinkMs is the time on the link below which the link is not considered the reason for
// which a job is late: other parts of a prediction, such as the hops of up to 6 ms, are no
// more accurate. Most submissions so need no additional predictions.
const minLinkMs = 10

// Knows reports whether an ID is known: its job runs here, or its answer is kept, or runs of
// an earlier submission may not be over, or it was cancelled. Such a submission must not be handed over.
func (c *Core) Knows(now time.Time, id string) bool {
	return c.jobs.byID[id] != nil || c.cancelled.Has(now, id)
}

// Outlook returns what the core can do with a new job, for the decision whether it is handed
// over. It admits nothing and records nothing. The fields besides the reason are set only if
// there may be one.
func (c *Core) Outlook(now time.Time, j *Job, draining bool) peerchoice.Outlook {
	c.now = now
	o := peerchoice.Outlook{Draining: draining || c.draining, NoTarget: !c.reachesTarget(j.Queue.Service), BodyBytes: frameBytes + orderBytes + len(j.Spec)}
	o.OrderBytes = j.TaskCount() * o.BodyBytes
	waitMs := c.link.WaitMs(now)
	linkMayDelay := waitMs+c.link.TransmitMs(o.OrderBytes) >= minLinkMs
	if o.Reason() == peerchoice.None && !linkMayDelay {
		return o
	}
	expected := c.expected(j)
	paths, longestPath := expected.criticalPaths()
	objective := j.Queue.Objective(longestPath)
	o.SlackMs, o.LimitMs = clock.Millis(objective-longestPath), admitFactor*clock.Millis(objective)
	if o.Reason() != peerchoice.None {
		return o
	}
	l := &liveJob{Job: expected, submitted: j, arrived: now, criticalPaths: paths,
		objective: now.Add(objective), usefulUntil: now.Add(usefulFactor * objective)}
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			if len(j.Steps[s].DependsOn) == 0 {
				l.tasks = append(l.tasks, task{step: s, index: i, state: taskWaiting})
			}
		}
	}
	c.collectCandidates(l)
	endMs, fitsNow, f := c.predict(l)
	if f != nil {
		return o
	}
	link := c.link
	c.link = &uplink.Link{}
	c.collectCandidates(l)
	freeEndMs, _, _ := c.predict(l)
	c.link = link
	margin := time.Duration(0)
	if !fitsNow {
		margin = c.admissionMargin(l)
	}
	o.Link = peerchoice.Link{EndMs: endMs, FreeEndMs: freeEndMs, LimitMs: c.maxPredictedEndMs(l, margin), WaitMs: waitMs, BodyMs: link.TransmitMs(o.BodyBytes)}
	return o
}

// reachesTarget reports whether a target of the service can be reached. Targets in evacuated
// data centres count: a job that only they could run is refused for the evacuation.
func (c *Core) reachesTarget(service string) bool {
	return slices.ContainsFunc(c.agentsByAge, func(a *agent) bool { return a.usable() && a.target.Service == service })
}

// RecordHandover records the bytes that a submission to a peer and the answer to its caller
// take on the link.
func (c *Core) RecordHandover(now time.Time, o *peerchoice.Outlook) {
	c.link.Enqueue(now, o.BodyBytes+answerBytes)
}

// LinkWaitMs returns how long new data waits for the link, in milliseconds.
func (c *Core) LinkWaitMs(now time.Time) float64 { return c.link.WaitMs(now) }
