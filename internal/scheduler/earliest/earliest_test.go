package earliest

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/job"
)

func cores(n int) job.Demand { return job.Demand{CPUMilli: 1000 * n} }

func idle(speed float64) Candidate {
	return Candidate{Free: cores(16), Total: cores(16), Speed: speed}
}

// A job of eight tasks meets one fast target and three slow ones. All on the fast one,
// the last would wait; on the slow ones alone, all would be late. Each goes where it
// ends earliest, the tasks before it counted in.
func TestTasksOfAJobSpread(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{idle(2), idle(0.8), idle(0.8), idle(0.8)}
	for i := range candidates {
		candidates[i].WaitMs = 40
	}
	task := Task{Demand: cores(4), EstimateMs: 60}
	count := make([]int, len(candidates))
	for range 8 {
		c := Choose(task, candidates)
		candidates[c.Index].Reserve(task, c.Index)
		count[c.Index]++
	}
	g.Expect(count[0]).To(Equal(4), "as many as the fast one has room for")
	g.Expect(count[1:]).To(HaveEach(BeNumerically(">", 0)))
}

// A slow target is idle and fast ones are busy. A short wait for a fast one is better
// than four times the run; a long one is not.
func TestSlowTargetIsUsedOnlyWhereItEndsEarlier(t *testing.T) {
	g := NewWithT(t)
	fast, slow := idle(1), idle(0.28)
	fast.Free = cores(0)
	task := Task{Demand: cores(2), EstimateMs: 60}
	fast.WaitMs = 4
	g.Expect(Choose(task, []Candidate{slow, fast}).Index).To(Equal(1))
	fast.WaitMs = 80
	g.Expect(Choose(task, []Candidate{slow, fast}).Index).To(Equal(0))
}

// Targets of one kind seem to differ by a tenth, because speeds are measured from rough
// estimates. Work must not pile up on the seemingly fastest: the entries that place at
// the same moment would all meet there.
func TestSmallDifferencesOfSpeedDontDrawAllWork(t *testing.T) {
	g := NewWithT(t)
	candidates := []Candidate{idle(1.1), idle(1.0), idle(1.0)}
	task := Task{Demand: cores(2), EstimateMs: 100}
	count := make([]int, len(candidates))
	for range 9 {
		c := Choose(task, candidates)
		candidates[c.Index].Reserve(task, c.Index)
		count[c.Index]++
	}
	g.Expect(count).To(HaveEach(BeNumerically(">=", 2)))
}

// A target fails everything at once and so is always idle. It must not draw the work.
func TestFailingFastDoesNotLookFast(t *testing.T) {
	g := NewWithT(t)
	failing, busy := idle(4), idle(1)
	failing.FailureRate = 0.5
	busy.Free, busy.WaitMs = cores(0), 100
	g.Expect(Choose(Task{Demand: cores(2), EstimateMs: 100}, []Candidate{failing, busy}).Index).To(Equal(1))
}

// Data lies on one rack. Away from it the task takes half as long again, which is worth
// less than a long wait.
func TestDataIsNearWhereThatEndsEarlier(t *testing.T) {
	g := NewWithT(t)
	near, far := idle(1), idle(1)
	task := Task{Demand: cores(2), EstimateMs: 100, RemoteFactor: 1.5, IsLocal: func(i int) bool { return i == 1 }}
	g.Expect(Choose(task, []Candidate{far, near}).Index).To(Equal(1))
	near.Free, near.WaitMs = cores(0), 60
	g.Expect(Choose(task, []Candidate{far, near}).Index).To(Equal(0))
}

// Nothing can hold the task, or the step has as many tasks on each target as it may.
func TestNoCandidate(t *testing.T) {
	g := NewWithT(t)
	used := idle(1)
	used.StepTasks = 1
	g.Expect(Choose(Task{Demand: cores(17)}, []Candidate{idle(1)}).Index).To(Equal(None))
	g.Expect(Choose(Task{Demand: cores(1), MaxPerTarget: 1}, []Candidate{used}).Index).To(Equal(None))
	g.Expect(Choose(Task{Demand: cores(1)}, nil).Index).To(Equal(None))
}

// Fast targets are nearly full, slow ones are idle and would be in time. Sent to the fast
// ones for their earlier end, tasks take the last room there that others need, and wait a
// moment later while a third of the fleet does nothing.
func TestIdleTargetsThatAreInTimeAreUsed(t *testing.T) {
	g := NewWithT(t)
	fast, slow := idle(1.8), idle(0.8)
	fast.Free = cores(3)
	task := Task{Demand: cores(2), EstimateMs: 200, RemainingMs: 380}
	g.Expect(Choose(task, []Candidate{fast, slow}).Index).To(Equal(1))
	task.RemainingMs = 250
	g.Expect(Choose(task, []Candidate{fast, slow}).Index).To(Equal(0), "the slow one would be late")
}
