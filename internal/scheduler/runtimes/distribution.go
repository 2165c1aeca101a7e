// Package runtimes learns how long runs take compared with their expected run time, and tells a
// long run from a hung one.
//
// It addresses a load with a tail of run times: 3 jobs in 100 take seven times their estimate,
// and run time is a property of the job, so that all tasks of such a job are long on every
// target. With a fixed limit of four times the expected time, 65 sound runs were stopped on a calm
// day, 204 core-seconds were wasted, and 12 jobs were given up. On the same deployments some
// targets hang a part of their tasks, so that the limit can't be raised for every run.
package runtimes

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the ratio that one unit of the histograms stands for, and maxRatio the largest
	// ratio that they distinguish.
	ratioUnit = 0.01
	maxRatio  = 100
	// significantDigits gives buckets that are one in a hundred wide. A histogram takes 8 kB.
	significantDigits = 2
	// priorSpread is the standard deviation of the logarithm of the ratio in the prior: estimates
	// are off by two fifths. priorCount is the weight of the prior, as a number of completions.
	priorSpread = 0.4
	priorCount  = 50
	// A generation ends after generationCount completions, or after generationAge if it has a
	// tenth of them. The newest two generations count, so that a load that changes is known again
	// after some thousand completions or two minutes.
	generationCount = 2000
	generationAge   = time.Minute
	// tailRatio and tailShare define a tail: more than one run in 200 takes over four times the
	// expected time. With a log-normal spread of two fifths it is one in 4,000.
	tailRatio = 4
	tailShare = 0.005
	// LongRatio is the ratio from which a run is long: nine runs in ten end earlier.
	LongRatio = 2
)

// The curve of a distribution holds its survival function at curvePoints ratios that rise by
// equal factors from curveStart to maxRatio.
const (
	curvePoints = 64
	curveStart  = 0.25
)

var (
	curveStep   = math.Log(maxRatio/curveStart) / (curvePoints - 1)
	curveRatios = func() (ratios [curvePoints]float64) {
		for i := range ratios {
			ratios[i] = curveStart * math.Exp(float64(i)*curveStep)
		}
		return ratios
	}()
)

// Distribution is the distribution of run time over expected run time of one queue, where the
// expected run time is the estimate divided by the speed of the target. It is not safe for
// concurrent use.
type Distribution struct {
	current, previous *hdrhistogram.Histogram // completions recorded here
	merged            *hdrhistogram.Histogram // completions reported by others; nil: none
	startedAt         time.Time               // start of the current generation
	recorded          uint64                  // completions recorded here since the start
	unread            int64                   // values recorded since the curve was computed
	known             int64                   // values in the curve, without the prior
	curve             curve
}

// curve is a survival function at curveRatios, and the mean excess over each of them.
type curve struct {
	survival, remainder [curvePoints]float64
	tail                bool
}

var priorCurve = func() (c curve) {
	for i, ratio := range curveRatios {
		c.survival[i] = priorSurvival(ratio)
	}
	c.integrate()
	return c
}()

// New returns a distribution without completions: the prior.
func New() *Distribution {
	return &Distribution{current: newHistogram(), previous: newHistogram(), curve: priorCurve}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxRatio/ratioUnit), significantDigits)
}

// priorSurvival returns the share of runs that take longer than a ratio in the prior.
func priorSurvival(ratio float64) float64 {
	return math.Erfc(math.Log(ratio)/(priorSpread*math.Sqrt2)) / 2
}

// Record adds a completed run. Ratios that are not positive and finite are ignored.
func (d *Distribution) Record(now time.Time, ratio float64) {
	if !(ratio > 0) || math.IsInf(ratio, 1) {
		return
	}
	d.age(now)
	recordRatio(d.current, ratio, 1)
	d.recorded++
	d.noteChange(1)
}

// RecordAtLeast adds a run that is stopped at a ratio although another run of its job took as long
// on another target. Stopped runs never complete, so that without them a tail could stay unknown.
// The ratio counts as somewhat larger, so that the next such run is kept for longer. Call it at
// most once a job: runs that hang together must not look like a tail of their own.
func (d *Distribution) RecordAtLeast(now time.Time, ratio float64) {
	d.Record(now, ratio*judgeAgainFactor*judgeAgainFactor)
}

// recordRatio adds a ratio to a histogram; it is limited to the histogram's range.
func recordRatio(h *hdrhistogram.Histogram, ratio float64, count int64) {
	value := int64(min(max(ratio, ratioUnit), maxRatio) / ratioUnit)
	_ = h.RecordValues(min(max(value, 1), h.HighestTrackableValue()), count) // within the range
}

// age starts a new generation if the current one has ended.
func (d *Distribution) age(now time.Time) {
	if d.startedAt.IsZero() {
		d.startedAt = now
	}
	count := d.current.TotalCount()
	if count < generationCount && (count < generationCount/10 || now.Sub(d.startedAt) < generationAge) {
		return
	}
	d.previous, d.current = d.current, d.previous
	d.current.Reset()
	d.startedAt = now
}

// noteChange counts new values, and computes the curve again once they are a tenth of the known
// ones. The curve makes every question a look-up instead of a walk over the histograms.
func (d *Distribution) noteChange(values int64) {
	d.unread += values
	if 10*d.unread >= d.known {
		d.refresh()
	}
}

// refresh computes the curve from the prior and the histograms.
func (d *Distribution) refresh() {
	counts := [curvePoints]float64{} // values above each ratio
	for _, h := range [...]*hdrhistogram.Histogram{d.current, d.previous, d.merged} {
		if h != nil && h.TotalCount() > 0 {
			addCountsAbove(&counts, h)
		}
	}
	d.known, d.unread = d.Count(), 0
	total := priorCount + float64(d.known)
	for i, ratio := range curveRatios {
		d.curve.survival[i] = (priorCount*priorSurvival(ratio) + counts[i]) / total
	}
	d.curve.integrate()
}

// addCountsAbove adds the number of values of a histogram that are above each curve ratio.
func addCountsAbove(counts *[curvePoints]float64, h *hdrhistogram.Histogram) {
	above := float64(h.TotalCount())
	i := 0
	for _, bar := range h.Distribution() {
		if bar.Count == 0 {
			continue
		}
		for i < curvePoints && curveRatios[i] < float64(bar.From)*ratioUnit {
			counts[i] += above
			i++
		}
		above -= float64(bar.Count)
	}
}

// integrate computes the mean excess over each ratio from the survival function, and whether it
// has a tail.
func (c *curve) integrate() {
	area := 0.0
	for i := curvePoints - 1; i >= 0; i-- {
		if i < curvePoints-1 {
			area += (curveRatios[i+1] - curveRatios[i]) * (c.survival[i] + c.survival[i+1]) / 2
		}
		c.remainder[i] = 0
		if c.survival[i] > 0 {
			c.remainder[i] = area / c.survival[i]
		}
	}
	c.tail = lookUp(&c.survival, tailRatio) >= tailShare
}

// lookUp interpolates the values of a curve at a ratio. Below the curve, and for NaN, it returns the
// first value, above it the last one.
func lookUp(values *[curvePoints]float64, ratio float64) float64 {
	if !(ratio > curveStart) {
		return values[0]
	}
	at := math.Log(ratio/curveStart) / curveStep
	if at >= curvePoints-1 { // also for +Inf, which does not convert to an int
		return values[curvePoints-1]
	}
	i := int(at)
	return values[i] + (at-float64(i))*(values[i+1]-values[i])
}

// Count returns the number of completions that count, without the prior.
func (d *Distribution) Count() int64 {
	count := d.current.TotalCount() + d.previous.TotalCount()
	if d.merged != nil {
		count += d.merged.TotalCount()
	}
	return count
}

// Recorded returns the number of calls of Record since the start that added a run.
func (d *Distribution) Recorded() uint64 { return d.recorded }

// Survival returns the share of runs that take longer than a ratio.
func (d *Distribution) Survival(ratio float64) float64 { return lookUp(&d.curve.survival, ratio) }

// Remainder returns the expected remaining time of a run that has reached a ratio, as a multiple
// of its expected run time.
func (d *Distribution) Remainder(ratio float64) float64 { return lookUp(&d.curve.remainder, ratio) }

// HasTail reports whether many more runs are long than estimates off by two fifths explain.
func (d *Distribution) HasTail() bool { return d.curve.tail }

// Quantile returns the ratio that the share q of the runs does not exceed.
func (d *Distribution) Quantile(q float64) float64 {
	for i := range d.curve.survival {
		above := d.curve.survival[i]
		if above > 1-q {
			continue
		}
		if i == 0 {
			return curveRatios[0]
		}
		before := d.curve.survival[i-1]
		fraction := (before - (1 - q)) / (before - above)
		return curveRatios[i-1] + fraction*(curveRatios[i]-curveRatios[i-1])
	}
	return maxRatio
}
