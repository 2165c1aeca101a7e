package owner

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
)

// choose picks the agent for a task, or nil where none fits now.
func (c *Core) choose(now time.Time, l *liveJob, task int) (*agent, string) {
	fitting := c.fitting(now, l, l.sub.Tasks[task].Demand)
	if len(fitting) == 0 {
		return nil, ""
	}
	switch c.opts.Policy {
	case PolicyRandom:
		return fitting[c.random.IntN(len(fitting))], "random"
	case PolicyTwoChoices:
		a, b := fitting[c.random.IntN(len(fitting))], fitting[c.random.IntN(len(fitting))]
		if len(b.attempts)*a.target.Slots < len(a.attempts)*b.target.Slots {
			a = b
		}
		return a, "less loaded of two"
	}
	best := fitting[0]
	for _, a := range fitting[1:] {
		if a.target.Speed > best.target.Speed || a.target.Speed == best.target.Speed && a.credits() > best.credits() {
			best = a
		}
	}
	return best, "fastest with a credit"
}

func (c *Core) fitting(now time.Time, l *liveJob, d job.Demand) []*agent {
	var fitting []*agent
	for _, a := range c.agents {
		room := c.opts.Policy.push() || a.credits() > 0
		if room && a.usable(now) && a.serves(l.sub.Class) && d.Fits(a.target.Capacity) {
			fitting = append(fitting, a)
		}
	}
	return fitting
}
