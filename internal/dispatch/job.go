package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/routing"
)

// Step is a number of like tasks of a job.
type Step struct {
	Count        int
	Demand       job.Demand
	Estimate     time.Duration // of one task at speed 1; rough
	DependsOn    []int         // earlier steps that must be done first
	Label        string        // that a target must have; empty: any
	DataRack     string        // where its data lies; empty: anywhere
	MaxPerTarget int           // tasks of the step on one target; 0: no bound
}

// Job is a submission whose answer is its one record: it is not stored, its caller
// waits for it, and asks again with the same id where the answer is lost.
type Job struct {
	ID            string
	Queue         *routing.Queue
	ConfigVersion uint64 // of the configuration that the queue is from
	Spec          string // passed on to the target
	Steps         []Step
	Timeout       time.Duration // how long the caller waits, from its request on
	Deadline      time.Time     // when that is over, by the clock of the control state
}

// JobState is how a job stands.
type JobState uint8

// States. Completed and Failed are final.
const (
	Queued JobState = iota + 1
	Active
	Completed
	Failed
	Cancelled
)

// AnswerKind says what an answer means.
type AnswerKind uint8

// Kinds of answers.
const (
	AnswerComplete AnswerKind = iota + 1 // every task is done
	AnswerFailed                         // a task has failed as often as it may
	AnswerNotRun                         // nothing of the job has run or will
	AnswerUnknown                        // given up; something of it may have run
)

// Answer is a job's one final answer.
type Answer struct {
	Kind       AnswerKind
	Fault      *fault.Fault  // for AnswerNotRun and AnswerUnknown, and AnswerFailed without a task's failures
	RetryAfter time.Duration // for AnswerNotRun: when it is worth coming back
}

// AnswerFunc receives a job's answer. It is called once, on the control goroutine, and
// must not block.
type AnswerFunc func(Answer)

// chains returns, for each step, the longest chain of estimated work from its start
// to the end of the job, and the longest of all.
func (j *Job) chains() (tails []time.Duration, longest time.Duration) {
	tails = make([]time.Duration, len(j.Steps))
	for s := len(j.Steps) - 1; s >= 0; s-- {
		tails[s] += j.Steps[s].Estimate
		longest = max(longest, tails[s])
		for _, before := range j.Steps[s].DependsOn {
			tails[before] = max(tails[before], tails[s])
		}
	}
	return tails, longest
}

// TaskCount returns the number of tasks.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

type taskState uint8

const (
	taskBlocked taskState = iota // a step before it is not done
	taskWaiting
	taskPlaced
	taskDone
)

// task is one task of a live job.
type task struct {
	step, index int
	state       taskState
	attempt     *attempt // while placed
	moves       int      // times that it came back because its target was more crowded than thought
	failures    int
	failedAt    []ConnID // agents on whose targets it failed
}

// attempt is one order, until its outcome is known.
type attempt struct {
	seq      uint64
	run      uint64
	agent    *agent // nil once its session has ended
	job      *liveJob
	task     *task
	placedAt time.Time
	// expected is how long it was predicted to take, waiting included.
	expected time.Duration
	room     bool      // the target had room for it: it has begun, as far as is known
	movedAt  time.Time // when it was called back because it takes too long
	// overAt is when the run is over at the latest, for an attempt whose session has
	// ended.
	overAt time.Time
}

// liveJob is a job whose answer, or whose last attempt, is outstanding.
type liveJob struct {
	*Job           // with corrected estimates
	asSent    *Job // with the caller's own
	arrived   time.Time
	objective time.Time // by when the caller wants the answer
	late      time.Time // after it, an answer is worth nothing to the caller
	tails     []time.Duration
	tasks     []task
	left      []int // tasks not done, by step
	undone    int
	open      int // attempts without an outcome
	mayHave   bool
	answered  bool
	ending    bool // given up; the answer waits for proof that nothing ran
	endBy     time.Time
	endFault  *fault.Fault
	waiters   []AnswerFunc
	runOffset uint64      // added to run numbers, where a target has seen higher ones
	next      *pendingJob // came again while attempts of this one are open
	last      lastTask    // of those that are done
	answer    Answer
	keepUntil time.Time
}

// lastTask is where the time of the task went that was done last: as a rule it is what the
// answer waited for.
type lastTask struct {
	at            *attempt
	host          string
	speed         float64 // as the agent reported it
	waitMs, runMs float64 // in the agent's queue, and at the target
}

// pendingJob is a job that came again and waits for the runs of its first coming to
// be over.
type pendingJob struct {
	job    *Job
	waiter AnswerFunc
	since  time.Time
}
