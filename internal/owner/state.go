package owner

import (
	"container/heap"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/estimation"
	"github.com/camphorrack/camphorrack/internal/scheduler/health"
	"github.com/camphorrack/camphorrack/internal/scheduler/placement"
	"github.com/camphorrack/camphorrack/internal/scheduler/queueing"
	"github.com/camphorrack/camphorrack/internal/scheduler/quota"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// sharedState is the state that all controllers share.
type sharedState struct {
	jobs            map[string]*record       // by id, until it is removed
	pending         int                      // number of accepted jobs without a final answer
	ready           queueing.Queue[*liveJob] // jobs with waiting tasks
	timers          timerQueue               // records by the time at which they are due
	retainedAnswers []*record                // records of final answers with results, oldest first
	retainedBytes   int                      // bytes of results in retainedAnswers

	waitingTasks map[string]int // number of tasks to start, by class
	peers        peers          // other entries, to which agents may connect
	startedAt    time.Time      // time of the first tick

	queuedMs         float64 // estimated run time of all unfinished tasks, in ms at speed 1
	teams            map[string]*team
	lastShed         time.Time
	lastTick         time.Time // time of the last tick
	limiter          *quota.Limiter
	estimator        *estimation.Estimator
	health           *health.Tracker
	queuePolicy      queueing.Policy
	placementOptions placement.Options

	candidates      []placement.Candidate // usable agents at the last dispatch
	candidateAgents []*agent              // the same agents, by the same index

	agents   map[job.Incarnation]*agent
	roster   []*agent // the same, in the order of their first connection
	byConn   map[ConnID]*agent
	byWorker map[string]*agent
	dirty    []*agent // agents with a pending frame
	nextSeq  uint64   // sequence number of the next attempt; never reused

	draining bool
	counts   Counts
	conf     operatorConfig
}

func newSharedState(o Options) sharedState {
	s := sharedState{
		jobs:         map[string]*record{},
		waitingTasks: map[string]int{},
		agents:       map[job.Incarnation]*agent{},
		byConn:       map[ConnID]*agent{},
		byWorker:     map[string]*agent{},
		nextSeq:      1,
		teams:        map[string]*team{},
		limiter:      quota.New(),
		estimator:    estimation.New(),
		health:       health.New(),
	}
	s.conf = operatorConfig{maxJobs: o.MaxJobs, maxTimeout: o.MaxTimeout}
	queuePolicy, placementPolicy := o.Policy.queueAndPlacement()
	s.queuePolicy = queuePolicy
	s.placementOptions = placement.Options{Policy: placementPolicy, Random: rand.New(rand.NewPCG(o.Seed, 0))}
	return s
}

// record is the entry of one id in the table of known ids. It outlives the job's tasks:
// until the id's deadline it prevents the id from being started again, and it serves
// look-ups for AnswerRetention longer, with results for job.AnswerGrace.
type record struct {
	id          job.ID
	fingerprint [sha256.Size]byte
	job         *liveJob // nil once the answer is final
	answer      job.Answer
	answerBytes int
	evicted     bool      // results were dropped to stay within MaxAnswerBytes
	deliveries  int       // number of callers that got the complete answer
	cancelled   bool      // cancelled before the submission arrived, so its body is unknown
	dueAt       time.Time // when expire must process the record
	index       int       // in timers
}

// taskState is the state of a task of a live job.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// liveJob is an accepted job without a final answer.
type liveJob struct {
	rec             *record
	sub             *job.Submission
	accepted        time.Time
	callbacks       map[int]AnswerFunc
	nextCallbackKey int
	tasks           []liveTask
	waiting         []int // indexes of waiting tasks, shortest first; tasks are started from the end
	doneTasks       int
	remainingMs     float64                  // sum of the estimates of the unfinished tasks
	mayHaveRun      bool                     // a task has been sent; see provenNotRun
	longestMs       float64                  // estimate of the longest task
	rank            int64                    // order in the ready queue; jobs with a lower rank start first
	queueItem       *queueing.Item[*liveJob] // in ready; nil before the first insertion
}

// liveTask is a task of a live job.
type liveTask struct {
	state      taskState
	estimateMs float64
	result     []byte
	attempt    *attempt // the open attempt; nil: none
	starts     int
}

// attempt is one start of one task at one agent. It is settled, and removed, once the agent
// has reported its final state or the agent's incarnation is known to have ended.
type attempt struct {
	seq         uint64
	agent       *agent
	job         *liveJob // nil once the attempt is cancelled
	task        int
	sentAt      time.Time
	expectedEnd time.Time // as predicted when it was sent
	team        string
	class       string
	estimateMs  float64 // expected run time at speed 1
	declaredMs  int64   // run time at speed 1 that the caller declared; 0 if unknown
	demand      job.Demand
}

// agent is one incarnation of an agent, connected or not.
type agent struct {
	incarnation job.Incarnation
	worker      string
	dataCentre  string
	rack        string
	target      wire.Target
	conn        ConnID // 0 while disconnected
	lastSeen    time.Time

	attempts    map[uint64]*attempt // unsettled attempts, by sequence number
	attemptSeqs []uint64            // ascending; settled attempts are removed lazily

	// granted, spent and returned count the credits of the current connection.
	granted, spent, returned uint64
	avoidUntil               time.Time  // until then no tasks are sent; see avoidanceAfterRejection
	drained                  bool       // by operators
	ownerCount               int        // number of owners that share the target, including this one
	inUse                    job.Demand // resources of this owner's open attempts
	creditInterval           placement.CreditInterval
	demand                   wire.Demand // as last sent to the agent
	demandPausedUntil        time.Time   // until then no credits are requested

	out   wire.ToAgent
	dirty bool
}

// credits returns the number of unspent credits.
func (a *agent) credits() int { return int(a.granted - a.spent - a.returned) }

// usable reports whether tasks may be sent to the agent.
func (a *agent) usable(now time.Time) bool {
	return a.conn != 0 && !a.leaving() && !a.target.Down && !now.Before(a.avoidUntil)
}

// serves reports whether the agent's target runs tasks of the class.
func (a *agent) serves(class string) bool {
	if len(a.target.Classes) == 0 {
		return true
	}
	for _, c := range a.target.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// settledBelow returns the sequence number below which every attempt at this agent is
// settled. It returns next, the number of the owner's next attempt, if all are settled.
func (a *agent) settledBelow(next uint64) uint64 {
	for len(a.attemptSeqs) > 0 {
		if _, open := a.attempts[a.attemptSeqs[0]]; open {
			return a.attemptSeqs[0]
		}
		a.attemptSeqs = a.attemptSeqs[1:]
	}
	return next
}

// oldestAttempt returns the unsettled attempt that was sent first, or nil.
func (a *agent) oldestAttempt() *attempt {
	return a.attempts[a.settledBelow(0)]
}

func (s *sharedState) addAgent(a *agent) {
	s.agents[a.incarnation] = a
	s.roster = append(s.roster, a)
}

func (s *sharedState) removeAgent(a *agent) {
	delete(s.agents, a.incarnation)
	s.roster = slices.DeleteFunc(s.roster, func(o *agent) bool { return o == a })
	s.estimator.ForgetAgent(uint64(a.incarnation))
	s.health.Forget(uint64(a.incarnation))
	if s.byWorker[a.worker] == a {
		delete(s.byWorker, a.worker)
	}
}

// pendingFrame returns the frame that the next Flush sends to the agent.
func (s *sharedState) pendingFrame(a *agent) *wire.ToAgent {
	if !a.dirty {
		a.dirty = true
		s.dirty = append(s.dirty, a)
	}
	return &a.out
}

// timerQueue is a heap of records, ordered by the time at which they are due.
type timerQueue []*record

func (t timerQueue) Len() int           { return len(t) }
func (t timerQueue) Less(i, j int) bool { return t[i].dueAt.Before(t[j].dueAt) }
func (t timerQueue) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timerQueue) Push(x any) {
	r := x.(*record)
	r.index = len(*t)
	*t = append(*t, r)
}
func (t *timerQueue) Pop() any {
	old := *t
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return r
}

// schedule adds the record to the timers, due at the given time.
func (s *sharedState) schedule(r *record, at time.Time) {
	r.dueAt = at
	heap.Push(&s.timers, r)
}
