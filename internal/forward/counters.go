package forward

import "github.com/rcrowley/go-metrics"

// Counters count the hop's outcomes since the start of the process.
type Counters struct {
	Forwarded      metrics.Counter // requests passed on
	FailedCalls    metrics.Counter // calls without a whole reply in time
	Undecided      metrics.Counter
	OwnerGone      metrics.Counter
	OutcomeUnknown metrics.Counter
}

// NewCounters returns counters at zero.
func NewCounters() *Counters {
	return &Counters{
		Forwarded: metrics.NewCounter(), FailedCalls: metrics.NewCounter(), Undecided: metrics.NewCounter(),
		OwnerGone: metrics.NewCounter(), OutcomeUnknown: metrics.NewCounter(),
	}
}

// Register adds the counters to a registry.
func (c *Counters) Register(r metrics.Registry) error {
	for name, counter := range map[string]metrics.Counter{
		"forward.requests": c.Forwarded, "forward.lost": c.FailedCalls, "forward.undecided": c.Undecided,
		"forward.owner_gone": c.OwnerGone, "forward.outcome_unknown": c.OutcomeUnknown,
	} {
		if err := r.Register(name, counter); err != nil {
			return err
		}
	}
	return nil
}
