package dispatcher

import (
	"math"

	"github.com/camphorrack/camphorrack/internal/dispatch"
)

// maxQueueGauges is the number of queues that have gauges: those with the highest usage.
const maxQueueGauges = 16

// queueGaugePrefixes are the names of the gauges of a queue without the name of the queue.
var queueGaugePrefixes = [...]string{"dispatch.pressure_permille.", "dispatch.usage_permille.", "dispatch.refused."}

// updateQueues sets the gauges of the queues with the highest usage, and removes those of others.
func (c *counters) updateQueues(core *dispatch.Core) {
	shown := map[string]struct{}{}
	for _, s := range core.QueueStatuses(maxQueueGauges) {
		if _, repeated := shown[s.Queue]; repeated {
			continue // at another service, with less usage
		}
		shown[s.Queue] = struct{}{}
		for i, value := range [...]uint64{permille(s.Pressure), permille(s.Usage), s.Refused} {
			c.SetGauge(queueGaugePrefixes[i]+s.Queue, value)
		}
	}
	for queue := range c.queuesShown {
		if _, still := shown[queue]; still {
			continue
		}
		for _, prefix := range queueGaugePrefixes {
			c.Registry.Unregister(prefix + queue)
		}
	}
	c.queuesShown = shown
}

// permille returns a share in thousandths.
func permille(share float64) uint64 { return uint64(math.Round(1000 * max(share, 0))) }
