package owner

import (
	"math"
	"time"

	"github.com/camphorrack/camphorrack/internal/config"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/admission"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
)

// operatorConfig is the part of the state that operators configure. Until they do, it holds
// the settings with which the process was started.
type operatorConfig struct {
	state      *config.State // nil: never configured
	maxJobs    int
	maxTimeout time.Duration
	admission  admission.Limits
	quotas     config.Settings
}

// Configure applies a configuration; it takes effect on the next decision. MaxJobs and
// MaxTimeout of the Options are upper bounds of what operators can set, because the memory
// of the host was planned with them.
func (c *Core) Configure(now time.Time, applied *config.Applied) {
	s := applied.Settings
	c.conf = operatorConfig{
		state:      applied.State,
		maxJobs:    min(c.options.MaxJobs, int(s.MaxJobs)),
		maxTimeout: min(c.options.MaxTimeout, millis(s.MaxDeadlineMs)),
		admission: admission.Limits{
			SoftQueue: millis(s.SoftQueueMs), HardQueue: millis(s.HardQueueMs),
			OvertakeFactor: float64(s.OvertakeFactorPercent) / 100,
		},
		quotas: s,
	}
	c.health.SetLimits(health.Limits{
		BrokenFailureRate:    float64(s.BrokenFailurePercent) / 100,
		InitialTrialInterval: millis(s.InitialTrialIntervalMs), MaxTrialInterval: millis(s.MaxTrialIntervalMs),
	})
	c.limiter.SetLimits(s.Quotas())
	c.limiter.SetDefault(int(s.DefaultQuota))
	for _, a := range c.roster {
		c.updateDrained(a)
	}
	c.dispatch(now)
}

// updateDrained updates from the configuration whether the agent's target is drained.
func (c *Core) updateDrained(a *agent) {
	if c.conf.state == nil {
		return
	}
	s := c.conf.state.Resolve(config.Location{DataCentre: a.dataCentre, Rack: a.rack, Target: a.target.Name})
	a.drained = s.Drain
}

// leaving reports whether the target gets no new tasks, because its agent announced that it
// is leaving or operators drained it.
func (a *agent) leaving() bool { return a.target.Leaving || a.drained }

// millis converts milliseconds to a duration; values that are too large become the longest
// duration in whole milliseconds.
func millis(n int64) time.Duration {
	return time.Duration(min(n, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// checkDeadline returns a fault if the deadline is further away than operators or the
// settings allow.
func (c *Core) checkDeadline(now time.Time, id job.ID) *fault.Fault {
	if id.Deadline.Sub(now) <= c.conf.maxTimeout {
		return nil
	}
	f := fault.Input(fault.DeadlineTooFar, "id", "the deadline is more than "+c.conf.maxTimeout.String()+" away")
	f.NotRun = false // a delayed copy can be accepted later, when the deadline is nearer
	return f
}
