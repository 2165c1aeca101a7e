// Package queueing decides the order in which waiting jobs get free slots.
//
// Jobs of one task and jobs of 290 tasks arrive together, at 80 to 95 % of the capacity of
// the targets. First come, first served makes the many small jobs wait behind the few large
// ones: the median response grows to several times the ideal although the targets have free
// capacity, and short checks return after the valve they are for has opened.
//
// Users judge the response relative to the ideal response of the job, and the sum of weighted
// completion times on a shared resource is smallest when work is served in the order of
// work divided by weight (Smith's rule). The weight of a job is one over its ideal, so the
// order is remaining work times longest task. The rank is the square root of that product,
// which keeps the order and has the unit of time. The remaining work only decreases while a
// job runs, so a job that has started moves forward and is finished rather than left half
// done.
//
// This order alone would starve large jobs under a steady stream of small ones. The arrival
// time of each job is therefore added to its rank: a job of size s is never overtaken by
// one that arrives more than AgeingFactor times s later. The term does not depend on the
// present time, so the order of two ranks never changes and a heap stays valid without
// being rebuilt.
package queueing

import (
	"math"
	"time"
)

// AgeingFactor is the number of milliseconds of waiting that compensate for one millisecond
// of size. If it is too small the order becomes first come, first served; if it is too large
// a large job waits for as long as small ones arrive.
const AgeingFactor = 2

// MaxOvertakeShare is the share of the time between a job's arrival and its deadline during
// which later jobs may overtake it. Under saturation small jobs arrive without end, and a
// large job with a short deadline would age too slowly: it would be started, overtaken until
// its deadline and abandoned, and all the work done for it would be wasted. The bound is
// approached smoothly, so that jobs near it keep their order by size; with a sharp cutoff
// most jobs with tight deadlines would be served first come, first served.
const MaxOvertakeShare = 0.8

// maxSizeMs caps the size of a job at 290 tasks of one hour, so that an absurd declaration
// cannot overflow the rank.
const maxSizeMs = 290 * 3600 * 1000

// Job holds the properties of a job that determine its rank.
type Job struct {
	RemainingMs float64 // estimated run time of the unfinished tasks, at speed 1
	LongestMs   float64 // estimated run time of its longest unfinished task, at speed 1
	Arrived     time.Time
	Deadline    time.Time
}

// Policy is a queueing policy.
type Policy int

// Policies. FCFS, first come first served, is a baseline for comparison.
const (
	LeastWork Policy = iota
	FCFS
)

// String returns the policy's name in settings.
func (p Policy) String() string {
	if p == FCFS {
		return "first-come"
	}
	return "least-work"
}

// Rank returns the rank of the job in milliseconds of Unix time; the lowest rank is served
// first. It depends on the job only, not on the present time.
func (p Policy) Rank(j Job) int64 {
	arrived := j.Arrived.UnixMilli()
	if p == FCFS {
		return arrived
	}
	return arrived + int64(boundDelay(AgeingFactor*sizeMs(j), j))
}

// boundDelay limits the delay that a job's size adds to its arrival time to
// MaxOvertakeShare of the time until its deadline.
func boundDelay(delayMs float64, j Job) float64 {
	if j.Deadline.IsZero() {
		return delayMs
	}
	maxMs := MaxOvertakeShare * max(j.Deadline.Sub(j.Arrived).Seconds()*1000, 1)
	return delayMs * maxMs / (delayMs + maxMs)
}

// sizeMs is the size of the job in milliseconds, by which LeastWork orders jobs.
func sizeMs(j Job) float64 {
	size := math.Sqrt(max(j.RemainingMs, 0) * max(j.LongestMs, 0))
	return min(size, maxSizeMs)
}
