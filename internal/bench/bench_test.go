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
	// The rate of arrivals is worked out from the mean work of a job. If the draws
	// had another mean, every load would be another than its name says.
	It("draws jobs of the work that the rate reckons with", func() {
		r := rand.New(rand.NewPCG(1, 2))
		for _, name := range []string{"steady-0.8", "long-among-short"} {
			s := scenario(name)
			const n = 5_000
			sum := 0.0
			for range n {
				sum += newWork(r, s, 0.5).totalMs
			}
			Expect(sum / n).To(BeNumerically("~", s.Mix.meanJobMs()/2, s.Mix.meanJobMs()*0.03))
		}
	})

	It("declares as the scenario says", func() {
		r := rand.New(rand.NewPCG(1, 2))
		w := newWork(r, scenario("steady-0.8"), 1)
		Expect(float64(w.submission.Tasks[0].EstimateMs)).To(BeNumerically("<=", w.longestMs+1))
		Expect(TenfoldClassError.declare(r, 0, 500)).To(BeEquivalentTo(50))
		Expect(TenfoldClassError.declare(r, 2, 500)).To(BeEquivalentTo(5000))
	})

	// Each end of a job counts once, or a policy that drops jobs looks fast.
	It("counts every end of a job", func() {
		s := scenario("steady-0.8")
		w := work{submission: &job.Submission{Team: "t", Tasks: make([]job.Task, 1)}, totalMs: 300, longestMs: 300}
		ends := []*sent{
			{answer: &job.Answer{State: job.Complete, Results: [][]byte{[]byte("0")}}, response: 202 * time.Millisecond, endedAt: 0.5},
			{answer: &job.Answer{State: job.Complete, Results: [][]byte{[]byte("1")}}, response: time.Second, endedAt: 0.05},
			{answer: &job.Answer{State: job.Refused, Failure: fault.Refused(fault.Overloaded, "", time.Second)}},
			{err: fault.Refused(fault.QuotaExceeded, "", 0)},
			{answer: &job.Answer{State: job.Failed, Failure: fault.New(fault.DeadlineExceeded, "")}},
			{answer: &job.Answer{State: job.Failed, Failure: fault.New(fault.TaskFailed, "")}},
			{},
		}
		r := newResult()
		r.windowMs = 1000
		for _, e := range ends {
			e.work, e.measured = w, true
			r.add(s, e, 1)
		}
		r.addMessages(owner.Counts{Starts: 4})
		Expect(r.jobs).To(Equal(7))
		Expect(r.complete).To(Equal(2))
		Expect([]int{r.refused, r.noReturn, r.missed, r.failed, r.unknown, r.mixedUp}).To(Equal([]int{2, 1, 1, 1, 1, 1}))
		Expect(r.ratio(1)).To(BeNumerically("~", 2, 0.01))
		Expect(r.wasted()).To(BeNumerically("==", 0.5))
		Expect(r.goodput()).To(BeNumerically("~", 300/(1000*capacity()), 1e-9))
		both := newResult()
		both.merge(r)
		both.merge(r)
		Expect(both.jobs).To(Equal(14))
		Expect(both.goodput()).To(BeNumerically("~", r.goodput(), 1e-9))
	})

	It("reads a process's time from its stat line", func() {
		used, err := parseStat("7 (a) b (c) S 1 7 7 0 -1 4194560 1 0 0 0 12 30 0 0 20 0 9 0 1 2 3")
		Expect(err).NotTo(HaveOccurred())
		Expect(used).To(BeNumerically("==", 420))
		_, err = parseStat("7 (a) S 1")
		Expect(err).To(MatchError(errStat))
	})
})
