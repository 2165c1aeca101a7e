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

// target returns a healthy local candidate with ample resources.
func target(speed float64, credits int) Candidate {
	return Candidate{
		Speed: speed, Credits: credits, Local: true, MaxInFlight: 1 << 20,
		Free: job.Demand{CPUMilli: 64_000, MemoryMB: 256_000, Accelerators: 4},
	}
}

var _ = Describe("placement", func() {
	It("chooses the fastest target with a credit and returns the runner-up", func() {
		cs := []Candidate{target(1, 3), target(3, 1), target(2, 5)}
		Expect(Choose(Task{EstimateMs: 300}, cs, Options{})).To(Equal(Choice{1, Best, 2, 100}))
	})

	// Guards against starting a task of five seconds on the slowest target, where it delays
	// the answer of its job, while a fast target frees a slot in 200 ms and would end the
	// task in under two seconds.
	It("holds a long task instead of starting it on a slow target", func() {
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

	// While the longest task of a job runs for another 900 ms, a shorter task on the
	// fastest target does not end the job earlier, but leaves only slow targets to the
	// next caller.
	It("leaves fast targets free for a task off the critical path", func() {
		cs := []Candidate{target(3, 1), target(1, 1), target(0.5, 1)}
		t := Task{EstimateMs: 600, SlackMs: 900}
		Expect(Choose(t, cs, Options{})).To(Equal(Choice{1, OffPath, 0, 600}))
		t.SlackMs = 150
		Expect(Choose(t, cs, Options{}).Index).To(Equal(0))
	})

	// Declared run times are off by a factor of e. A task that is longer than estimated
	// would delay its job if it ran on a slow target.
	It("is cautious where run times are uncertain", func() {
		cs := []Candidate{target(3, 1), target(1, 1)}
		t := Task{EstimateMs: 600, SlackMs: 900, ErrorFactor: 2.7}
		Expect(Choose(t, cs, Options{}).Index).To(Equal(0))
	})

	// Guards against holding tasks for a fast target that hangs: they would wait until they
	// fail, while slower targets are idle.
	It("does not hold tasks for a target that has stopped granting credits", func() {
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

	It("returns the reason when no target is feasible", func() {
		Expect(Choose(Task{}, nil, Options{}).Reason).To(Equal(NoTarget))
		Expect(Choose(Task{}, []Candidate{target(1, 0)}, Options{}).Reason).To(Equal(NoCredit))
		t := Task{Demand: job.Demand{Accelerators: 5}}
		Expect(Choose(t, []Candidate{target(1, 1)}, Options{}).Reason).To(Equal(NoRoom))
	})

	It("respects the classes that a target serves", func() {
		other := target(3, 8)
		other.Classes = []string{"billing"}
		cs := []Candidate{other, target(1, 1)}
		Expect(Choose(Task{Class: "check", EstimateMs: 300}, cs, Options{}).Index).To(Equal(1))
		Expect(Choose(Task{Class: "billing", EstimateMs: 300}, cs, Options{}).Index).To(Equal(0))
	})

	// A job asks for its tasks in different racks because a rack fails every week.
	It("spreads tasks over racks while there is a choice", func() {
		a, b := target(2, 4), target(1, 4)
		a.Rack, b.Rack = "r1", "r2"
		cs := []Candidate{a, b}
		t := Task{EstimateMs: 300, AvoidRacks: []string{"r1"}}
		Expect(Choose(t, cs, Options{}).Index).To(Equal(1))
		Expect(Choose(t, cs[:1], Options{}).Index).To(Equal(0))
	})

	// A target on probation may have one task in flight; a second one would fail with the
	// first if the target is still broken.
	It("respects the in-flight limit given by a target's health", func() {
		onProbation := target(3, 8)
		onProbation.MaxInFlight, onProbation.InFlight = 1, 1
		cs := []Candidate{onProbation, target(1, 1)}
		Expect(Choose(Task{EstimateMs: 300}, cs, Options{}).Index).To(Equal(1))
	})

	It("implements the baseline policies", func() {
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
