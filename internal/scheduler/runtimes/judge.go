package runtimes

import "math"

const (
	// usualHungShare is the share of hung runs that is assumed for a target without evidence. On
	// days with faults, about 5 targets of 65 hang a third of their tasks for a fifth of the time.
	usualHungShare = 0.005
	// rejectingHungShare is the least share for a target that rejects work, because most of its
	// tasks make no progress or it rejects starts.
	rejectingHungShare = 0.5
	// withinJobFactor is how far a run may differ from the others of its job: of 12,860 measured
	// runs, 98 in 100 took 0.60 to 1.57 times the median of their job.
	withinJobFactor = 1.6
	// severalRunsFactor times the level of several completed runs is the limit of another run of
	// their job. It allows for withinJobFactor and for completed runs that are the shortest ones.
	severalRunsFactor = 2
	// LongJobLevel is the ratio of its completed runs from which a job is long. With estimates off
	// by two fifths alone, 3 jobs in 1,000 would be.
	LongJobLevel = 3
	// usualLimit is the ratio past which runs are judged. Those of a target that rejects work are
	// judged earlier, and are kept up to it at most if their job is not long.
	usualLimit = 4
	// judgeAgainFactor is the growth of the ratio after which a kept run is judged again.
	judgeAgainFactor = 1.1
)

// Completed is a completed run of the same job.
type Completed struct {
	Ratio      float64 // of its run time to its expected run time
	SameTarget bool    // it ran on the target of the run that is judged
}

// Evidence is what is known about a run that is past the usual limit.
type Evidence struct {
	Ratio     float64     // of its time so far to its expected time
	Completed []Completed // runs of its job
	// AsLong holds the share of hung runs of each other target on which a run of the job, also one
	// that was stopped, has taken as long without completing; see the function AsLong.
	AsLong    []float64
	HungShare float64 // share of hung runs at its target
	Rejecting bool    // its target rejects work
	// Distribution is that of its queue.
	Distribution *Distribution
}

// Reason is the reason of a verdict.
type Reason string

// Reasons of verdicts.
const (
	// ReasonOthersUsual: other tasks of the job ended at their usual time, so it is hung.
	ReasonOthersUsual Reason = "others_usual"
	// ReasonOthersLong: tasks of the job took as long on other targets, so it is long.
	ReasonOthersLong Reason = "others_long"
	// ReasonOthersRunning: it is long, because tasks of the job have taken as long on other targets.
	ReasonOthersRunning Reason = "others_running"
	// ReasonTail: it is long, because a run of its queue is more often long than hung.
	ReasonTail Reason = "tail"
	// ReasonHungLikely: runs of its queue are seldom so long.
	ReasonHungLikely Reason = "hung_likely"
)

// Verdict is the judgement on a run.
type Verdict struct {
	Keep   bool
	Reason Reason
	// AgainAt is the ratio at which a kept run is to be judged again.
	AgainAt float64
}

// AsLong reports whether another run of a job, without an end at its ratio, has taken as long as
// a run at the ratio given.
func AsLong(other, ratio float64) bool { return other*withinJobFactor >= ratio }

// Judge tells whether a run past the usual limit is long or hung. Run time is a property of the
// job, so the completed runs of the job decide if there are any. Otherwise the run is kept if it
// is more likely long than hung. A long job takes as long in a new run, and a hung one ends
// sooner in a new run, so the new run ends sooner exactly where the run is hung. Whether it would
// be in time is for the caller to check.
func Judge(e Evidence) Verdict {
	if level, count := JobLevel(e.Completed); count > 0 {
		if level < LongJobLevel {
			return keepBelow(min(severalRunsFactor*level, usualLimit), e.Ratio, ReasonOthersUsual)
		}
		// The shortest runs complete first, so the level of one run is less certain.
		factor := withinJobFactor * withinJobFactor
		if count > 1 {
			factor = severalRunsFactor
		}
		return keepIf(e.Ratio <= factor*level, e.Ratio, ReasonOthersLong)
	}
	hung := max(e.HungShare, usualHungShare)
	if e.Rejecting {
		hung = max(hung, rejectingHungShare)
	}
	reason := ReasonTail
	// At a target that rejects work, the limit is so early that runs of many jobs are as long.
	// Without a tail they are stopped as before.
	if len(e.AsLong) > 0 && (!e.Rejecting || e.Distribution.HasTail()) {
		// Only the soundest of the other targets counts: several targets may hang for one cause,
		// so that a third and a fourth one prove little more.
		soundest := e.AsLong[0]
		for _, share := range e.AsLong {
			soundest = min(soundest, share)
		}
		hung *= max(soundest, usualHungShare)
		reason = ReasonOthersRunning
	}
	return keepIf(e.Distribution.Survival(e.Ratio) > hung, e.Ratio, reason)
}

// keepBelow keeps a run up to a limit; a longer one is hung for the reason given.
func keepBelow(limit, ratio float64, reason Reason) Verdict {
	if ratio > limit {
		return Verdict{Reason: reason}
	}
	return Verdict{Keep: true, Reason: ReasonOthersLong, AgainAt: min(ratio*judgeAgainFactor, limit)}
}

func keepIf(keep bool, ratio float64, reason Reason) Verdict {
	if !keep {
		return Verdict{Reason: ReasonHungLikely}
	}
	return Verdict{Keep: true, Reason: reason, AgainAt: ratio * judgeAgainFactor}
}

// JobLevel returns the ratio that the completed runs of a job indicate: their geometric mean, but
// no more than the shortest of them permits. A long run on the target of the judged run does not
// count, because that target may be slow; a usual one shows on any target that the job is not
// long.
func JobLevel(completed []Completed) (level float64, count int) {
	sum, shortest := 0.0, math.Inf(1)
	for _, c := range completed {
		if c.SameTarget && c.Ratio >= LongRatio {
			continue
		}
		sum += math.Log(max(c.Ratio, ratioUnit))
		shortest = min(shortest, c.Ratio)
		count++
	}
	if count == 0 {
		return 0, 0
	}
	return min(math.Exp(sum/float64(count)), withinJobFactor*shortest), count
}

// HungShare is the share of hung runs at a target, in which recent runs count more. The zero
// HungShare has no evidence.
type HungShare struct{ share float64 }

// hungWeight is the weight of one run in a HungShare: one in three hung runs shows after six.
const hungWeight = 0.1

// Record adds a run that completed or was judged hung.
func (h *HungShare) Record(hung bool) {
	if hung {
		h.share += hungWeight * (1 - h.share)
		return
	}
	h.share -= hungWeight * h.share
}

// Value returns the share, which is at least that of a target without evidence.
func (h *HungShare) Value() float64 { return max(h.share, usualHungShare) }

// SlowTarget reports whether a completed run is long because of its target: the other completed
// runs of its job do not take as long. Such a run says nothing about the queue.
func SlowTarget(ratio float64, others []Completed) bool {
	level, count := JobLevel(others)
	return ratio >= LongRatio && count > 0 && severalRunsFactor*level < ratio
}
