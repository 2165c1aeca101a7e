package dispatch

import (
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/routing"
)

// Step is a group of identical tasks of a job.
type Step struct {
	Count        int
	Demand       job.Demand
	Estimate     time.Duration // run time of one task on a target of speed 1; rough
	DependsOn    []int         // indexes of earlier steps that must be done before this one starts
	Label        string        // label that a target must have; empty: any target
	DataRack     string        // label of the rack with its data; empty: no preference
	MaxPerTarget int           // limit on tasks of the step on one target, counting open tasks of other steps; 0: no limit
}

// Job is a submission. It is never stored: the caller waits for the answer, and sends
// the job again with the same ID if the answer is lost.
type Job struct {
	ID            string
	Queue         *routing.Queue
	ConfigVersion uint64 // version of the configuration that defines Queue
	Spec          string // passed to the target unchanged
	Steps         []Step
	Timeout       time.Duration // how long the caller waits, counted from its request
	Deadline      time.Time     // end of Timeout, by the clock of the control state
	Held          time.Duration // how long it has waited for the configuration; its objective counts from before that
}

// JobState is the state of a job.
type JobState uint8

// States of a job. Completed and Failed are final.
const (
	Queued JobState = iota + 1
	Active
	Completed
	Failed
	Cancelled
)

// AnswerKind is the outcome that an answer reports.
type AnswerKind uint8

// Kinds of answers.
const (
	AnswerComplete AnswerKind = iota + 1 // every task succeeded
	AnswerFailed                         // a task failed the maximum number of times, or crashes its targets
	AnswerNotRun                         // no task of the job has run or will run
	AnswerUnknown                        // the job was given up or cancelled; some of it may have run
)

// Answer is the single final answer to a job.
type Answer struct {
	Kind       AnswerKind
	Fault      *fault.Fault  // for AnswerNotRun and AnswerUnknown, and for AnswerFailed if no task used up its attempts
	RetryAfter time.Duration // for AnswerNotRun: how long the caller should wait before it retries
}

// AnswerFunc receives a job's answer. It is called once, on the control goroutine, and
// must not block.
type AnswerFunc func(Answer)

// Caller is the side of a request for a job that waits for the answer. Each request has one of its own.
type Caller struct {
	// WaitingAt returns the latest time at which the caller is known to have waited, or that it has left.
	// It is called on the control goroutine and must not block. nil: the caller counts as waiting until
	// it is abandoned.
	WaitingAt func(now time.Time) (at time.Time, left bool)

	answer AnswerFunc
	job    *liveJob // nil: not submitted
	left   bool     // the control state has counted it as left
}

// waitingAt returns the latest time at which the caller is known to have waited, or that it has left.
func (c *Caller) waitingAt(now time.Time) (at time.Time, left bool) {
	if c.WaitingAt == nil {
		return now, false
	}
	return c.WaitingAt(now)
}

// criticalPaths returns, for each step, the estimated length of the longest dependency
// path from the start of the step to the end of the job, and the longest of all.
func (j *Job) criticalPaths() (paths []time.Duration, longest time.Duration) {
	paths = make([]time.Duration, len(j.Steps))
	for s := len(j.Steps) - 1; s >= 0; s-- {
		paths[s] += j.Steps[s].Estimate
		longest = max(longest, paths[s])
		for _, dependency := range j.Steps[s].DependsOn {
			paths[dependency] = max(paths[dependency], paths[s])
		}
	}
	return paths, longest
}

// TaskCount returns the number of tasks in all steps.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Memory of a task with an order, and of a step without its strings and lists.
const (
	taskBytes = 256
	stepBytes = 160
)

// memoryBytes returns the approximate memory of a job that is admitted.
func (j *Job) memoryBytes() int64 {
	n := len(j.Spec)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += s.Count*taskBytes + stepBytes + len(s.Label) + len(s.DataRack) + 8*len(s.DependsOn)
	}
	return int64(n)
}

type taskState uint8

const (
	taskBlocked taskState = iota // a step that it depends on is not done
	taskWaiting
	taskPlaced
	taskReserved // at the agents of its reservations
	taskDone
)

// task is the state of one task of a job.
type task struct {
	step, index    int
	state          taskState
	attempt        *attempt      // the current order while placed, else nil
	crowdedReturns int           // times it came back because its wait would have been longer than predicted
	reserved       *reservedTask // while it is reserved, else nil
	failures       int
	failedAt       []ConnID // sessions of the agents on whose targets it failed
	// doneRatio is the run time of its completed run over the expected one, and doneOn the session
	// of its agent; 0 while there is none. stoppedRatio and stoppedOn are the same for the last
	// run that was judged hung.
	doneRatio, stoppedRatio float64
	doneOn, stoppedOn       ConnID
}

// attempt is one order for a task, until its outcome is known.
type attempt struct {
	seq      uint64 // of the order in the agent's session
	run      uint64 // run number
	agent    *agent // nil once its session has ended
	target   string // name of the agent's target when it was placed
	job      *liveJob
	task     *task
	placedAt time.Time
	// expectedTime is the predicted time from the order to the end of the run, including
	// the wait.
	expectedTime time.Duration
	expectedRun  time.Duration // the part of expectedTime for which it runs
	level        float64       // of its job when it was placed
	hadRoom      bool          // the target had free capacity when it was placed, so it has presumably started
	recalledAt   time.Time     // when it was recalled as overdue; zero: it was not
	// latestEnd is the time by which the run has certainly ended, for an attempt whose
	// session has ended.
	latestEnd time.Time
	// A run past the usual limit that was judged long is kept until keepUntil unless its target
	// starts or stops rejecting work.
	kept, keptRejecting bool
	keepUntil           time.Time
}

// liveJob is the state of a job, from its admission until its kept answer expires.
type liveJob struct {
	*Job               // with calibrated estimates
	submitted     *Job // as submitted, with the caller's estimates
	arrived       time.Time
	objective     time.Time // time by which the caller wants the answer
	usefulUntil   time.Time // time after which an answer has no value for the caller
	criticalPaths []time.Duration
	level         float64 // its current estimate, relative to the first one
	// lengthRecorded states that the distribution of its queue includes its length.
	lengthRecorded bool
	tasks          []task
	bytes          int64 // see Job.memoryBytes
	stepTasksLeft  []int // number of unfinished tasks, by step
	unfinished     int
	openAttempts   int // number of attempts without an outcome
	reserved       int // number of reserved tasks
	mayHaveRun     bool
	answered       bool
	givingUp       bool // given up; the answer waits for proof that nothing has run
	proofDeadline  time.Time
	giveUpFault    *fault.Fault
	callers        []*Caller
	callersLeft    int           // number of callers that have left
	wantedAt       time.Time     // latest time at which a caller is known to have waited
	runOffset      uint64        // added to run numbers after a target has seen higher ones
	resubmission   *resubmission // the job sent again while attempts of this one are open
	lastDone       doneTask      // the task that finished last
	answer         Answer
	keepUntil      time.Time
}

// doneTask holds the timings of the task that finished last, for the log. The answer has
// usually waited for this task.
type doneTask struct {
	attempt       *attempt
	host          string
	speed         float64 // of its target, as the agent reported it
	waitMs, runMs float64 // times in the agent's queue and at the target
}

// resubmission is a job that was sent again and waits until the runs of its earlier
// submission are over.
type resubmission struct {
	job    *Job
	caller *Caller
	since  time.Time
}
