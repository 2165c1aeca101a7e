// Package headroom adapts how much earlier than its limit a job that must wait for room has to be
// predicted to end to be let in, by how many of those let in before came late.
//
// The load it answers: more work than targets, or the links to them, can carry. Predictions are
// made from what targets say of their queues. They miss what is on its way: orders of other
// entries, and frames that wait for a narrow link. In overload each prediction is too early by
// the same unknown time, every job is let in, and every job is late: callers wait, the work is
// done, and nobody is served.
//
// The margin rises with each job that comes late and falls with each that is in time, so that in
// balance a fixed part is late. While few are late it stays at zero and predictions count as they
// are. Without jobs that end nothing tells whether it is still needed, so it fades.
package headroom

import (
	"math"
	"time"
)

const (
	// lateShare is the part of the jobs let in that may come late in balance. Run times are
	// off by two fifths from what is known of them, so some are late without any queue.
	lateShare = 0.15
	// step is the gain of one end, as a part of the queue's usual objective.
	step = 0.02
	// mostShare bounds the margin, as a part of the objective: a job that finds an idle fleet
	// is always let in.
	mostShare = 0.6
	// halfLife is how fast a margin fades.
	halfLife = 3 * time.Second
)

// Margin is that of one queue. The zero Margin is none.
type Margin struct {
	// Priority is the queue's; 0 is the most urgent.
	Priority int

	part float64 // of an objective
	at   time.Time
}

// RecordOutcome takes a job of any queue that was let in, by its queue's priority: whether it was answered
// later than its objective, or given up for want of time. Late jobs make their own queue wait and
// the less urgent ones, which hold the room that they lack; a queue never waits for a less urgent
// one.
func (m *Margin) RecordOutcome(now time.Time, priority int, late bool) {
	m.fade(now)
	switch {
	case priority > m.Priority:
	case late:
		m.part = min(m.part+step*(1-lateShare), mostShare)
	default:
		m.part = max(m.part-step*lateShare, 0)
	}
}

// For returns the margin of a job with that objective.
func (m *Margin) For(now time.Time, objective time.Duration) time.Duration {
	m.fade(now)
	return time.Duration(m.part * float64(objective))
}

func (m *Margin) fade(now time.Time) {
	if !m.at.IsZero() && now.After(m.at) {
		m.part *= math.Exp2(-now.Sub(m.at).Seconds() / halfLife.Seconds())
	}
	m.at = now
}
