// Package admission implements admission control: it accepts or refuses a job on arrival.
//
// Without it, an offered load of 1.5 times the capacity of the targets for some minutes
// causes congestion collapse. The queue grows until every job leaves it after its
// deadline, the targets compute answers that no caller can use, and this continues after
// the burst has ended.
//
// Jobs are admitted only while the queue can be drained in a short time, so admitted jobs
// meet their deadlines. A refused job is refused before any of it has run, with a
// Retry-After that covers the time in which the queue shrinks enough. When the queue is
// long, jobs of teams that exceed their share of it are refused first, so that the burst
// of one caller does not exclude the others.
package admission

import "time"

const (
	// softDeadlineShare and hardDeadlineShare bound the drain time of the queue as a share
	// of the time until the arriving job's deadline. They are well below 1 because later
	// arrivals that rank higher can double the wait of a large job, and its own run time
	// is added to that wait.
	// Above the soft bound, jobs of teams far above their equal share are refused, and so
	// are jobs for which the work ahead plus their own exceeds the bound. The latter are
	// the large ones, so that a given excess is removed by refusing few callers and small
	// jobs are still admitted. Neither rule applies to a team below its equal share.
	// Above the hard bound, every job is refused for which the work ahead plus its own
	// takes that long; an urgent job that ranks ahead of a long queue is not affected.
	softDeadlineShare = 0.2
	hardDeadlineShare = 0.4
	// fairShareTolerance is the part of the queue beyond a team's equal share, as a fraction
	// of the rest of the queue, that the team may fill before its jobs are refused. Of teams
	// with equal load, half are above their equal share at any moment and must not be
	// refused for that.
	fairShareTolerance = 0.5
	// SoftQueue and HardQueue are the same bounds as absolute times, for jobs with a distant
	// deadline or none. While the whole queue exceeds HardQueue, every job is refused. Near
	// capacity, queues of several seconds form and dissolve by
	// chance, and small jobs overtake them; refusing work because of them would leave the
	// targets idle later.
	SoftQueue = 10 * time.Second
	HardQueue = 20 * time.Second
	// OvertakeFactor scales the expected wait to allow for later arrivals that rank higher.
	OvertakeFactor = 1.5
	// MinRetry and MaxRetry bound Decision.RetryAfter. With a shorter time the retries
	// themselves overload the service; with a longer one callers stay away after capacity
	// is available again.
	MinRetry = 100 * time.Millisecond
	MaxRetry = 30 * time.Second
)

// Limits are the bounds that operators can configure. A zero field stands for the constant
// of the same name.
type Limits struct {
	SoftQueue, HardQueue time.Duration
	OvertakeFactor       float64
}

func (l Limits) withDefaults() Limits {
	if l.SoftQueue == 0 {
		l.SoftQueue = SoftQueue
	}
	if l.HardQueue == 0 {
		l.HardQueue = HardQueue
	}
	if l.OvertakeFactor == 0 {
		l.OvertakeFactor = OvertakeFactor
	}
	return l
}

// View is the input of Decide: the load of the owner and the arriving job. Work is in
// milliseconds of run time on a target of speed 1.
type View struct {
	QueuedMs        float64 // unfinished work of all admitted jobs
	CapacityMsPerMs float64 // work completed per millisecond (slots x speed)
	FastestSpeed    float64 // speed of the fastest suitable target
	Jobs, MaxJobs   int     // current jobs and the memory limit on them; MaxJobs 0: no limit

	RemainingMs float64       // total work of the job
	LongestMs   float64       // work of its longest task
	AheadMs     float64       // queued work that ranks ahead of the job
	DeadlineIn  time.Duration // time until the job's deadline; 0: no deadline

	TeamQueuedMs float64 // part of QueuedMs that belongs to the job's team
	Teams        int     // teams with queued work, including the job's own

	Limits Limits
}

// Reason is the cause of a refusal.
type Reason uint8

// Reasons.
const (
	Admitted   Reason = iota
	TableFull         // the job table has reached its memory limit
	NoCapacity        // no target is available
	QueueFull         // the work ahead of the job, or the whole queue, takes too long
	TeamShare         // the queue is long and the team exceeds its share of it
	TooLate           // the job is not expected to complete before its deadline
)

var reasonNames = [...]string{"admitted", "table_full", "no_capacity", "queue_full", "team_share", "too_late"}

// String returns the name of the reason in logs and in refusals to callers.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // set if refused; from MinRetry to MaxRetry
}

// Decide admits or refuses the arriving job.
func Decide(v View) Decision {
	v.Limits = v.Limits.withDefaults()
	if v.MaxJobs > 0 && v.Jobs >= v.MaxJobs {
		return refuse(TableFull, drainTime(v, v.QueuedMs/4))
	}
	if v.CapacityMsPerMs <= 0 {
		return refuse(NoCapacity, time.Second)
	}
	if v.DeadlineIn > 0 {
		if need := expectedCompletion(v); need > v.DeadlineIn {
			return refuse(TooLate, need-v.DeadlineIn)
		}
	}
	queue, turnaround := drainTime(v, v.QueuedMs), drainTime(v, v.AheadMs+v.RemainingMs)
	soft, hard := v.queueLimits()
	if queue > v.Limits.HardQueue || turnaround > hard {
		return refuse(QueueFull, max(queue, turnaround)-soft)
	}
	if queue > soft && aboveShare(v, fairShareTolerance) {
		return refuse(TeamShare, queue-soft)
	}
	if turnaround > soft && aboveShare(v, 0) {
		return refuse(QueueFull, turnaround-soft)
	}
	return Decision{Admit: true}
}

// queueLimits returns the bounds on the drain time that apply to the job's deadline.
func (v View) queueLimits() (soft, hard time.Duration) {
	soft, hard = v.Limits.SoftQueue, v.Limits.HardQueue
	if v.DeadlineIn > 0 {
		soft = min(soft, time.Duration(softDeadlineShare*float64(v.DeadlineIn)))
		hard = min(hard, time.Duration(hardDeadlineShare*float64(v.DeadlineIn)))
	}
	return soft, hard
}

// expectedCompletion returns the expected time until the job completes if admitted: the
// scaled wait plus its run time, which its longest task bounds from below.
func expectedCompletion(v View) time.Duration {
	wait := drainTime(v, v.AheadMs*v.Limits.OvertakeFactor)
	own := drainTime(v, v.RemainingMs)
	if v.FastestSpeed > 0 {
		own = max(own, time.Duration(v.LongestMs/v.FastestSpeed*float64(time.Millisecond)))
	}
	return wait + own
}

// aboveShare reports whether the job's team would fill more of the queue than its equal
// share plus the fraction tolerance of the rest.
func aboveShare(v View, tolerance float64) bool {
	equal := 1 / float64(max(v.Teams, 1))
	return v.TeamQueuedMs+v.RemainingMs > (equal+(1-equal)*tolerance)*v.QueuedMs
}

// drainTime returns how long the owner takes to complete workMs of work, or MaxRetry if it
// has no capacity.
func drainTime(v View, workMs float64) time.Duration {
	if v.CapacityMsPerMs <= 0 {
		return MaxRetry
	}
	return time.Duration(min(workMs/v.CapacityMsPerMs, 1e9) * float64(time.Millisecond))
}

func refuse(r Reason, after time.Duration) Decision {
	return Decision{Reason: r, RetryAfter: min(max(after, MinRetry), MaxRetry)}
}
