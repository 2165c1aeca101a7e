// Package queuesim predicts how long a new task would wait for free capacity on a target whose
// capacity is an amount of CPU.
//
// Tasks of 50 ms and of several seconds share targets that are nearly full. The sum of queued
// work divided by the capacity is a poor prediction there: one long task at the head delays a
// target with a short queue, and a target with a long queue of short tasks frees capacity every
// few milliseconds. A poor prediction shows as jobs that are admitted and then late, or rejected
// although there was capacity. The queue is therefore simulated: running tasks release their
// capacity at their expected ends, and queued tasks take it in the order of the queue.
package queuesim

import (
	"slices"
)

// RunningTask is a running task.
type RunningTask struct {
	CPUMilli    int
	RemainingMs float64 // expected time until it ends; negative if it is overdue and nothing more is known
}

// QueuedTask is a waiting task. A queue is in the order in which its tasks will start.
type QueuedTask struct {
	CPUMilli int
	RunMs    float64 // expected run time on the target
	SlackMs  float64 // a task with less slack starts before it
}

// overdueRemainingMs is the minimum remaining time that is assumed for a running task. An
// overdue task usually ends soon; a target on which it does not is detected by other means. Where
// run times have a tail, the caller passes the expected remainder of an overdue task instead: with
// 15 ms, tasks were sent to wait behind runs that took seconds more.
const overdueRemainingMs = 15

// Simulator simulates the queue of a target. It reuses its buffer between calls; it is not
// safe for concurrent use.
type Simulator struct {
	ends []RunningTask // in rising order of RemainingMs
}

// Predict writes to waits, for each horizon, how many milliseconds a new task that needs
// probeMilli thousandths of a core would wait. A horizon is the slack of the new task in
// milliseconds, and the horizons rise; queued tasks with no more slack start before it.
// freeMilli is the capacity that is free now.
func (s *Simulator) Predict(freeMilli int, running []RunningTask, queue []QueuedTask, probeMilli int, horizons []float64, waits []float64) {
	s.ends = s.ends[:0]
	for _, task := range running {
		if task.RemainingMs < overdueRemainingMs {
			task.RemainingMs = overdueRemainingMs
		}
		s.ends = append(s.ends, task)
	}
	slices.SortFunc(s.ends, compareRemaining)
	nextQueued := 0
	free, now := freeMilli, 0.0
	for i, horizon := range horizons {
		for nextQueued < len(queue) && queue[nextQueued].SlackMs <= horizon {
			free, now = s.startTask(free, now, queue[nextQueued].CPUMilli, queue[nextQueued].RunMs)
			nextQueued++
		}
		waits[i] = s.timeUntilFree(free, now, probeMilli)
	}
}

// compareRemaining orders running tasks by their expected ends.
func compareRemaining(a, b RunningTask) int {
	switch {
	case a.RemainingMs < b.RemainingMs:
		return -1
	case a.RemainingMs > b.RemainingMs:
		return 1
	}
	return 0
}

// startTask starts a task as soon as there is capacity for it. It returns the capacity that
// is free then, and the time.
func (s *Simulator) startTask(free int, now float64, cpuMilli int, runMs float64) (int, float64) {
	for free < cpuMilli && len(s.ends) > 0 {
		free += s.ends[0].CPUMilli
		now = max(now, s.ends[0].RemainingMs)
		s.ends = s.ends[1:]
	}
	end := RunningTask{CPUMilli: cpuMilli, RemainingMs: now + runMs}
	at, _ := slices.BinarySearchFunc(s.ends, end, compareRemaining)
	s.ends = slices.Insert(s.ends, at, end)
	return free - cpuMilli, now
}

// timeUntilFree returns the time at which there is capacity for a new task, without starting
// it.
func (s *Simulator) timeUntilFree(free int, now float64, cpuMilli int) float64 {
	for i := 0; free < cpuMilli && i < len(s.ends); i++ {
		free += s.ends[i].CPUMilli
		now = max(now, s.ends[i].RemainingMs)
	}
	return now
}
