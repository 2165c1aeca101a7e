// Package calibration corrects callers' estimates of run times for their random error.
//
// Estimates of the tasks of one queue are off at random, by two fifths and more. Small
// estimates are then usually too small and large ones too large, because an extreme
// estimate is more likely due to an error (regression to the mean).
//
// Uncorrected, a job with a small estimate gets an objective that is too early. Under load
// it is refused or returned as unable to meet its objective although it could, and it is
// ordered before jobs that have less time left. Callers see refusals while capacity is free.
//
// A linear regression of the logarithm of the run time on that of the estimate gives the
// reliability of the estimates. Only the slope is learned from run times; the mean is that
// of the estimates. Target speeds are measured against the same estimates, and with a
// learned mean the two corrections could drift away together.
//
// Package estimation solves another problem, for targets that declare a speed: classes
// whose estimates are off by a factor, and the actual speed of each target. Here the common
// level of estimates and measured speeds can't be determined, and is not corrected.
package calibration

import "math"

const (
	// windowTasks is the number of tasks over which the moving averages extend. With 300
	// tasks of one queue and errors of two fifths, the slope is accurate to a tenth.
	windowTasks = 300
	// priorTasks is the weight of the prior, as a number of tasks whose estimates were
	// exact.
	priorTasks = 30
	// priorVariance is the variance of the logarithms of the prior's estimates: they differ
	// from each other by half.
	priorVariance = 0.25
	// maxLogDeviation limits the logarithm of the ratio of a run time to the expected one. The
	// run time of a task that hung says nothing about other tasks.
	maxLogDeviation = 1.5
	// minMs is the lower limit of the times whose logarithm is taken, so that it is finite.
	minMs = 0.1
)

// Regression relates the estimates of one queue to the run times. The zero Regression leaves
// estimates as they are.
type Regression struct {
	meanLogEstimate      float64 // mean logarithm of all estimates
	estimateCount        float64 // number of estimates, up to windowTasks
	meanX, meanY         float64 // mean logarithms of estimate and run time of completed tasks
	variance, covariance float64 // of these logarithms: of the estimate, and of both
	runCount             float64 // number of completed tasks, up to windowTasks
}

// AddEstimate adds the estimate of a step of an arriving job.
func (r *Regression) AddEstimate(estimateMs float64) {
	r.estimateCount = min(r.estimateCount+1, windowTasks)
	r.meanLogEstimate += (logOf(estimateMs) - r.meanLogEstimate) / r.estimateCount
}

// AddRunTime adds a completed task: its estimate and its run time, converted to a target of
// speed 1. Values that are not positive are ignored.
func (r *Regression) AddRunTime(estimateMs, runMs float64) {
	if !(runMs > 0) || !(estimateMs > 0) {
		return
	}
	x, y := logOf(estimateMs), logOf(runMs)
	r.runCount = min(r.runCount+1, windowTasks)
	if r.runCount > 1 {
		expected := r.meanY + r.Reliability()*(x-r.meanX)
		y = min(max(y, expected-maxLogDeviation), expected+maxLogDeviation)
	}
	weight := 1 / r.runCount
	dx, dy := x-r.meanX, y-r.meanY
	r.meanX += weight * dx
	r.meanY += weight * dy
	r.variance += weight * (dx*(x-r.meanX) - r.variance)
	r.covariance += weight * (dx*(y-r.meanY) - r.covariance)
}

// Reliability returns the slope of the regression, from 0 to 1: the part of an estimate's
// deviation from the mean that the run time is expected to show.
func (r *Regression) Reliability() float64 {
	slope := (priorTasks*priorVariance + r.runCount*r.covariance) / (priorTasks*priorVariance + r.runCount*r.variance)
	return min(max(slope, 0), 1)
}

// ExpectedMs returns the expected run time, in milliseconds at speed 1, of a task with the
// given estimate.
func (r *Regression) ExpectedMs(estimateMs float64) float64 {
	if r.estimateCount == 0 || !(estimateMs > 0) {
		return estimateMs
	}
	return math.Exp(r.meanLogEstimate + r.Reliability()*(logOf(estimateMs)-r.meanLogEstimate))
}

func logOf(ms float64) float64 { return math.Log(max(ms, minMs)) }
