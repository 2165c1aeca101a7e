// Package calibration corrects callers' estimates of run times by how far they were
// right before.
//
// The load it answers: tasks of one queue, whose estimates are off at random, by two
// fifths and more. Of such estimates the small ones are too small as a rule and the large
// ones too large, because an error is the likelier reason for an extreme one.
//
// What goes wrong without it: a job with a small estimate is thought to be wanted sooner
// than it is. Under load it is turned away or given back as hopeless while it could have
// been in time, and it goes before others that have less time. Callers notice refusals
// while there is room.
//
// Why this works: a straight line between the logarithms of estimate and run time says
// how much of an estimate is to be believed. Its slope is learned from ends; its middle
// stays where the estimates are, so that correcting estimates by run times, and speeds by
// estimates, can't drive each other away together.
//
// Package estimation learns another thing, for targets that declare a speed: whole classes
// that are off by a factor, and how fast each target really is. Here speeds are measured
// at the targets, by the same estimates, so the level of both together can't be known and
// must be left alone.
package calibration

import "math"

const (
	// memory is over how many tasks the line forgets. The slope of 300 tasks of one
	// queue with errors of two fifths is right within a tenth.
	memory = 300
	// believed is how many tasks of doubt a line starts with: that many for which the
	// estimate was right.
	believed = 30
	// usualVariance is the variance of the logarithms of those: estimates differ by
	// half from each other.
	usualVariance = 0.25
	// mostSurprise bounds the logarithm of one run time over the expected one. A task that
	// hung says nothing about how long such tasks take.
	mostSurprise = 1.5
	// leastMs keeps logarithms finite.
	leastMs = 0.1
)

// Regression is what is known of the estimates of one queue. The zero Regression believes them.
type Regression struct {
	middle              float64 // mean logarithm of the estimates that came
	came                float64 // how many, up to memory
	meanX, meanY        float64 // of those that ended: estimate, run time
	variance, covariant float64
	ended               float64 // how many, up to memory
}

// AddEstimate takes the estimate of a step that came in.
func (l *Regression) AddEstimate(estimateMs float64) {
	l.came = min(l.came+1, memory)
	l.middle += (logOf(estimateMs) - l.middle) / l.came
}

// AddRunTime takes how long a task took, at a target of speed 1.
func (l *Regression) AddRunTime(estimateMs, tookMs float64) {
	if !(tookMs > 0) || !(estimateMs > 0) {
		return
	}
	x, y := logOf(estimateMs), logOf(tookMs)
	l.ended = min(l.ended+1, memory)
	if l.ended > 1 {
		expected := l.meanY + l.Reliability()*(x-l.meanX)
		y = min(max(y, expected-mostSurprise), expected+mostSurprise)
	}
	weight := 1 / l.ended
	dx, dy := x-l.meanX, y-l.meanY
	l.meanX += weight * dx
	l.meanY += weight * dy
	l.variance += weight * (dx*(x-l.meanX) - l.variance)
	l.covariant += weight * (dx*(y-l.meanY) - l.covariant)
}

// Reliability returns how much of an estimate's distance from the usual one is to be believed,
// from 0 to 1.
func (l *Regression) Reliability() float64 {
	slope := (believed*usualVariance + l.ended*l.covariant) / (believed*usualVariance + l.ended*l.variance)
	return min(max(slope, 0), 1)
}

// ExpectedMs returns how long a task of that estimate is expected to take.
func (l *Regression) ExpectedMs(estimateMs float64) float64 {
	if l.came == 0 || !(estimateMs > 0) {
		return estimateMs
	}
	return math.Exp(l.middle + l.Reliability()*(logOf(estimateMs)-l.middle))
}

func logOf(ms float64) float64 { return math.Log(max(ms, leastMs)) }
