// Package shedding picks jobs that were let in and can't be done in time any
// more.
//
// The pattern of load: half of the targets leave, or declared run times turn out
// ten times too short, after jobs were let in. The queue is then longer than the
// deadlines in it allow. Served in order, targets work on answers that come too
// late, those behind become late in turn, and callers learn of it only at their
// deadline.
//
// Why this works: a job that has not begun and whose turn would come too late is
// answered now, as not run, so the caller can act and the work ahead shrinks for
// the rest. A job that has begun is kept while it can still end in time, because
// dropping it wastes what has run; it is given up only when even a free fast
// target could not finish it, since every further task of it is waste.
package shedding

import "time"

// WaitTolerance is how much longer than its time left a job's wait must look before it is
// shed. Waits are estimates, and a shed job can't be taken back, whereas a late
// one is shed at the next look.
const WaitTolerance = 1.5

// Job is a waiting job. Work is in milliseconds at speed 1.
type Job struct {
	RemainingMs float64
	LongestMs   float64
	Started     bool          // a task of it was sent
	DeadlineIn  time.Duration // time left, negative when past
}

// Reason says why a job is shed.
type Reason uint8

// Reasons.
const (
	Keep        Reason = iota
	Infeasible         // no free target could finish it in time
	WaitTooLong        // too much work goes before it
)

var reasonNames = [...]string{"keep", "hopeless", "behind"}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// Decision names a job to be shed by its index.
type Decision struct {
	Index  int
	Reason Reason
}

// Fleet is what can serve the jobs.
type Fleet struct {
	CapacityMsPerMs float64 // work done in a millisecond (slots x speed)
	FastestSpeed    float64
}

// Pick appends to dst the jobs to shed. The jobs must be in the order in which
// they will be served. Work of shed jobs does not count for those behind them.
func Pick(f Fleet, jobs []Job, dst []Decision) []Decision {
	aheadMs := 0.0
	for i, j := range jobs {
		r := judge(f, j, aheadMs)
		if r != Keep {
			dst = append(dst, Decision{i, r})
			continue
		}
		aheadMs += j.RemainingMs
	}
	return dst
}

func judge(f Fleet, j Job, aheadMs float64) Reason {
	leftMs := float64(j.DeadlineIn) / float64(time.Millisecond)
	if MissesDeadline(j, f.FastestSpeed) {
		return Infeasible
	}
	if j.Started || f.CapacityMsPerMs <= 0 {
		return Keep
	}
	waitMs := aheadMs / f.CapacityMsPerMs
	if waitMs > leftMs*WaitTolerance {
		return WaitTooLong
	}
	return Keep
}

// MissesDeadline reports whether the job can't end in time even on free targets of the
// given speed. Without a target, only a passed deadline is late.
func MissesDeadline(j Job, fastestSpeed float64) bool {
	if j.DeadlineIn <= 0 {
		return true
	}
	if fastestSpeed <= 0 {
		return false
	}
	// Estimates err by a factor of e: a task is given up only where even a run
	// three times shorter than estimated would end too late.
	const leastOfEstimate = 1.0 / 3
	leftMs := float64(j.DeadlineIn) / float64(time.Millisecond)
	return j.LongestMs/fastestSpeed*leastOfEstimate > leftMs
}
