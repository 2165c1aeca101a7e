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
	// feed lets every agent run tasks of a class whose declarations are off by
	// the factor off and at random by e to the power of noise.
	feed := func(n int, class string, off, noise float64, speeds []float64) {
		for i := range n {
			agent := i % len(speeds)
			real := 50 + 950*r.Float64()
			declared := real / off * math.Exp(noise*r.NormFloat64())
			e.Observe(uint64(agent), class, declared, 1, real/speeds[agent])
		}
	}

	// A class declares a tenth of what it takes. Believed, its jobs always go
	// first and honest callers wait behind them.
	It("learns a class that is declared ten times too short", func() {
		feed(400, "honest", 1, 0.2, []float64{1, 1, 1, 1})
		feed(400, "short", 10, 0.2, []float64{1, 1, 1, 1})
		Expect(e.TaskMs("short", 50)).To(BeNumerically("~", 500, 120))
		Expect(e.TaskMs("honest", 500)).To(BeNumerically("~", 500, 120))
	})

	// A target claims to be as fast as the rest and is three times slower; every
	// declaration is off by a factor of e at random. Believed, it gets the longest
	// tasks and their jobs end last.
	It("tells a slow target from wrong declarations", func() {
		feed(2000, "noisy", 1, 1, []float64{1, 1.0 / 3, 1, 1})
		Expect(e.Speed(0, 1) / e.Speed(1, 1)).To(BeNumerically(">", 1.8))
	})

	// A good target turns ten times slower. Until that is known it keeps getting
	// the work meant for a fast one.
	It("notices within two rounds of its slots that a target has turned slow", func() {
		speeds := []float64{1, 1, 1, 1}
		feed(400, "c", 1, 0.2, speeds)
		for range 16 {
			e.Observe(2, "c", 100, 1, 1000)
		}
		Expect(e.Speed(2, 1)).To(BeNumerically("<", 0.4))
		Expect(e.Speed(0, 1)).To(BeNumerically(">", 0.7))
	})

	// One result comes back with a wild time because its host was paused. If the
	// estimate followed it, the next jobs of that class would be held or refused.
	It("is not moved far by one wild value", func() {
		feed(400, "c", 1, 0.2, []float64{1})
		before := e.TaskMs("c", 300)
		e.Observe(0, "c", 300, 1, 3e6)
		Expect(e.TaskMs("c", 300)).To(BeNumerically("<", before*1.5))
		e.Observe(0, "c", 300, 1, math.NaN())
		e.Observe(0, "c", 300, 0, math.Inf(1))
		Expect(e.TaskMs("c", 300)).To(BeNumerically("<", before*1.5))
	})

	It("stands in for a missing declaration and then learns it", func() {
		Expect(e.TaskMs("new", 0)).To(BeNumerically("==", undeclaredMs))
		for range 50 {
			e.Observe(0, "new", 0, 2, 1000)
		}
		Expect(e.TaskMs("new", 0)).To(BeNumerically("~", 2000, 500))
	})

	// Callers invent a class name per job. Were all kept, the entry would run out
	// of memory after some days.
	It("bounds what it remembers", func() {
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
