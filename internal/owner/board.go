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

// board is the blackboard: all state that the controllers share.
type board struct {
	jobs     map[string]*record       // by id, until it is forgotten
	pending  int                      // accepted and without a final answer
	ready    queueing.Queue[*liveJob] // jobs with waiting tasks
	timeline timeline                 // next time at which a record needs attention
	answers  []*record                // final answers with results, oldest first
	kept     int                      // bytes of results in answers

	waitingTasks map[string]int // by class
	peers        peers          // other entries, for agents to dial
	started      time.Time      // first time seen by a controller

	queuedMs  float64 // unfinished work of all live jobs
	teams     map[string]*team
	lastShed  time.Time
	ticked    time.Time // time of the last tick
	limiter   *quota.Limiter
	estimator *estimation.Estimator
	health    *health.Tracker
	order     queueing.Policy
	placing   placement.Options

	candidates []placement.Candidate // of the class viewed last
	viewed     []*agent              // the agents behind them

	agents   map[job.Incarnation]*agent
	roster   []*agent // the same, in order of their first connection
	byConn   map[ConnID]*agent
	byWorker map[string]*agent
	dirty    []*agent // agents with a frame to send
	nextSeq  uint64   // next attempt number, never reused

	draining bool
	counts   Counts
	conf     configured
}

func newBoard(o Options) board {
	b := board{
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
	b.conf = configured{maxJobs: o.MaxJobs, maxTimeout: o.MaxTimeout}
	order, placing := o.Policy.rules()
	b.order = order
	b.placing = placement.Options{Policy: placing, Random: rand.New(rand.NewPCG(o.Seed, 0))}
	return b
}

// record is one id's place in the seen-set. It outlives the job's tasks: until
// the id's deadline it keeps the id from being started again, and for AnswerRetention
// longer it serves look-ups, with results for job.AnswerGrace.
type record struct {
	id          job.ID
	fingerprint [sha256.Size]byte
	live        *liveJob // nil once the answer is final
	answer      job.Answer
	answerBytes int
	evicted     bool // results dropped for memory
	given       int  // callers that were handed the complete answer
	cancelled   bool // cancelled before the submission came, so its body is unknown
	next        time.Time
	index       int // in timeline
}

// taskState is how a task of a live job stands.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// liveJob is an accepted job without an answer.
type liveJob struct {
	rec         *record
	sub         *job.Submission
	accepted    time.Time
	waiters     map[int]AnswerFunc
	nextWait    int
	tasks       []liveTask
	waiting     []int // indexes of waiting tasks, shortest first: the longest is taken from the end
	done        int
	remainingMs float64 // estimates of the tasks that are not done
	mayHaveRun  bool    // some task was sent and not proved not run
	longestMs   float64
	rank        int64
	place       *queueing.Item[*liveJob] // in ready
}

type liveTask struct {
	state      taskState
	estimateMs float64
	result     []byte
	attempt    *attempt // while sent
	tries      int
}

// attempt is one start of one task at one agent, until it is settled.
type attempt struct {
	seq        uint64
	agent      *agent
	live       *liveJob // nil once the job has ended: the outcome no longer matters
	task       int
	sentAt     time.Time
	endsAt     time.Time // as expected when it was sent
	team       string
	class      string
	estimateMs float64
	declaredMs int64
	demand     job.Demand
}

// agent is one incarnation of an agent.
type agent struct {
	incarnation job.Incarnation
	worker      string
	dataCentre  string
	rack        string
	target      wire.Target
	conn        ConnID // 0 while disconnected
	lastSeen    time.Time

	attempts map[uint64]*attempt // not settled
	order    []uint64            // their numbers, rising; settled ones are skipped lazily

	// Credits of the present connection.
	granted, spent, returned uint64
	avoidUntil               time.Time
	drained                  bool       // by the operators
	owners                   int        // that share the target, this one included
	inUse                    job.Demand // by this owner's attempts
	gap                      placement.CreditInterval
	demand                   wire.Demand // as last sent
	declinedUntil            time.Time   // credits came back unused; none are asked for until then

	out   wire.ToAgent
	dirty bool
}

func (a *agent) credits() int { return int(a.granted - a.spent - a.returned) }

// usable reports whether new work may go to the agent.
func (a *agent) usable(now time.Time) bool {
	return a.conn != 0 && !a.leaving() && !a.target.Down && !now.Before(a.avoidUntil)
}

// serves reports whether the agent's target takes tasks of the class.
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

// settledBelow returns the number below which every attempt at this agent is
// settled; next is the number that no attempt has yet.
func (a *agent) settledBelow(next uint64) uint64 {
	for len(a.order) > 0 {
		if _, open := a.attempts[a.order[0]]; open {
			return a.order[0]
		}
		a.order = a.order[1:]
	}
	return next
}

// oldest returns the attempt that was sent first and is not settled, or nil.
func (a *agent) oldest() *attempt {
	return a.attempts[a.settledBelow(0)]
}

func (b *board) addAgent(a *agent) {
	b.agents[a.incarnation] = a
	b.roster = append(b.roster, a)
}

func (b *board) removeAgent(a *agent) {
	delete(b.agents, a.incarnation)
	b.roster = slices.DeleteFunc(b.roster, func(o *agent) bool { return o == a })
	b.estimator.ForgetAgent(uint64(a.incarnation))
	b.health.Forget(uint64(a.incarnation))
	if b.byWorker[a.worker] == a {
		delete(b.byWorker, a.worker)
	}
}

func (b *board) touch(a *agent) *wire.ToAgent {
	if !a.dirty {
		a.dirty = true
		b.dirty = append(b.dirty, a)
	}
	return &a.out
}

// timeline orders records by the next time at which they need attention.
type timeline []*record

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].next.Before(t[j].next) }
func (t timeline) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}
func (t *timeline) Push(x any) {
	r := x.(*record)
	r.index = len(*t)
	*t = append(*t, r)
}
func (t *timeline) Pop() any {
	old := *t
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	return r
}

func (b *board) schedule(r *record, at time.Time) {
	r.next = at
	heap.Push(&b.timeline, r)
}
