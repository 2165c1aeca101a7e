package fairshare

import (
	"math"
	"time"
)

// Margin returns how much earlier than its limit a job that has to wait must be predicted to end.
// The slack is how long the start of the job may be delayed for it to meet its objective. The result
// is meaningful only if the fleet is known.
func (f *Fleet) Margin(now time.Time, name string, slack time.Duration) time.Duration {
	f.refresh(now)
	q := f.queues[name]
	if q == nil {
		return 0
	}
	own := min(q.Margin, maxUnderShareMargin)
	share := own + q.over*max(f.fleetMargin(q)-own, 0)
	return time.Duration(share * float64(max(slack, 0)))
}

// Hold reports whether a job that would be admitted is refused, because its queue is above its share
// and another one is below its own and late. A margin has no effect on jobs that start at once: a
// queue of long tasks would take each core that becomes free, and leave none to others. The part of
// jobs that are held rises with the excess and the margin of the other queue.
func (f *Fleet) Hold(now time.Time, name string) bool {
	f.refresh(now)
	q := f.queues[name]
	if q == nil || q.excess <= 0 {
		return false
	}
	lack := 0.0
	for _, other := range f.ordered {
		if other != q && other.Usage < underShare*other.guaranteed {
			lack = max(lack, other.Margin/maxMargin)
		}
	}
	q.credit += 1 - min(q.excess/holdExcess, 1)*lack
	if q.credit >= 1 {
		q.credit--
		return false
	}
	return true
}

// fleetMargin returns the margin that the pressure of the fleet calls for on a queue above its
// share: the sum of the margins of the queues that are as urgent, whose tasks overtake its own, and
// of those that lack a part of their own share.
func (f *Fleet) fleetMargin(q *queue) float64 {
	margin := 0.0
	for _, other := range f.ordered {
		if other.priority <= q.priority || other.Usage < underShare*other.guaranteed {
			margin += other.Margin
		}
	}
	return min(margin, maxMargin)
}

// refresh computes shares and margins if a report has changed or time has passed.
func (f *Fleet) refresh(now time.Time) {
	elapsed := now.Sub(f.refreshedAt)
	if !f.changed && elapsed < refreshInterval {
		return
	}
	f.changed = false
	f.refreshedAt = now
	capacity := float64(f.reportingMilli)
	busy := 0.0 // factor of margins: 0 with free capacity, 1 without
	if capacity > 0 {
		load := float64(f.inUseMilli+f.queuedMilli) / capacity
		busy = min(max((load-idleLoad)/(busyLoad-idleLoad), 0), 1)
	}
	settling := now.Sub(f.since) <= settleTime
	for _, q := range f.ordered {
		q.update(now, capacity)
	}
	f.share()
	for _, q := range f.ordered {
		q.follow(busy, elapsed, settling)
	}
}

// update computes pressure, usage and demand from the sums.
func (q *queue) update(now time.Time, capacity float64) {
	q.Pressure, q.Usage, q.demand = 0, 0, 0
	if q.tasks > 0 {
		q.Pressure = float64(q.lateTasks) / float64(q.tasks)
	}
	if capacity <= 0 {
		return
	}
	q.Usage = float64(q.inUseMilli) / capacity
	q.demand = float64(q.inUseMilli+q.queuedMilli) / capacity / max(q.outcomes.Rate(now), minAdmissionRate)
}

// follow moves the margin of a queue towards the one that its pressure calls for, and its place
// under or over its share towards the one that its usage calls for.
func (q *queue) follow(busy float64, elapsed time.Duration, settling bool) {
	margin := busy * min(max(marginPerLateShare*(q.Pressure-usualLateShare), 0), maxMargin)
	over, excess := 0.0, -1.0
	if q.Share > 0 {
		over = min(max((q.Usage/q.Share-underShare)/(overShare-underShare), 0), 1)
		excess = min(q.Usage/q.Share-1, 1)
	}
	if settling {
		q.Margin, q.over, q.excess = margin, over, excess
		return
	}
	if busy == 0 {
		q.Margin = 0 // a margin of an earlier overload would refuse jobs for which there is room
	}
	q.Margin += (margin - q.Margin) * part(elapsed, marginTime)
	q.over += (over - q.over) * part(elapsed, overTime)
	q.excess += (excess - q.excess) * part(elapsed, holdTime)
}

// part returns the part of a step that a first-order filter with the time constant makes.
func part(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// share computes the share of each queue: its guaranteed part, and what it borrows of the parts that
// others don't need. Capacity that nobody needs is added to the shares in proportion.
func (f *Fleet) share() {
	weights := 0.0
	for _, q := range f.ordered {
		if q.demand > 0 {
			weights += q.weight
		}
	}
	spare := 1.0
	for _, q := range f.ordered {
		q.guaranteed, q.Share = 0, 0
		if q.demand > 0 {
			q.guaranteed = q.weight / weights
			q.Share = min(q.demand, q.guaranteed)
			spare -= q.Share
		}
	}
	for _, q := range f.ordered {
		if q.demand > q.guaranteed {
			borrowed := min(q.demand-q.guaranteed, max(spare, 0))
			q.Share += borrowed
			spare -= borrowed
		}
	}
	for _, q := range f.ordered {
		q.Share = max(q.Share, q.guaranteed) // what it lends is its own again when it needs it
		if spare > 0 && weights > 0 && q.demand > 0 {
			q.Share += spare * q.weight / weights
		}
	}
}
