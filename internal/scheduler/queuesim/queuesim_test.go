package queuesim

import (
	"testing"

	. "github.com/onsi/gomega"
)

func predict(free int, running []RunningTask, queue []QueuedTask) []float64 {
	var s Simulator
	waits := make([]float64, 2)
	s.Predict(free, running, queue, 4, []float64{100, 1e9}, waits)
	return waits
}

// A target with free capacity and an empty queue has no wait.
func TestNoWaitWithFreeCapacity(t *testing.T) {
	NewWithT(t).Expect(predict(4, []RunningTask{{4, 500}}, nil)).To(Equal([]float64{0, 0}))
}

// Guards against a prediction by the sum of queued work: a long task at the head delays a
// target with a short queue, and urgent tasks sent there would be late.
func TestLongTasksHoldCapacity(t *testing.T) {
	g := NewWithT(t)
	waits := predict(0, []RunningTask{{4, 900}, {4, 800}}, []QueuedTask{{CPUMilli: 4, RunMs: 60, SlackMs: 50}})
	g.Expect(waits[0]).To(Equal(860.0), "after the queued task")
}

// A task with little slack overtakes the others: it waits only for queued tasks with no more
// slack.
func TestTasksWithLessSlackStartFirst(t *testing.T) {
	g := NewWithT(t)
	running := []RunningTask{{4, 30}}
	waits := predict(0, running, []QueuedTask{{CPUMilli: 4, RunMs: 900, SlackMs: 5000}})
	g.Expect(waits[0]).To(Equal(30.0))
	g.Expect(waits[1]).To(Equal(930.0))
}

// A task past its expected end must be expected to end soon, not in the past: waits below
// zero would make its target the preferred one.
func TestOverdueTasksAreExpectedToEndSoon(t *testing.T) {
	NewWithT(t).Expect(predict(0, []RunningTask{{4, -300}}, nil)[0]).To(Equal(float64(overdueRemainingMs)))
}

// Without running tasks no end is known that would release capacity; the wait is 0.
func TestNoRunningTasks(t *testing.T) {
	NewWithT(t).Expect(predict(0, nil, nil)).To(Equal([]float64{0, 0}))
}
