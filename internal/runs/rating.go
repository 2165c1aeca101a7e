package runs

import "time"

const (
	// speedWeight is the weight of one end in the measured speed. Estimates are off by
	// two fifths, alike for all tasks of a job: with a tenth, targets of one kind
	// seemed to differ by a quarter, and all work went to the seemingly fastest. The
	// first ends weigh more, since nothing is known then.
	speedWeight = 0.03
	// firstEnds is how many ends the speed of 1 that a target starts with is worth.
	firstEnds = 3
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
	speed      float64
	ends       int // that the speed was measured from
	failedRate float64
	avoidUntil time.Time
	pause      time.Duration
}

func newRating() rating { return rating{speed: 1} }

func (r *rating) done(estimateMs, ranMs float64) {
	r.failedRate -= failedWeight * r.failedRate
	r.pause = 0
	if estimateMs <= 0 || ranMs <= 0 {
		return
	}
	measured := min(max(estimateMs/ranMs, slowest), fastest)
	// The mean is taken of the time per estimate, so that a few ends that took long
	// weigh as much as they cost.
	r.ends++
	weight := max(speedWeight, 1/float64(firstEnds+r.ends))
	perEstimate := 1/r.speed + weight*(1/measured-1/r.speed)
	r.speed = 1 / perEstimate
}

func (r *rating) failed() { r.failedRate += failedWeight * (1 - r.failedRate) }

// turnedAway takes a start that the target did not take although it fits.
func (r *rating) turnedAway(now time.Time) {
	r.failed()
	r.pause = min(max(2*r.pause, avoidFor), avoidMost)
	r.avoidUntil = now.Add(r.pause)
}

// avoid reports whether nothing should be sent for a while.
func (r *rating) avoid(now time.Time) bool { return now.Before(r.avoidUntil) }
