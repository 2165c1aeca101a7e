package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
	"github.com/camphorrack/camphorrack/internal/scheduler/placement"
	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
)

// rules returns the queue's order and the placement that a policy stands for.
func (p Policy) rules() (queueing.Policy, placement.Policy) {
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

// view fills the candidates with the agents that can be used now. It is done once
// for all jobs of a dispatch, and the slices are kept: placement is on the path of
// every task, and building the view costs more than choosing from it.
func (c *Core) view(now time.Time) {
	c.candidates, c.viewed = c.candidates[:0], c.viewed[:0]
	for _, a := range c.roster {
		if a.usable(now) {
			c.candidates = append(c.candidates, c.candidate(now, a))
			c.viewed = append(c.viewed, a)
		}
	}
}

func (c *Core) candidate(now time.Time, a *agent) placement.Candidate {
	id := uint64(a.incarnation)
	return placement.Candidate{
		AgentID:     id,
		Classes:     a.target.Classes,
		Speed:       c.speed(now, a),
		Credits:     a.credits(),
		InFlight:    len(a.attempts),
		WaitMs:      a.gap.WaitMs(now),
		Free:        a.target.Capacity.Sub(a.inUse),
		Rack:        a.rack,
		DataCentre:  a.dataCentre,
		Local:       a.dataCentre == c.opts.DataCentre,
		MaxInFlight: c.health.MaxInFlight(id, now),
	}
}

// speed is the speed to reckon with: as measured, and lower where the oldest
// running task takes much longer than it should.
func (c *Core) speed(now time.Time, a *agent) float64 {
	measured := c.estimator.Speed(uint64(a.incarnation), a.target.Speed)
	oldest := a.oldest()
	if oldest == nil || measured <= 0 {
		return measured
	}
	return health.StragglerSpeed(measured, clock.Millis(now.Sub(oldest.sentAt)), oldest.estimateMs/measured)
}

func (c *Core) taskView(now time.Time, l *liveJob, task int, slackMs float64) placement.Task {
	t := placement.Task{
		Class:       l.sub.Class,
		EstimateMs:  l.tasks[task].estimateMs,
		Demand:      l.sub.Tasks[task].Demand,
		SlackMs:     slackMs,
		ErrorFactor: c.estimator.ErrorFactor(l.sub.Class),
		DeadlineIn:  l.sub.ID.Deadline.Sub(now),
	}
	if l.sub.SpreadRacks {
		t.AvoidRacks = l.racks()
	}
	return t
}

// slackMs is when the last of the job's running tasks is expected to end, from now.
func (l *liveJob) slackMs(now time.Time) float64 {
	last := now
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil && at.endsAt.After(last) {
			last = at.endsAt
		}
	}
	return clock.Millis(last.Sub(now))
}

// racks returns the racks in which tasks of the job run.
func (l *liveJob) racks() []string {
	var racks []string
	for i := range l.tasks {
		if at := l.tasks[i].attempt; at != nil {
			racks = append(racks, at.agent.rack)
		}
	}
	return racks
}
