package forward

import "github.com/rcrowley/go-metrics"

// Counters count forwarded requests and their outcomes since the start of the process.
type Counters struct {
	Forwarded      metrics.Counter // requests forwarded to their owner
	FailedCalls    metrics.Counter // calls without a valid and complete reply
	Undecided      metrics.Counter // requests answered with fault.Undecided
	OwnerGone      metrics.Counter // requests answered with fault.OwnerGone
	OutcomeUnknown metrics.Counter // requests answered with fault.OutcomeUnknown
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
