package calibration

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
)

// workload generates the tasks of one queue. The spreads are the standard deviations of the
// logarithms of run times and of the errors of their estimates.
type workload struct {
	medianMs, runSpread, errorSpread float64
}

func (w workload) draw(r *rand.Rand) (estimateMs, runMs float64) {
	runMs = w.medianMs * math.Exp(w.runSpread*r.NormFloat64())
	return runMs * math.Exp(w.errorSpread*r.NormFloat64()), runMs
}

// simulate feeds a workload into a Regression. It returns the mean absolute logarithmic
// errors, over the second half of the tasks, of the corrected estimates and of the declared ones.
func simulate(w workload, tasks int) (corrected, declared float64) {
	r := rand.New(rand.NewPCG(1, 1))
	var regression Regression
	count := 0.0
	for i := range tasks {
		estimate, run := w.draw(r)
		regression.AddEstimate(estimate)
		if i >= tasks/2 {
			corrected += math.Abs(math.Log(regression.ExpectedMs(estimate) / run))
			declared += math.Abs(math.Log(estimate / run))
			count++
		}
		regression.AddRunTime(estimate, run)
	}
	return corrected / count, declared / count
}

// Guards against jobs that are refused under load although they could be in time: with
// estimates that are off by two fifths at random, every fourth job would be expected to take
// less than three quarters of its run time. Corrected estimates must be clearly closer.
func TestRandomErrorsShrink(t *testing.T) {
	for _, medianMs := range []float64{5, 60, 900, 12_000} {
		corrected, declared := simulate(workload{medianMs, 0.4, 0.4}, 2000)
		NewWithT(t).Expect(corrected).To(BeNumerically("<", 0.8*declared), "tasks of %v ms", medianMs)
	}
}

// All tasks of the queue take nearly the same time, so the differences between their
// estimates are noise and the mean is the better prediction.
func TestUninformativeEstimatesAreIgnored(t *testing.T) {
	corrected, declared := simulate(workload{200, 0.05, 0.7}, 2000)
	NewWithT(t).Expect(corrected).To(BeNumerically("<", 0.35*declared))
}

// Guards against a correction that shrinks accurate estimates towards the mean where tasks
// of milliseconds and of seconds share a queue.
func TestAccurateEstimatesAreKept(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	var regression Regression
	for range 2000 {
		ms := []float64{40, 4000}[r.IntN(2)] * math.Exp(0.1*r.NormFloat64())
		regression.AddEstimate(ms)
		regression.AddRunTime(ms, ms)
	}
	g := NewWithT(t)
	g.Expect(regression.ExpectedMs(40)).To(BeNumerically("~", 40, 1))
	g.Expect(regression.ExpectedMs(4000)).To(BeNumerically("~", 4000, 80))
}

// A target that takes twice as long as all estimates is a slow target, because speeds are
// measured against estimates. Guards against a correction that also lengthens the estimates:
// measured speeds and estimates would then drift away together.
func TestSystematicErrorIsLeftToTargetSpeeds(t *testing.T) {
	var regression Regression
	r := rand.New(rand.NewPCG(3, 3))
	for range 2000 {
		estimate, run := workload{100, 0.4, 0.4}.draw(r)
		regression.AddEstimate(estimate)
		regression.AddRunTime(estimate, 2*run)
	}
	NewWithT(t).Expect(regression.ExpectedMs(100)).To(BeNumerically("~", 100, 8))
}

// One task in twenty hangs and takes a hundred times its run time. Guards against such tasks
// distorting the estimates of the others.
func TestHungTasksHaveLittleWeight(t *testing.T) {
	var regression Regression
	r := rand.New(rand.NewPCG(4, 4))
	for i := range 2000 {
		estimate, run := workload{100, 0.4, 0.2}.draw(r)
		regression.AddEstimate(estimate)
		if i%20 == 0 {
			run *= 100
		}
		regression.AddRunTime(estimate, run)
	}
	NewWithT(t).Expect(regression.Reliability()).To(BeNumerically("~", 0.8, 0.2))
}

// Covers queues without completed tasks, and estimates and run times that are invalid.
func TestEstimatesWithoutHistoryAreKept(t *testing.T) {
	g := NewWithT(t)
	var regression Regression
	g.Expect(regression.ExpectedMs(70)).To(Equal(70.0))
	regression.AddRunTime(0, 10)
	regression.AddRunTime(10, 0)
	regression.AddRunTime(10, math.NaN())
	regression.AddEstimate(50)
	g.Expect(regression.ExpectedMs(0)).To(Equal(0.0))
	g.Expect(regression.ExpectedMs(70)).To(BeNumerically("~", 70, 1e-6))
}
