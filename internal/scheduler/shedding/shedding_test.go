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
	waiting := func(workMs float64, deadlineIn time.Duration) Job {
		return Job{RemainingMs: workMs, LongestMs: min(workMs, 1000), DeadlineIn: deadlineIn}
	}

	// Half of the targets leave after a long queue was admitted. Without shedding, each job is
	// started in its turn and ends too late, one after the other.
	It("sheds the jobs whose turn comes too late, so that the others end in time", func() {
		var jobs []Job
		for range 100 {
			jobs = append(jobs, waiting(20_000, 3*time.Second)) // 20 s of work, due in 3 s
		}
		shed := Pick(fleet, jobs, nil)
		Expect(len(jobs) - len(shed)).To(BeNumerically("~", 3*WaitTolerance*1000/200, 2))
		for _, d := range shed {
			Expect(d.Reason).To(Equal(WaitTooLong))
		}
	})

	// Shedding a job wastes the work that was done for it.
	It("keeps a started job while it can still end in time", func() {
		jobs := []Job{waiting(1e6, time.Hour), waiting(20_000, time.Second)}
		jobs[1].Started = true
		Expect(Pick(fleet, jobs, nil)).To(BeEmpty())
		jobs[1].DeadlineIn = 50 * time.Millisecond
		Expect(Pick(fleet, jobs, nil)).To(Equal([]Decision{{1, Infeasible}}))
	})

	// All targets are disconnected for some seconds, and it is not known when they return, so
	// only jobs past their deadline are shed.
	It("keeps jobs while no target is connected", func() {
		jobs := []Job{waiting(1e6, time.Second), waiting(100, time.Second), waiting(100, 0)}
		Expect(Pick(Fleet{}, jobs, nil)).To(Equal([]Decision{{2, Infeasible}}))
	})
})
