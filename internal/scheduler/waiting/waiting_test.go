package waiting

import (
	"testing"

	. "github.com/onsi/gomega"
)

func predict(free int, running []RunningTask, queue []QueuedTask) []float64 {
	var p Simulator
	waits := make([]float64, 2)
	p.Predict(free, running, queue, 4, []float64{100, 1e9}, waits)
	return waits
}

// There is room and nobody waits.
func TestNoWaitWhereThereIsRoom(t *testing.T) {
	NewWithT(t).Expect(predict(4, []RunningTask{{4, 500}}, nil)).To(Equal([]float64{0, 0}))
}

// A long task at the head delays a target whose queue is short. By the sum of its work
// the queue would seem to be over in no time, and urgent tasks would come too late.
func TestLongTasksHoldTheRoom(t *testing.T) {
	g := NewWithT(t)
	waits := predict(0, []RunningTask{{4, 900}, {4, 800}}, []QueuedTask{{CPUMilli: 4, RunMs: 60, SlackMs: 50}})
	g.Expect(waits[0]).To(Equal(860.0), "after the one that waits")
}

// Urgent tasks overtake: one with little slack waits for those before it only.
func TestSlackDecidesWhoIsBefore(t *testing.T) {
	g := NewWithT(t)
	running := []RunningTask{{4, 30}}
	waits := predict(0, running, []QueuedTask{{CPUMilli: 4, RunMs: 900, SlackMs: 5000}})
	g.Expect(waits[0]).To(Equal(30.0))
	g.Expect(waits[1]).To(Equal(930.0))
}

// A task is past its expected end. It is expected to end soon, not in the past: two
// waits would come out below zero and the target as the best of all.
func TestOverdueTasksEndSoon(t *testing.T) {
	NewWithT(t).Expect(predict(0, []RunningTask{{4, -300}}, nil)[0]).To(Equal(float64(overdueMs)))
}

// Nothing is known that would ever give room back.
func TestNoEnds(t *testing.T) {
	NewWithT(t).Expect(predict(0, nil, nil)).To(Equal([]float64{0, 0}))
}
