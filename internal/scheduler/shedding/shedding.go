// Package shedding selects admitted jobs that can no longer be done before their deadline.
//
// After jobs were admitted, half of the targets may leave, or declared run times may turn out
// ten times too short. The queue is then longer than its deadlines allow. If it is served in
// order, targets work on answers that come too late, the jobs behind become late in turn, and
// callers learn of it only at their deadline.
//
// Instead, a job that has not started and whose turn would come too late is answered at once,
// as not run: the caller can react, and the jobs behind it wait for less work. A job that has
// started is kept while it can still end in time, because dropping it wastes the work done;
// it is shed only when even a free target of the highest speed could not finish it, since
// each further task of it would be waste.
package shedding

import "time"

// WaitTolerance is the multiple of its remaining time that a job's expected wait must exceed
// before the job is shed. Waits are estimates, and shedding cannot be undone, whereas a job
// that turns out to be late is shed by the next call of Pick.
const WaitTolerance = 1.5

// Job is a waiting job.
type Job struct {
	RemainingMs float64       // estimated run time of the unfinished tasks, at speed 1
	LongestMs   float64       // estimated run time of the longest unfinished task, at speed 1
	Started     bool          // a task of it has been sent to a target
	DeadlineIn  time.Duration // time until the deadline; negative when it has passed
}

// Reason is the reason for shedding a job.
type Reason uint8

// Reasons for shedding a job; Keep: it is not shed.
const (
	Keep        Reason = iota
	Infeasible         // not even a free target of the highest speed could finish it in time
	WaitTooLong        // too much work is ahead of it
)

var reasonNames = [...]string{"keep", "hopeless", "behind"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// Decision is a job to shed, by its index among the jobs, with the reason.
type Decision struct {
	Index  int
	Reason Reason
}

// Fleet is the capacity that serves the jobs.
type Fleet struct {
	CapacityMsPerMs float64 // work at speed 1 done in a millisecond (slots x speed)
	FastestSpeed    float64 // highest speed among the targets; 0: there is none
}

// Pick appends the jobs to shed to dst and returns it. The jobs must be in the order in which
// they will be served. The work of shed jobs does not count for the jobs behind them.
func Pick(f Fleet, jobs []Job, dst []Decision) []Decision {
	aheadMs := 0.0
	for i, j := range jobs {
		r := evaluate(f, j, aheadMs)
		if r != Keep {
			dst = append(dst, Decision{i, r})
			continue
		}
		aheadMs += j.RemainingMs
	}
	return dst
}

// evaluate returns why the job with aheadMs of work ahead of it is shed, or Keep.
func evaluate(f Fleet, j Job, aheadMs float64) Reason {
	deadlineInMs := float64(j.DeadlineIn) / float64(time.Millisecond)
	if MissesDeadline(j, f.FastestSpeed) {
		return Infeasible
	}
	if j.Started || f.CapacityMsPerMs <= 0 {
		return Keep
	}
	waitMs := aheadMs / f.CapacityMsPerMs
	if waitMs > deadlineInMs*WaitTolerance {
		return WaitTooLong
	}
	return Keep
}

// MissesDeadline reports whether the job cannot end in time even on free targets of the given
// speed. Without a target (speed 0) only a job past its deadline misses it.
func MissesDeadline(j Job, fastestSpeed float64) bool {
	if j.DeadlineIn <= 0 {
		return true
	}
	if fastestSpeed <= 0 {
		return false
	}
	// Estimates are typically off by a factor of e: a job is given up only if even a run
	// three times shorter than estimated would end too late.
	const minEstimateShare = 1.0 / 3
	deadlineInMs := float64(j.DeadlineIn) / float64(time.Millisecond)
	return j.LongestMs/fastestSpeed*minEstimateShare > deadlineInMs
}
