// Package waiting predicts how long a new task would wait for room on a target
// whose room is an amount of processors.
//
// The load it answers: tasks of 50 ms and of seconds share targets that are nearly
// full. The sum of queued work over the capacity is a poor prediction there: one
// long task at the head delays a target with a short queue, and a target with a
// long queue of short tasks frees room every few milliseconds. Callers notice a
// poor prediction as jobs that are let in and then late, or turned away while
// there was room. So the queue is played forward: expected ends give room back, and
// the queue takes it in its order.
package waiting

import (
	"slices"
)

// RunningTask is a running task.
type RunningTask struct {
	CPUMilli    int
	RemainingMs float64 // expected time to its end; below zero where it is overdue
}

// QueuedTask is a waiting task; they are given in the order in which they will start.
type QueuedTask struct {
	CPUMilli int
	RunMs    float64 // expected time at the target
	SlackMs  float64 // a task with less slack goes before it
}

// overdueMs is the remaining time that a task past its expected end is given: what
// is overdue ends soon as a rule, and a target on which it does not is found by
// other means.
const overdueMs = 15

// Simulator plays queues forward. It keeps its memory between calls; it is not safe
// for concurrent use.
type Simulator struct {
	ends []RunningTask // by LeftMs
}

// Predict returns, for each horizon (in rising order, in milliseconds of slack), how
// long a new task of that slack and of probe processors would wait.
func (p *Simulator) Predict(freeMilli int, running []RunningTask, queue []QueuedTask, probeMilli int, horizons []float64, waits []float64) {
	p.ends = p.ends[:0]
	for _, o := range running {
		if o.RemainingMs < overdueMs {
			o.RemainingMs = overdueMs
		}
		p.ends = append(p.ends, o)
	}
	slices.SortFunc(p.ends, byLeft)
	next := 0
	free, now := freeMilli, 0.0
	for i, horizon := range horizons {
		for next < len(queue) && queue[next].SlackMs <= horizon {
			free, now = p.start(free, now, queue[next].CPUMilli, queue[next].RunMs)
			next++
		}
		waits[i] = p.wait(free, now, probeMilli)
	}
}

func byLeft(a, b RunningTask) int {
	switch {
	case a.RemainingMs < b.RemainingMs:
		return -1
	case a.RemainingMs > b.RemainingMs:
		return 1
	}
	return 0
}

// start lets the task begin as soon as there is room, and returns what is free then.
func (p *Simulator) start(free int, now float64, cpu int, runMs float64) (int, float64) {
	for free < cpu && len(p.ends) > 0 {
		free += p.ends[0].CPUMilli
		now = max(now, p.ends[0].RemainingMs)
		p.ends = p.ends[1:]
	}
	end := RunningTask{CPUMilli: cpu, RemainingMs: now + runMs}
	at, _ := slices.BinarySearchFunc(p.ends, end, byLeft)
	p.ends = slices.Insert(p.ends, at, end)
	return free - cpu, now
}

// wait returns when there is room for a probe, without letting it begin.
func (p *Simulator) wait(free int, now float64, cpu int) float64 {
	for i := 0; free < cpu && i < len(p.ends); i++ {
		free += p.ends[i].CPUMilli
		now = max(now, p.ends[i].RemainingMs)
	}
	return now
}
