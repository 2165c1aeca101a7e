package runs

import "time"

const (
	// steadyWeight is the weight of one end in the steady speed. Estimates are off by two fifths,
	// in the same way for all tasks of a job: with a weight of a tenth, one target got 2,697
	// tasks on a day without faults and another of the same kind 33. The first ends weigh more,
	// since nothing is known then.
	steadyWeight = 0.03
	// priorEnds is the number of ends that the initial speed of 1 counts as.
	priorEnds = 3
	// recentWeight is the weight of one end in the recent speed, which is used where it differs
	// from the steady one by more than changedFactor: a target that becomes six times slower
	// shows it after a few ends, and errors of estimates alone seldom have that effect.
	recentWeight  = 0.2
	changedFactor = 1.6
	// idleRecoveryRate is the part of the difference to the usual speed that a target without
	// work recovers each second. A target rated slow gets no work and would stay rated slow
	// forever; the next tasks after the recovery measure its speed again.
	idleRecoveryRate = 0.6
	// failedWeight is the weight of one end in the rate of failures.
	failedWeight = 0.15
	// minSpeed and maxSpeed bound one measurement: estimates are off, and a task that hung says
	// nothing about the speed of the next one.
	minSpeed, maxSpeed = 0.05, 4
	// A target that rejects starts gets no work for minAvoidPeriod. The period doubles with each
	// probe that is rejected, too, up to maxAvoidPeriod.
	minAvoidPeriod = 200 * time.Millisecond
	maxAvoidPeriod = 1600 * time.Millisecond
)

// rating is the measured speed and failure rate of a target.
type rating struct {
	// Means of the run time divided by the estimate, the inverse of the speed: in such a mean,
	// long runs have a weight in proportion to their cost.
	steadyRatio, recentRatio float64
	ends                     int
	idleUpdatedAt            time.Time // last update without work; zero while tasks run
	failedRate               float64
	avoidUntil               time.Time
	avoidPeriod              time.Duration
}

func newRating() rating { return rating{steadyRatio: 1, recentRatio: 1} }

// speed returns the recent speed if it differs much from the steady one, else the steady speed.
func (r *rating) speed() float64 {
	if r.recentRatio > changedFactor*r.steadyRatio || r.steadyRatio > changedFactor*r.recentRatio {
		return 1 / r.recentRatio
	}
	return 1 / r.steadyRatio
}

// recordDone records the end of a run that is done or hung; ranMs is 0 where its run time is not
// known.
func (r *rating) recordDone(estimateMs, ranMs float64) {
	r.failedRate -= failedWeight * r.failedRate
	r.avoidPeriod = 0
	if estimateMs <= 0 || ranMs <= 0 {
		return
	}
	r.ends++
	ratio := 1 / min(max(estimateMs/ranMs, minSpeed), maxSpeed)
	r.steadyRatio += max(steadyWeight, 1/float64(priorEnds+r.ends)) * (ratio - r.steadyRatio)
	r.recentRatio += max(recentWeight, 1/float64(priorEnds+r.ends)) * (ratio - r.recentRatio)
}

// updateIdle has to be called periodically; it moves the speed of a target without work towards
// the usual one.
func (r *rating) updateIdle(now time.Time, idle bool) {
	if !idle {
		r.idleUpdatedAt = time.Time{}
		return
	}
	if r.idleUpdatedAt.IsZero() {
		r.idleUpdatedAt = now
		return
	}
	fraction := min(1, idleRecoveryRate*now.Sub(r.idleUpdatedAt).Seconds())
	r.idleUpdatedAt = now
	usualRatio := min(r.steadyRatio, 1)
	r.steadyRatio += fraction * (usualRatio - r.steadyRatio)
	r.recentRatio += fraction * (usualRatio - r.recentRatio)
}

func (r *rating) recordFailure() { r.failedRate += failedWeight * (1 - r.failedRate) }

// recordRejection records a start that the target rejected although it fits.
func (r *rating) recordRejection(now time.Time) {
	r.recordFailure()
	r.startAvoiding(now)
}

// startAvoiding keeps work away from the target for a period that doubles each time until a run
// is done.
func (r *rating) startAvoiding(now time.Time) {
	r.avoidPeriod = min(max(2*r.avoidPeriod, minAvoidPeriod), maxAvoidPeriod)
	r.avoidUntil = now.Add(r.avoidPeriod)
}

// avoided reports whether the target is to get no work now.
func (r *rating) avoided(now time.Time) bool { return now.Before(r.avoidUntil) }
