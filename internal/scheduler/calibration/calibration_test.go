package calibration

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// load is a queue whose tasks take usualMs in the middle, with spreads of run times and of
// the estimates' errors as standard deviations of logarithms.
type load struct {
	usualMs, spread, errors float64
}

func (l load) draw(r *rand.Rand) (estimateMs, tookMs float64) {
	tookMs = l.usualMs * math.Exp(l.spread*r.NormFloat64())
	return tookMs * math.Exp(l.errors*r.NormFloat64()), tookMs
}

// play teaches a line with a load and returns the mean error of its later corrections and of
// the estimates as they came, as logarithms.
func play(l load, tasks int) (corrected, declared float64) {
	r := rand.New(rand.NewPCG(1, 1))
	var line Regression
	counted := 0.0
	for i := range tasks {
		estimate, took := l.draw(r)
		line.AddEstimate(estimate)
		if i >= tasks/2 {
			corrected += math.Abs(math.Log(line.ExpectedMs(estimate) / took))
			declared += math.Abs(math.Log(estimate / took))
			counted++
		}
		line.AddRunTime(estimate, took)
	}
	return corrected / counted, declared / counted
}

// Callers' estimates are off by two fifths at random. Believed as they come, every fourth
// job is thought to need under three quarters of what it needs, and is turned away under
// load although it could be in time. The corrected ones must be clearly closer.
func TestRandomErrorsShrink(t *testing.T) {
	for _, usualMs := range []float64{5, 60, 900, 12_000} {
		corrected, declared := play(load{usualMs, 0.4, 0.4}, 2000)
		NewWithT(t).Expect(corrected).To(BeNumerically("<", 0.8*declared), "tasks of %v ms", usualMs)
	}
}

// Tasks of one queue take nearly the same time, and estimates of them say nothing: the
// usual time is the better guess.
func TestWorthlessEstimatesAreNotBelieved(t *testing.T) {
	corrected, declared := play(load{200, 0.05, 0.7}, 2000)
	NewWithT(t).Expect(corrected).To(BeNumerically("<", 0.35*declared))
}

// Estimates that are right are left as they are, also where tasks of milliseconds and of
// seconds share a queue: a rule that pulls to the middle would spoil them.
func TestRightEstimatesAreKept(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	var line Regression
	for range 2000 {
		ms := []float64{40, 4000}[r.IntN(2)] * math.Exp(0.1*r.NormFloat64())
		line.AddEstimate(ms)
		line.AddRunTime(ms, ms)
	}
	g := NewWithT(t)
	g.Expect(line.ExpectedMs(40)).To(BeNumerically("~", 40, 1))
	g.Expect(line.ExpectedMs(4000)).To(BeNumerically("~", 4000, 80))
}

// Speeds are measured by estimates, so a target that takes twice as long as all estimates
// say is a slow target. The line must not answer by calling the tasks long: targets and
// estimates would drive each other away.
func TestLevelIsLeftToTheTargets(t *testing.T) {
	var line Regression
	r := rand.New(rand.NewPCG(3, 3))
	for range 2000 {
		estimate, took := load{100, 0.4, 0.4}.draw(r)
		line.AddEstimate(estimate)
		line.AddRunTime(estimate, 2*took)
	}
	NewWithT(t).Expect(line.ExpectedMs(100)).To(BeNumerically("~", 100, 8))
}

// One task in twenty hangs a hundred times as long as it should. What is known of the
// others must not go with it.
func TestHungTasksTeachLittle(t *testing.T) {
	var line Regression
	r := rand.New(rand.NewPCG(4, 4))
	for i := range 2000 {
		estimate, took := load{100, 0.4, 0.2}.draw(r)
		line.AddEstimate(estimate)
		if i%20 == 0 {
			took *= 100
		}
		line.AddRunTime(estimate, took)
	}
	NewWithT(t).Expect(line.Reliability()).To(BeNumerically("~", 0.8, 0.2))
}

// Nothing was seen yet, or what came makes no sense.
func TestUnknownEstimatesAreBelieved(t *testing.T) {
	g := NewWithT(t)
	var line Regression
	g.Expect(line.ExpectedMs(70)).To(Equal(70.0))
	line.AddRunTime(0, 10)
	line.AddRunTime(10, 0)
	line.AddRunTime(10, math.NaN())
	line.AddEstimate(50)
	g.Expect(line.ExpectedMs(0)).To(Equal(0.0))
	g.Expect(line.ExpectedMs(70)).To(BeNumerically("~", 70, 1e-6))
}
