// Package queueing decides in which order waiting jobs get free slots.
//
// The pattern of load: jobs of one task and jobs of 290 tasks arrive together,
// at 80 to 95 % of what the targets can do. First come, first served makes the
// many small jobs wait behind the few large ones: the median response grows to
// several times the ideal although the targets have room, and callers see
// short checks return after the valve has opened.
//
// Why this works: what users weigh is response over the job's own ideal, and the
// sum of weighted completion times on a shared resource is smallest when work is
// taken in the order of work divided by weight (Smith's rule). The weight of a
// job is one over its ideal, so the order is remaining work times longest task.
// The rank is the square root of that product, which keeps the order and makes
// it a time. Remaining work only falls while a job runs, so a job that has begun
// moves forward and is finished rather than left half done.
//
// The order alone would starve large jobs under a steady stream of small ones.
// So each job's time of arrival is added to its rank: a job of size s is never
// overtaken by one that arrives more than AgeingFactor times s later. The term
// does not depend on the present time, hence two ranks compare the same for ever
// and a heap stays valid without being rebuilt.
package queueing

import (
	"math"
	"time"
)

// AgeingFactor is how many milliseconds of waiting weigh as much as one
// millisecond of size. Too small and the order becomes first come, first served;
// too large and a large job waits for as long as small ones keep coming.
const AgeingFactor = 2

// MaxOvertakeShare is the share of a job's time, from its arrival to its deadline,
// during which later jobs may go before it. Under saturation small jobs never stop
// coming, and a large job with a short deadline would age too slowly: it is begun,
// overtaken until its deadline and given up, and all that ran of it is wasted.
// The bound is approached smoothly, so that jobs near it keep their order by size;
// cut off sharply, most jobs with tight deadlines would be served first come first.
const MaxOvertakeShare = 0.8

// maxSizeMs caps the size of a job in a rank, so that an absurd declaration
// can't overflow it: 290 tasks of one hour.
const maxSizeMs = 290 * 3600 * 1000

// Job is what the order looks at.
type Job struct {
	RemainingMs float64 // estimated run time of the tasks not yet finished, at speed 1
	LongestMs   float64 // estimated run time of its longest unfinished task, at speed 1
	Arrived     time.Time
	Deadline    time.Time
}

// Policy is a rule for the order.
type Policy int

// Policies. FCFS is kept as a baseline for comparison.
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

// Rank returns the job's place in the order, in milliseconds on the scale of
// Unix time; the lower goes first. It depends on the job only, not on the
// present time.
func (p Policy) Rank(j Job) int64 {
	arrived := j.Arrived.UnixMilli()
	if p == FCFS {
		return arrived
	}
	return arrived + int64(bounded(AgeingFactor*sizeMs(j), j))
}

// bounded keeps how far a job stands behind later ones below MaxOvertakeShare of its
// time.
func bounded(behindMs float64, j Job) float64 {
	if j.Deadline.IsZero() {
		return behindMs
	}
	mostMs := MaxOvertakeShare * max(j.Deadline.Sub(j.Arrived).Seconds()*1000, 1)
	return behindMs * mostMs / (behindMs + mostMs)
}

func sizeMs(j Job) float64 {
	size := math.Sqrt(max(j.RemainingMs, 0) * max(j.LongestMs, 0))
	return min(size, maxSizeMs)
}
