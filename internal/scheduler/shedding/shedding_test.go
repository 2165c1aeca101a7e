package shedding

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShedding(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shedding")
}

var _ = Describe("shedding", func() {
	fleet := Fleet{CapacityMsPerMs: 100, FastestSpeed: 3}
	waiting := func(workMs float64, left time.Duration) Job {
		return Job{RemainingMs: workMs, LongestMs: min(workMs, 1000), DeadlineIn: left}
	}

	// Half of the targets leave with a long queue let in. Without shedding each job
	// is begun in its turn and comes out too late, one after the other.
	It("answers at once those whose turn comes too late, and so saves the rest", func() {
		var jobs []Job
		for range 100 {
			jobs = append(jobs, waiting(20_000, 3*time.Second)) // 20 s of work for 3 s
		}
		shed := Pick(fleet, jobs, nil)
		Expect(len(jobs) - len(shed)).To(BeNumerically("~", 3*WaitTolerance*1000/200, 2))
		for _, d := range shed {
			Expect(d.Reason).To(Equal(WaitTooLong))
		}
	})

	// What has run of a job is lost if the job is dropped.
	It("keeps a job that has begun while it can still end", func() {
		jobs := []Job{waiting(1e6, time.Hour), waiting(20_000, time.Second)}
		jobs[1].Started = true
		Expect(Pick(fleet, jobs, nil)).To(BeEmpty())
		jobs[1].DeadlineIn = 50 * time.Millisecond
		Expect(Pick(fleet, jobs, nil)).To(Equal([]Decision{{1, Infeasible}}))
	})

	// All targets are gone for some seconds. Nothing is known of when they come
	// back, so only what is past its deadline is answered.
	It("waits for targets to come back", func() {
		jobs := []Job{waiting(1e6, time.Second), waiting(100, time.Second), waiting(100, 0)}
		Expect(Pick(Fleet{}, jobs, nil)).To(Equal([]Decision{{2, Infeasible}}))
	})
})
