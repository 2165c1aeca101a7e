package runs

import "time"

const (
	// speedWeight is the weight of one end in the measured speed: ten ends, a fifth
	// of a second on a busy target, show a target that has become slow.
	speedWeight = 0.1
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
	perEstimate := 1/r.speed + speedWeight*(1/measured-1/r.speed)
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
