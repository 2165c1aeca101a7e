package bench

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/owner"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

// scenario returns the scenario with the name.
func scenario(name string) Scenario {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s
		}
	}
	Fail("no scenario " + name)
	return Scenario{}
}

var _ = Describe("the bench", func() {
	// The arrival rate is computed from the mean work of a job. If random jobs had another
	// mean, the offered load would differ from the scenario's.
	It("generates jobs whose mean work is the one that the arrival rate assumes", func() {
		r := rand.New(rand.NewPCG(1, 2))
		for _, name := range []string{"steady-0.8", "long-among-short"} {
			s := scenario(name)
			const n = 5_000
			sum := 0.0
			for range n {
				sum += newJobSpec(r, s, 0.5).totalMs
			}
			Expect(sum / n).To(BeNumerically("~", s.Mix.meanJobMs()/2, s.Mix.meanJobMs()*0.03))
		}
	})

	It("applies the estimate error of the scenario", func() {
		r := rand.New(rand.NewPCG(1, 2))
		spec := newJobSpec(r, scenario("steady-0.8"), 1)
		Expect(float64(spec.submission.Tasks[0].EstimateMs)).To(BeNumerically("<=", spec.longestMs+1))
		Expect(TenfoldClassError.estimateMs(r, 0, 500)).To(BeEquivalentTo(50))
		Expect(TenfoldClassError.estimateMs(r, 2, 500)).To(BeEquivalentTo(5000))
	})

	// Each outcome must be counted once: a policy that drops jobs would otherwise look fast.
	It("counts every outcome of a job", func() {
		s := scenario("steady-0.8")
		spec := jobSpec{submission: &job.Submission{Team: "t", Tasks: make([]job.Task, 1)}, totalMs: 300, longestMs: 300}
		outcomes := []*submittedJob{
			{answer: &job.Answer{State: job.Complete, Results: [][]byte{[]byte("0")}}, responseTime: 202 * time.Millisecond, endedAt: 0.5},
			{answer: &job.Answer{State: job.Complete, Results: [][]byte{[]byte("1")}}, responseTime: time.Second, endedAt: 0.05},
			{answer: &job.Answer{State: job.Refused, Failure: fault.Refused(fault.Overloaded, "", time.Second)}},
			{err: fault.Refused(fault.QuotaExceeded, "", 0)},
			{answer: &job.Answer{State: job.Failed, Failure: fault.New(fault.DeadlineExceeded, "")}},
			{answer: &job.Answer{State: job.Failed, Failure: fault.New(fault.TaskFailed, "")}},
			{},
		}
		r := newResult()
		r.windowMs = 1000
		for _, outcome := range outcomes {
			outcome.spec, outcome.measured = spec, true
			r.add(s, outcome, 1)
		}
		r.addMessages(owner.Counts{Starts: 4})
		Expect(r.jobs).To(Equal(7))
		Expect(r.completed).To(Equal(2))
		Expect([]int{r.refused, r.noRetryAfter, r.missedDeadline, r.failed, r.noAnswer, r.wrongResults}).To(Equal([]int{2, 1, 1, 1, 1, 1}))
		Expect(r.slowdown(1)).To(BeNumerically("~", 2, 0.01))
		Expect(r.wastedShare()).To(BeNumerically("==", 0.5))
		Expect(r.goodput()).To(BeNumerically("~", 300/(1000*capacity()), 1e-9))
		merged := newResult()
		merged.merge(r)
		merged.merge(r)
		Expect(merged.jobs).To(Equal(14))
		Expect(merged.goodput()).To(BeNumerically("~", r.goodput(), 1e-9))
	})

	It("parses the CPU time in a process's stat line", func() {
		cpuMs, err := parseCPUMs("7 (a) b (c) S 1 7 7 0 -1 4194560 1 0 0 0 12 30 0 0 20 0 9 0 1 2 3")
		Expect(err).NotTo(HaveOccurred())
		Expect(cpuMs).To(BeNumerically("==", 420))
		_, err = parseCPUMs("7 (a) S 1")
		Expect(err).To(MatchError(errStat))
	})
})
