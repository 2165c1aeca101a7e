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

// A job has eight tasks, the fleet one fast target and three slow ones. With all tasks on the
// fast target, the last would wait; on the slow ones alone, all would be late. Guards against
// placements that do not include the tasks placed before.
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
	g.Expect(count[0]).To(Equal(4), "the capacity of the fast target")
	g.Expect(count[1:]).To(HaveEach(BeNumerically(">", 0)))
}

// A slow target is idle and the fast one is busy. A short wait for the fast one is better than
// a run that takes almost four times as long; a long wait is not.
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

// The measured speeds of identical targets differ by a tenth, because they are derived from
// rough estimates. Guards against concentrating work on the apparently fastest target, where
// all entries that place tasks at the same moment would collide.
func TestSmallSpeedDifferencesDontConcentrateTasks(t *testing.T) {
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

// Guards against a target that fails its tasks immediately, is therefore always idle, and
// attracts all work.
func TestFailingTargetIsAvoided(t *testing.T) {
	g := NewWithT(t)
	failing, busy := idle(4), idle(1)
	failing.FailureRate = 0.5
	busy.Free, busy.WaitMs = cores(0), 100
	g.Expect(Choose(Task{Demand: cores(2), EstimateMs: 100}, []Candidate{failing, busy}).Index).To(Equal(1))
}

// The task's data is on one rack. On another one the task takes half as long again, which is
// better than a long wait but worse than none.
func TestDataLocalityIsWeighedAgainstWaiting(t *testing.T) {
	g := NewWithT(t)
	near, far := idle(1), idle(1)
	task := Task{Demand: cores(2), EstimateMs: 100, RemoteFactor: 1.5, IsLocal: func(i int) bool { return i == 1 }}
	g.Expect(Choose(task, []Candidate{far, near}).Index).To(Equal(1))
	near.Free, near.WaitMs = cores(0), 60
	g.Expect(Choose(task, []Candidate{far, near}).Index).To(Equal(0))
}

// Covers tasks that exceed every target, steps that have reached MaxPerTarget on each target, and
// an empty fleet.
func TestNoCandidate(t *testing.T) {
	g := NewWithT(t)
	used := idle(1)
	used.JobTasks = 1
	g.Expect(Choose(Task{Demand: cores(17)}, []Candidate{idle(1)}).Index).To(Equal(None))
	g.Expect(Choose(Task{Demand: cores(1), MaxPerTarget: 1}, []Candidate{used}).Index).To(Equal(None))
	g.Expect(Choose(Task{Demand: cores(1)}, nil).Index).To(Equal(None))
}

// The fast target is nearly full, the slow one is idle and would meet the objective. Guards
// against tasks that use up the last capacity of fast targets for an earlier end than needed:
// the next tasks would wait for it while a third of the fleet is idle.
func TestIdleTargetsThatAreInTimeAreUsed(t *testing.T) {
	g := NewWithT(t)
	fast, slow := idle(1.8), idle(0.8)
	fast.Free = cores(3)
	task := Task{Demand: cores(2), EstimateMs: 200, RemainingMs: 380}
	g.Expect(Choose(task, []Candidate{fast, slow}).Index).To(Equal(1))
	task.RemainingMs = 250
	g.Expect(Choose(task, []Candidate{fast, slow}).Index).To(Equal(0), "the slow target would be late")
}
