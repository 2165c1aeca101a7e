package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
	"github.com/camphorrack/camphorrack/internal/scheduler/placement"
	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
)

// queueAndPlacement returns the queueing and the placement policy that p stands for.
func (p Policy) queueAndPlacement() (queueing.Policy, placement.Policy) {
	switch p {
	case PolicyFCFS:
		return queueing.FCFS, placement.AnyFree
	case PolicyRandom:
		return queueing.FCFS, placement.Random
	case PolicyTwoChoices:
		return queueing.FCFS, placement.TwoChoices
	default:
		return queueing.LeastWork, placement.EarliestFinish
	}
}

// collectCandidates collects the usable agents as candidates for placement. It runs once for
// all jobs of a dispatch, and the slices are reused: placement is on the path of every task,
// and collecting the candidates costs more than choosing one.
func (c *Core) collectCandidates(now time.Time) {
	c.candidates, c.candidateAgents = c.candidates[:0], c.candidateAgents[:0]
	for _, a := range c.roster {
		if a.usable(now) {
			c.candidates = append(c.candidates, c.candidate(now, a))
			c.candidateAgents = append(c.candidateAgents, a)
		}
	}
}

// candidate returns the state of the agent's target for placement.
func (c *Core) candidate(now time.Time, a *agent) placement.Candidate {
	id := uint64(a.incarnation)
	return placement.Candidate{
		AgentID:     id,
		Classes:     a.target.Classes,
		Speed:       c.effectiveSpeed(now, a),
		Credits:     a.credits(),
		InFlight:    len(a.attempts),
		WaitMs:      a.creditInterval.WaitMs(now),
		Free:        a.target.Capacity.Sub(a.inUse),
		Rack:        a.rack,
		DataCentre:  a.dataCentre,
		Local:       a.dataCentre == c.options.DataCentre,
		MaxInFlight: c.health.MaxInFlight(id, now),
	}
}

// effectiveSpeed returns the speed that placement assumes for the agent's target: the
// measured one, or a lower one if the oldest running task takes much longer than estimated.
func (c *Core) effectiveSpeed(now time.Time, a *agent) float64 {
	measured := c.estimator.Speed(uint64(a.incarnation), a.target.Speed)
	oldest := a.oldestAttempt()
	if oldest == nil || measured <= 0 {
		return measured
	}
	return health.StragglerSpeed(measured, clock.Millis(now.Sub(oldest.sentAt)), oldest.estimateMs/measured)
}

// placementTask returns a task of the job in the form that placement takes.
func (c *Core) placementTask(now time.Time, l *liveJob, task int, slackMs float64) placement.Task {
	t := placement.Task{
		Class:       l.sub.Class,
		EstimateMs:  l.tasks[task].estimateMs,
		Demand:      l.sub.Tasks[task].Demand,
		SlackMs:     slackMs,
		ErrorFactor: c.estimator.ErrorFactor(l.sub.Class),
		DeadlineIn:  l.sub.ID.Deadline.Sub(now),
	}
	if l.sub.SpreadRacks {
		t.AvoidRacks = l.usedRacks()
	}
	return t
}

// slackMs returns the time from now until the last of the job's running tasks is expected to
// end; 0 if none runs.
func (l *liveJob) slackMs(now time.Time) float64 {
	last := now
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil && at.expectedEnd.After(last) {
			last = at.expectedEnd
		}
	}
	return clock.Millis(last.Sub(now))
}

// usedRacks returns the racks in which tasks of the job run.
func (l *liveJob) usedRacks() []string {
	var racks []string
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil {
			racks = append(racks, at.agent.rack)
		}
	}
	return racks
}
