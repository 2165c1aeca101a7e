// Package admission decides at the door whether a job is let in.
//
// The pattern of load: callers bring 1.5 times what the targets can do, for
// minutes. If all of it is let in, the queue grows until every job that comes out
// of it has missed its deadline: the targets are busy with answers nobody can use
// (congestion collapse), and it goes on after the burst has ended.
//
// Why this works: work is let in only as far as the queue can be worked off in a
// short time, so what is let in is finished in time, and what is refused is
// refused at once, has not run, and is told when to come back: after the time in
// which the queue will have shrunk enough. When the queue is long, a team that
// fills more than its share of it is turned away first, so that one caller's
// burst does not shut out the others.
package admission

import "time"

const (
	// softShare and hardShare bound how long the queue may take to work off, as a
	// share of the time that the job at the door has. Jobs that come later and rank
	// before it can double the wait of a large job, and its own run comes on top.
	// Above the soft bound, teams far above their equal share are refused, and jobs
	// of which the work before them and their own exceeds it: those are the large
	// ones, so that a given excess turns away few callers, and small jobs still pass.
	// A team below its equal share is spared by both. Above the hard one, everybody
	// is refused whose own turn comes that late; an urgent job that ranks before a
	// long queue never stands in it.
	softShare = 0.2
	hardShare = 0.4
	// fairSlack is how far from its equal share towards the whole a team may fill the
	// queue before it counts as flooding. Of teams that are alike, half are above their
	// equal share at any moment, and must not be refused for that.
	fairSlack = 0.5
	// SoftQueue and HardQueue bound the same for jobs with much time. Near capacity
	// queues of several seconds come up by chance and go away again, and small jobs
	// pass them; work refused for them would be missing afterwards.
	SoftQueue = 10 * time.Second
	HardQueue = 20 * time.Second
	// OvertakeFactor allows for jobs that will come later and go first.
	OvertakeFactor = 1.5
	// MinRetry and MaxRetry bound the time to come back: below, the refusals
	// themselves become the load; above, callers stay away from a free system.
	MinRetry = 100 * time.Millisecond
	MaxRetry = 30 * time.Second
)

// Limits are what operators may set; a zero field takes the constant above.
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

// View is the state of the owner and the job at the door. Work is in
// milliseconds at speed 1.
type View struct {
	QueuedMs        float64 // unfinished work of all jobs let in
	CapacityMsPerMs float64 // work the owner gets done in a millisecond (slots x speed)
	FastestSpeed    float64 // of the fastest suitable target
	Jobs, MaxJobs   int     // jobs held, and the most that memory allows; MaxJobs 0: no limit

	RemainingMs float64       // the job's work
	LongestMs   float64       // its longest task
	AheadMs     float64       // queued work that ranks before it
	DeadlineIn  time.Duration // 0: none

	TeamQueuedMs float64 // part of QueuedMs that is of the job's team
	Teams        int     // teams with work queued, the job's own included

	Limits Limits
}

// Reason says why a job was refused.
type Reason uint8

// Reasons.
const (
	Admitted   Reason = iota
	TableFull         // as many jobs are held as memory allows
	NoCapacity        // no target is there at all
	QueueFull         // the queue is as long as can be worked off in time
	TeamShare         // the queue is long and the team fills more than its share
	TooLate           // it could not end before its deadline
)

var reasonNames = [...]string{"admitted", "table_full", "no_capacity", "queue_full", "team_share", "too_late"}

// String returns the reason's name in logs and refusals.
func (r Reason) String() string { return reasonNames[r] }

// Decision is the outcome.
type Decision struct {
	Admit      bool
	Reason     Reason
	RetryAfter time.Duration // when refused
}

// Decide lets the job in or turns it away.
func Decide(v View) Decision {
	v.Limits = v.Limits.withDefaults()
	if v.MaxJobs > 0 && v.Jobs >= v.MaxJobs {
		return refuse(TableFull, drain(v, v.QueuedMs/4))
	}
	if v.CapacityMsPerMs <= 0 {
		return refuse(NoCapacity, time.Second)
	}
	if v.DeadlineIn > 0 {
		if need := expected(v); need > v.DeadlineIn {
			return refuse(TooLate, need-v.DeadlineIn)
		}
	}
	queue, turn := drain(v, v.QueuedMs), drain(v, v.AheadMs+v.RemainingMs)
	soft, hard := v.queues()
	if queue > v.Limits.HardQueue || turn > hard {
		return refuse(QueueFull, max(queue, turn)-soft)
	}
	if queue > soft && aboveShare(v, fairSlack) {
		return refuse(TeamShare, queue-soft)
	}
	if turn > soft && aboveShare(v, 0) {
		return refuse(QueueFull, turn-soft)
	}
	return Decision{Admit: true}
}

// queues returns how long the queue may be for a job with so much time left.
func (v View) queues() (soft, hard time.Duration) {
	soft, hard = v.Limits.SoftQueue, v.Limits.HardQueue
	if v.DeadlineIn > 0 {
		soft = min(soft, time.Duration(softShare*float64(v.DeadlineIn)))
		hard = min(hard, time.Duration(hardShare*float64(v.DeadlineIn)))
	}
	return soft, hard
}

// expected is the time until the job would be done.
func expected(v View) time.Duration {
	wait := drain(v, v.AheadMs*v.Limits.OvertakeFactor)
	own := drain(v, v.RemainingMs)
	if v.FastestSpeed > 0 {
		own = max(own, time.Duration(v.LongestMs/v.FastestSpeed*float64(time.Millisecond)))
	}
	return wait + own
}

// aboveShare reports whether the job's team would fill more of the queue than its
// equal share and the part slack of the rest.
func aboveShare(v View, slack float64) bool {
	equal := 1 / float64(max(v.Teams, 1))
	return v.TeamQueuedMs+v.RemainingMs > (equal+(1-equal)*slack)*v.QueuedMs
}

// drain is how long it takes to get work done.
func drain(v View, workMs float64) time.Duration {
	if v.CapacityMsPerMs <= 0 {
		return MaxRetry
	}
	return time.Duration(min(workMs/v.CapacityMsPerMs, 1e9) * float64(time.Millisecond))
}

func refuse(r Reason, after time.Duration) Decision {
	return Decision{Reason: r, RetryAfter: min(max(after, MinRetry), MaxRetry)}
}
