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

// configured is the part of the blackboard that operators set. Until they have
// set anything it holds what the process was started with.
type configured struct {
	state      *config.State // nil: never configured
	maxJobs    int
	maxTimeout time.Duration
	admission  admission.Limits
	quotas     config.Settings
}

// Configure puts a configuration in force; it takes effect on the next decision.
// What an entry was started with (MaxJobs, MaxTimeout) bounds what operators set:
// the host's memory was reckoned with it.
func (c *Core) Configure(now time.Time, applied *config.Applied) {
	s := applied.Settings
	c.conf = configured{
		state:      applied.State,
		maxJobs:    min(c.opts.MaxJobs, int(s.MaxJobs)),
		maxTimeout: min(c.opts.MaxTimeout, millis(s.MaxDeadlineMs)),
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
		c.configureAgent(a)
	}
	c.dispatch(now)
}

// configureAgent looks up whether operators have drained the agent's target.
func (c *Core) configureAgent(a *agent) {
	if c.conf.state == nil {
		return
	}
	s := c.conf.state.Resolve(config.Location{DataCentre: a.dataCentre, Rack: a.rack, Target: a.target.Name})
	a.drained = s.Drain
}

// leaving reports whether the target gets no new work, by its own word or by the
// operators'.
func (a *agent) leaving() bool { return a.target.Leaving || a.drained }

func millis(n int64) time.Duration {
	return time.Duration(min(n, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// tooFar refuses a deadline beyond what operators or the settings allow.
func (c *Core) tooFar(now time.Time, id job.ID) *fault.Fault {
	if id.Deadline.Sub(now) <= c.conf.maxTimeout {
		return nil
	}
	f := fault.Input(fault.DeadlineTooFar, "id", "the deadline is more than "+c.conf.maxTimeout.String()+" away")
	f.NotRun = false // a delayed copy could still be accepted, when the deadline is nearer
	return f
}
