package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// target returns a sound local candidate with room for everything.
func target(speed float64, credits int) Candidate {
	return Candidate{
		Speed: speed, Credits: credits, Local: true, MaxInFlight: 1 << 20,
		Free: job.Demand{CPUMilli: 64_000, MemoryMB: 256_000, Accelerators: 4},
	}
}

var _ = Describe("placement", func() {
	It("takes the fastest target with a credit and names the runner-up", func() {
		cs := []Candidate{target(1, 3), target(3, 1), target(2, 5)}
		Expect(Choose(Task{EstimateMs: 300}, cs, Options{})).To(Equal(Choice{1, Best, 2, 100}))
	})

	// A task of five seconds comes up when only the slowest target is free. Started
	// there it ends after five seconds; the fast target frees in 200 ms and would
	// end it in under two. The whole job's answer waits for it.
	It("holds a long task back from a slow target", func() {
		fast := target(3, 0)
		fast.WaitMs = 200
		cs := []Candidate{target(1, 8), fast}
		got := Choose(Task{EstimateMs: 5000}, cs, Options{})
		Expect(got.Reason).To(Equal(HeldForFaster))
		Expect(got.Index).To(Equal(None))
		Expect(got.RunnerUp).To(Equal(1))
		Expect(Choose(Task{EstimateMs: 100}, cs, Options{}).Index).To(Equal(0))
		Expect(Choose(Task{EstimateMs: 5000}, cs, Options{NoHold: true}).Index).To(Equal(0))
	})

	// A job's longest task runs for another 900 ms. A short task of the same job on
	// the fastest target ends the job no earlier, but the next caller's check then
	// finds only slow targets free.
	It("leaves fast targets free for a task off the critical path", func() {
		cs := []Candidate{target(3, 1), target(1, 1), target(0.5, 1)}
		t := Task{EstimateMs: 600, SlackMs: 900}
		Expect(Choose(t, cs, Options{})).To(Equal(Choice{1, OffPath, 0, 600}))
		t.SlackMs = 150
		Expect(Choose(t, cs, Options{}).Index).To(Equal(0))
	})

	// Declared run times are off by a factor of e. A task taken to be short turns
	// out long, and on a slow target its job waits for it.
	It("is cautious where run times are known badly", func() {
		cs := []Candidate{target(3, 1), target(1, 1)}
		t := Task{EstimateMs: 600, SlackMs: 900, ErrorFactor: 2.7}
		Expect(Choose(t, cs, Options{}).Index).To(Equal(0))
	})

	// A fast target hangs. Tasks held back for it would wait until they fail,
	// while slower targets stand idle.
	It("does not hold for a target whose credits stopped coming", func() {
		var gap CreditInterval
		start := time.Unix(0, 0)
		for n := range 10 {
			gap.ObserveGrant(1, start.Add(time.Duration(n)*50*time.Millisecond))
		}
		last := start.Add(450 * time.Millisecond)
		Expect(gap.WaitMs(last)).To(BeNumerically("~", 50, 1))
		hung := target(3, 0)
		hung.WaitMs = gap.WaitMs(last.Add(10 * time.Second))
		cs := []Candidate{target(1, 8), hung}
		Expect(Choose(Task{EstimateMs: 5000}, cs, Options{}).Index).To(Equal(0))
	})

	It("says why nothing fits", func() {
		Expect(Choose(Task{}, nil, Options{}).Reason).To(Equal(NoTarget))
		Expect(Choose(Task{}, []Candidate{target(1, 0)}, Options{}).Reason).To(Equal(NoCredit))
		t := Task{Demand: job.Demand{Accelerators: 5}}
		Expect(Choose(t, []Candidate{target(1, 1)}, Options{}).Reason).To(Equal(NoRoom))
	})

	It("goes by the classes that a target serves", func() {
		other := target(3, 8)
		other.Classes = []string{"billing"}
		cs := []Candidate{other, target(1, 1)}
		Expect(Choose(Task{Class: "check", EstimateMs: 300}, cs, Options{}).Index).To(Equal(1))
		Expect(Choose(Task{Class: "billing", EstimateMs: 300}, cs, Options{}).Index).To(Equal(0))
	})

	// A job asks for its tasks in different racks, because a rack goes every week.
	It("spreads over racks while there is a choice", func() {
		a, b := target(2, 4), target(1, 4)
		a.Rack, b.Rack = "r1", "r2"
		cs := []Candidate{a, b}
		t := Task{EstimateMs: 300, AvoidRacks: []string{"r1"}}
		Expect(Choose(t, cs, Options{}).Index).To(Equal(1))
		Expect(Choose(t, cs[:1], Options{}).Index).To(Equal(0))
	})

	// A target on probation may hold one task at a time; a second one would fail
	// with the first if it is still broken.
	It("keeps to the allowance that a target's health gives it", func() {
		doubtful := target(3, 8)
		doubtful.MaxInFlight, doubtful.InFlight = 1, 1
		cs := []Candidate{doubtful, target(1, 1)}
		Expect(Choose(Task{EstimateMs: 300}, cs, Options{}).Index).To(Equal(1))
	})

	It("keeps the baselines", func() {
		r := rand.New(rand.NewPCG(1, 1))
		cs := []Candidate{target(1, 0), target(1, 2), target(3, 2)}
		cs[1].InFlight = 9
		counts := make([]int, len(cs))
		for range 3000 {
			counts[Choose(Task{}, cs, Options{Policy: Random, Random: r}).Index]++
		}
		Expect(counts).To(HaveEach(BeNumerically("~", 1000, 120)))
		clear(counts)
		for range 3000 {
			counts[Choose(Task{}, cs, Options{Policy: TwoChoices, Random: r}).Index]++
		}
		Expect(counts[1]).To(BeNumerically("<", 500))
		clear(counts)
		for range 3000 {
			counts[Choose(Task{}, cs, Options{Policy: AnyFree, Random: r}).Index]++
		}
		Expect(counts[0]).To(BeZero())
		Expect(counts[1:]).To(HaveEach(BeNumerically(">", 900)))
	})
})

func BenchmarkChoose(b *testing.B) {
	cs := make([]Candidate, 200)
	for i := range cs {
		cs[i] = target(1+float64(i%20)/10, i%3)
		cs[i].WaitMs = float64(i % 100)
	}
	t := Task{EstimateMs: 300, Demand: job.Demand{CPUMilli: 100}}
	b.ReportAllocs()
	for b.Loop() {
		Choose(t, cs, Options{})
	}
}
