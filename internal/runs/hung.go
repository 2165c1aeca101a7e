package runs

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
)

// A target may hang some of its tasks while the others end normally. The normal ends show it as
// fast as ever, so it would continue to get work, and each hung task delays its job until the
// task is found overdue. The stop of such a task therefore counts as a slow end; like any end, it
// resets the avoidance period, so that an avoided target returns sooner.
const (
	// hungFactor is the multiple of its expected time that a stopped task must have run to count
	// as hung: less than what entries wait before they stop it, more than a typical task takes.
	hungFactor = 3
	// hungMargin is the additional time that it must have run, for tasks as short as a scheduling
	// delay of the host.
	hungMargin = 40 * time.Millisecond
)

// hung reports whether a stopped run had taken far longer than expected.
func (t *Table) hung(r *run) bool {
	if t.endTimesUncertain || r.startRetries > 0 || r.carried || r.stopCalledAt.IsZero() || r.order.EstimateMs <= 0 {
		return false // the times of its start and end are uncertain, or nothing is expected of it
	}
	expected := clock.FromMillis(hungFactor*t.health.steadyRatio*r.order.EstimateMs) + hungMargin
	return r.stopCalledAt.Sub(r.startedAt) > expected
}
