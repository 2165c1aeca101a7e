package runs

import "time"

const (
	// steadyWeight is the weight of one end in the steady speed. Estimates are off by
	// two fifths, alike for all tasks of a job: with a tenth, one target of a kind
	// got 2,697 tasks of a calm day and another 33. The first ends weigh more, since
	// nothing is known then.
	steadyWeight = 0.03
	// firstEnds is how many ends the speed of 1 that a target starts with is worth.
	firstEnds = 3
	// recentWeight is the weight of one end in the recent speed, which counts where it
	// differs from the steady one by more than changedFactor: a target that becomes
	// six times slower shows so after some ends, and estimates alone seldom do that.
	recentWeight  = 0.2
	changedFactor = 1.6
	// idleReturn is the part of its way back to the usual speed that a target without
	// work is given each second. One that was found slow gets no work, and would be
	// found slow for ever: its next tasks tell.
	idleReturn = 0.6
	// failedWeight is the same for the rate of failures.
	failedWeight = 0.15
	// slowest and fastest bound one measurement: estimates are off, and a task that
	// hung says nothing about how fast the next one will be.
	slowest, fastest = 0.05, 4
	// avoidFor keeps work away from a target that turns starts away. It grows with
	// each probe that is turned away too, up to avoidMost.
	avoidFor  = 200 * time.Millisecond
	avoidMost = 1600 * time.Millisecond
)

// rating is what ends tell about a target.
type rating struct {
	// Times per estimate, the inverse of the speed: their means weigh long ends as much
	// as those cost.
	steady, recent float64
	ends           int
	idleSince      time.Time // zero while tasks run
	failedRate     float64
	avoidUntil     time.Time
	pause          time.Duration
}

func newRating() rating { return rating{steady: 1, recent: 1} }

// speed returns the speed to reckon with.
func (r *rating) speed() float64 {
	if r.recent > changedFactor*r.steady || r.steady > changedFactor*r.recent {
		return 1 / r.recent
	}
	return 1 / r.steady
}

// done takes an end; ranMs is 0 where it is not known when it came.
func (r *rating) done(estimateMs, ranMs float64) {
	r.failedRate -= failedWeight * r.failedRate
	r.pause = 0
	if estimateMs <= 0 || ranMs <= 0 {
		return
	}
	r.ends++
	perEstimate := 1 / min(max(estimateMs/ranMs, slowest), fastest)
	r.steady += max(steadyWeight, 1/float64(firstEnds+r.ends)) * (perEstimate - r.steady)
	r.recent += max(recentWeight, 1/float64(firstEnds+r.ends)) * (perEstimate - r.recent)
}

// idle tells, from time to time, whether the target is without work.
func (r *rating) idle(now time.Time, idle bool) {
	if !idle {
		r.idleSince = time.Time{}
		return
	}
	if r.idleSince.IsZero() {
		r.idleSince = now
		return
	}
	part := min(1, idleReturn*now.Sub(r.idleSince).Seconds())
	r.idleSince = now
	usual := min(r.steady, 1)
	r.steady += part * (usual - r.steady)
	r.recent += part * (usual - r.recent)
}

func (r *rating) failed() { r.failedRate += failedWeight * (1 - r.failedRate) }

// turnedAway takes a start that the target did not take although it fits.
func (r *rating) turnedAway(now time.Time) {
	r.failed()
	r.shun(now)
}

// shun keeps work away for a while.
func (r *rating) shun(now time.Time) {
	r.pause = min(max(2*r.pause, avoidFor), avoidMost)
	r.avoidUntil = now.Add(r.pause)
}

// avoid reports whether nothing should be sent for a while.
func (r *rating) avoid(now time.Time) bool { return now.Before(r.avoidUntil) }
