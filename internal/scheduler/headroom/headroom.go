// Package headroom adapts the safety margin of admission to the share of admitted jobs that are
// late. A job that has to wait for capacity is admitted only if its predicted end is earlier than
// its limit by the margin.
//
// Predictions are based on the queues that targets report. They don't include data in transit:
// orders of other entries, and frames that wait for a narrow link. When the load exceeds the
// capacity of the targets or of the links to them, each prediction is too early by the same
// unknown time. Without a margin, every job would be admitted and every job would be late: the work
// is done, but no caller is served in time.
//
// The margin increases with each job that is late and decreases with each that is in time, so that
// in equilibrium a fixed share is late. While few jobs are late it stays at zero and does not affect
// predictions. Without job outcomes there is no evidence that it is still needed, so it decays.
package headroom

import (
	"math"
	"time"
)

const (
	// targetLateShare is the share of admitted jobs that are late in equilibrium. Run times differ
	// by two fifths from their estimates, so some jobs are late even without any queue.
	targetLateShare = 0.15
	// gain is the step per outcome of the controller, as a share of the objective.
	gain = 0.02
	// maxShare bounds the margin, as a share of the objective, so that a job that finds an idle
	// fleet is always admitted.
	maxShare = 0.6
	// halfLife is the time in which a margin decays by half.
	halfLife = 3 * time.Second
)

// Margin is the safety margin of one queue. The zero Margin is zero.
type Margin struct {
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority int

	share   float64 // margin as a share of the objective
	updated time.Time
}

// RecordOutcome records the outcome of an admitted job of any queue, given the priority of that
// queue. A job is late if it was answered after its objective, or given up for lack of time. Late
// jobs increase the margins of their own queue and of less urgent ones, whose jobs use the capacity
// that they lack. The outcomes of queues less urgent than the margin's own are ignored: a queue
// never waits for a less urgent one.
func (m *Margin) RecordOutcome(now time.Time, priority int, late bool) {
	m.decay(now)
	switch {
	case priority > m.Priority:
	case late:
		m.share = min(m.share+gain*(1-targetLateShare), maxShare)
	default:
		m.share = max(m.share-gain*targetLateShare, 0)
	}
}

// For returns the margin of a job with the given objective.
func (m *Margin) For(now time.Time, objective time.Duration) time.Duration {
	m.decay(now)
	return time.Duration(m.share * float64(objective))
}

// decay reduces the margin for the time since the last update.
func (m *Margin) decay(now time.Time) {
	if !m.updated.IsZero() && now.After(m.updated) {
		m.share *= math.Exp2(-now.Sub(m.updated).Seconds() / halfLife.Seconds())
	}
	m.updated = now
}
