package estimation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEstimation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimation")
}

var _ = Describe("the estimator", func() {
	var (
		e *Estimator
		r *rand.Rand
	)
	BeforeEach(func() {
		e = New()
		r = rand.New(rand.NewPCG(1, 2))
	})
	// feed observes n tasks of a class, spread over agents with the given speeds. Their
	// declarations are too short by the factor off, and off at random by e to the power of
	// noise.
	feed := func(n int, class string, off, noise float64, speeds []float64) {
		for i := range n {
			agent := i % len(speeds)
			real := 50 + 950*r.Float64()
			declared := real / off * math.Exp(noise*r.NormFloat64())
			e.Observe(uint64(agent), class, declared, 1, real/speeds[agent])
		}
	}

	// Guards against a class that declares a tenth of its run times, so that its jobs would
	// always be ordered before accurately declared ones.
	It("corrects a class that is declared ten times too short", func() {
		feed(400, "honest", 1, 0.2, []float64{1, 1, 1, 1})
		feed(400, "short", 10, 0.2, []float64{1, 1, 1, 1})
		Expect(e.TaskMs("short", 50)).To(BeNumerically("~", 500, 120))
		Expect(e.TaskMs("honest", 500)).To(BeNumerically("~", 500, 120))
	})

	// A target declares the speed of the others but is three times slower, while every
	// declaration is off by a factor of e at random. With its declared speed it would receive
	// the longest tasks, and their jobs would end last.
	It("distinguishes a slow target from wrong declarations", func() {
		feed(2000, "noisy", 1, 1, []float64{1, 1.0 / 3, 1, 1})
		Expect(e.Speed(0, 1) / e.Speed(1, 1)).To(BeNumerically(">", 1.8))
	})

	// Guards against a target that becomes ten times slower and still receives the work of a
	// fast one.
	It("detects within two rounds of its slots that a target has become slow", func() {
		speeds := []float64{1, 1, 1, 1}
		feed(400, "c", 1, 0.2, speeds)
		for range 16 {
			e.Observe(2, "c", 100, 1, 1000)
		}
		Expect(e.Speed(2, 1)).To(BeNumerically("<", 0.4))
		Expect(e.Speed(0, 1)).To(BeNumerically(">", 0.7))
	})

	// A task takes extremely long because its host was paused. If the estimate followed this
	// outlier, the next jobs of the class would be held or refused.
	It("is not moved far by one outlier", func() {
		feed(400, "c", 1, 0.2, []float64{1})
		before := e.TaskMs("c", 300)
		e.Observe(0, "c", 300, 1, 3e6)
		Expect(e.TaskMs("c", 300)).To(BeNumerically("<", before*1.5))
		e.Observe(0, "c", 300, 1, math.NaN())
		e.Observe(0, "c", 300, 0, math.Inf(1))
		Expect(e.TaskMs("c", 300)).To(BeNumerically("<", before*1.5))
	})

	It("uses a default for a missing declaration until it has results", func() {
		Expect(e.TaskMs("new", 0)).To(BeNumerically("==", undeclaredMs))
		for range 50 {
			e.Observe(0, "new", 0, 2, 1000)
		}
		Expect(e.TaskMs("new", 0)).To(BeNumerically("~", 2000, 500))
	})

	// Guards against callers that use a new class name for each job: if all were kept, the
	// entry would run out of memory after some days.
	It("bounds the number of classes and removes agents", func() {
		for i := range 3 * maxClasses {
			e.Observe(1, fmt.Sprint(i), 100, 1, 100)
		}
		Expect(len(e.classes)).To(Equal(maxClasses))
		e.ForgetAgent(1)
		Expect(e.speeds).To(BeEmpty())
	})
})

func BenchmarkObserve(b *testing.B) {
	e := New()
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(1, "class", 200, 1, 250)
	}
}
