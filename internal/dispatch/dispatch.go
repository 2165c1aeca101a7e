// Package dispatch holds the control state of an entry that serves leased targets:
// the jobs that this process answers, the connected agents and the orders sent to
// them.
//
// A job is kept only in the memory of one process. Its caller holds a connection open
// for it. When that connection breaks, or the answer is that the outcome is unknown,
// the caller sends the job again after a fixed pause, to any entry. The package
// therefore guarantees two things. Answers are correct: a job is answered as "not
// run" only if no order for it was ever sent or every order is proved not to have
// run. And the runs of a job are over before its caller may send it again: its orders
// are recalled as soon as the caller disconnects, an agent that loses contact with
// an entry stops the runs that this entry has ordered, and an agent is told at short
// intervals as of when its runs are wanted, so that their leases end in time whatever
// is late or lost.
//
// Admission is decided when a job arrives. Its tasks are placed on the agents' targets
// by predicted end, and a job whose predicted end is too far past its objective is
// refused immediately. The entry queues no tasks: a task that can't start at once
// waits at the agent, which sees capacity become free and receives the orders of all
// entries.
//
// The state follows the blackboard pattern: small controllers read and write it on one
// goroutine. It does no network I/O, and callers pass in the current time.
package dispatch

import (
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/scheduler/calibration"
	"github.com/camphorrack/camphorrack/internal/scheduler/cancellation"
	"github.com/camphorrack/camphorrack/internal/scheduler/crashloop"
	"github.com/camphorrack/camphorrack/internal/scheduler/earliest"
	"github.com/camphorrack/camphorrack/internal/scheduler/fairshare"
	"github.com/camphorrack/camphorrack/internal/scheduler/headroom"
	"github.com/camphorrack/camphorrack/internal/scheduler/reservation"
	"github.com/camphorrack/camphorrack/internal/scheduler/retryafter"
	"github.com/camphorrack/camphorrack/internal/scheduler/runtimes"
	"github.com/camphorrack/camphorrack/internal/scheduler/uplink"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ConnID identifies a session with an agent. It is never reused.
type ConnID uint64

// Outbox sends frames to agents and closes their sessions. No method may block.
type Outbox interface {
	Send(ConnID, *wire.ToAgent)
	Close(ConnID)
}

// Options configure a Core.
type Options struct {
	Log        logr.Logger
	Outbox     Outbox
	DataCentre string
	// LostRunLimit is the time after the end of an agent's session by which its runs have
	// certainly ended.
	LostRunLimit time.Duration
	// RemoteFactor is how many times longer a task takes on a target outside the rack of
	// its data.
	RemoteFactor float64
	// LinkMbps is the bandwidth of the host's network link in Mbit/s; 0: unknown or
	// unlimited.
	LinkMbps float64
	// MemoryBytes limits the memory of jobs that have no answer, or runs that are not over; 0: unlimited.
	MemoryBytes int64
	// Waiting selects what becomes of tasks that have to wait for capacity.
	Waiting reservation.Mode
	// Cancelled, if set, is called for each job that was cancelled at another entry. It must not block.
	Cancelled func(id string)
	// Now returns the time of day. Run numbers are derived from it.
	Now func() time.Time
}

// Counts are the counters of a Core since it was created.
type Counts struct {
	// Jobs; Repeated counts submissions of a known job.
	Accepted, Refused, Complete, Failed, Unknown, Abandoned, Repeated uint64
	// AwaitedTargets counts the jobs that waited for targets after a start or a loss of all sessions.
	AwaitedTargets uint64
	// Orders; Moved counts those that ended without a result while their job needed one.
	Orders, Recalls, NotRun, Stopped, Moved uint64
	// Runs past the usual limit, and revised estimates of jobs.
	RunsKept, RunsJudgedHung, EstimatesRevised uint64
	// Reservations; OffersUnused counts the offers that no order followed.
	Reservations, Offers, OffersUnused uint64
}

// coreState is the blackboard that the controllers share.
type coreState struct {
	options      Options
	log          logr.Logger
	now          time.Time
	verifiedAt   time.Time // of the last VerifyCallers
	jobs         table
	agents       map[ConnID]*agent
	agentsByAge  []*agent   // in the order in which their sessions opened
	lostAttempts []*attempt // of ended sessions, ordered by latestEnd
	draining     bool
	memoryBytes  int64 // see Options
	// warmingSince is when the first call was made, or the last session ended; awaiting are the jobs
	// that wait for targets since.
	warmingSince  time.Time
	awaiting      []*awaitingJob
	lastRun       uint64 // highest run number of this entry so far, without any runOffset
	counts        Counts
	calibrations  map[string]*calibration.Regression // corrections of estimates, by queue
	margins       map[string]*headroom.Margin        // admission margins, by queue
	runTimes      runTimesState
	fairness      fairness
	link          *uplink.Link
	retrySchedule retryafter.Schedule // when refused callers should retry
	// evacuated are the data centres in which no task may start.
	evacuated map[string]struct{}
	crashes   *crashloop.Detector
	cancelled cancellation.Set // jobs that were cancelled, here or at another entry

	candidates      []earliest.Candidate // buffer that each placement reuses
	candidateAgents []*agent             // agents of candidates, at the same indexes
}

// agent is the state of one session with an agent.
type agent struct {
	conn       ConnID
	host       string
	dataCentre string
	features   wire.Features      // it understands these fields of frames
	replaced   bool               // by a newer session with the same host; its connection is being closed
	target     *wire.LeasedTarget // nil until the agent has reported it
	load       wire.Load
	loadAt     time.Time
	downSince  time.Time // when the agent first reported its target as down
	nextSeq    uint64
	attempts   map[uint64]*attempt
	// reservations by their sequence numbers; nil before the first one
	reservations map[uint64]*taskReservation
	uncounted    []uncountedOrder   // orders that load does not include yet
	outgoing     wire.LeasedToAgent // next frame, sent by Flush
	hasOutgoing  bool
	hungShare    runtimes.HungShare          // of its target
	runTimes     map[string]reportedRunTimes // its newest summaries, by queue
	fleet        *fairshare.Fleet            // that counts the agent; nil: none
}

// uncountedOrder is an order that the newest load report of its agent does not include
// yet. It is subtracted from the reported free capacity.
type uncountedOrder struct {
	seq      uint64
	task     earliest.Task
	index    int
	reserved bool // it is a reservation and uses no capacity yet
}

// Core is the control state of an entry. It is not safe for concurrent use.
type Core struct{ *coreState }

// New returns a Core without jobs and agents.
func New(o Options) *Core {
	return &Core{&coreState{
		options: o, log: o.Log, memoryBytes: o.MemoryBytes, jobs: newTable(), agents: map[ConnID]*agent{}, calibrations: map[string]*calibration.Regression{}, margins: map[string]*headroom.Margin{},
		fairness: newFairness(), evacuated: map[string]struct{}{}, crashes: crashloop.New(), runTimes: newRunTimesState(),
		link: uplink.New(o.LinkMbps), cancelled: cancellation.NewSet(cancellation.Retention),
	}}
}

// Counts returns the current counters.
func (c *Core) Counts() Counts { return c.counts }

// UsableAgents returns how many agents can take orders now. Agents in evacuated data
// centres are included.
func (c *Core) UsableAgents() int {
	n := 0
	for _, a := range c.agentsByAge {
		if a.usable() {
			n++
		}
	}
	return n
}

// UnansweredJobs returns the number of jobs without an answer.
func (c *Core) UnansweredJobs() int { return c.jobs.unanswered }

// JobBytes returns the approximate memory of the jobs that have no answer, or runs that are not over.
func (c *Core) JobBytes() int64 { return c.jobs.bytes }

// MemoryBytes returns Options.MemoryBytes.
func (c *Core) MemoryBytes() int64 { return c.memoryBytes }

// SetMemoryBytes sets Options.MemoryBytes. A lower limit applies to the next submission.
func (c *Core) SetMemoryBytes(bytes int64) { c.memoryBytes = bytes }

// Drain makes the core refuse new jobs. Accepted jobs continue.
func (c *Core) Drain() { c.draining = true }

// State returns the state of a job. It returns false for an unknown ID and for a job
// that was answered as not run or with an unknown outcome.
func (c *Core) State(id string) (JobState, bool) {
	l := c.jobs.byID[id]
	switch {
	case l == nil:
		return 0, false
	case !l.answered:
		return Active, true
	case l.answer.Kind == AnswerComplete:
		return Completed, true
	case l.answer.Kind == AnswerFailed:
		return Failed, true
	}
	return 0, false
}

// Pending returns how many unanswered jobs of a queue have no finished task.
func (c *Core) Pending(queue string) int {
	n := 0
	for l := range c.jobs.unsettled.Keys() {
		if !l.answered && l.Queue.Name == queue && l.unfinished == len(l.tasks) {
			n++
		}
	}
	return n
}

// Flush sends the frames that have accumulated, one per agent. The owner calls it after
// each batch of calls.
func (c *Core) Flush() {
	for _, a := range c.agentsByAge {
		if !a.hasOutgoing {
			continue
		}
		out := a.outgoing
		a.outgoing, a.hasOutgoing = wire.LeasedToAgent{}, false
		c.options.Outbox.Send(a.conn, &wire.ToAgent{Leased: &out})
	}
}

// Tick handles everything that depends on time alone: deadlines, leases, lost targets,
// overdue tasks and the expiry of kept answers.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.warmingSince.IsZero() {
		c.warmingSince = now
	}
	c.updatePressure()
	c.settleLostAttempts()
	c.giveUpOnDownTargets()
	c.mergeRunTimes()
	c.admitAwaiting()
	for _, l := range slices.Collect(c.jobs.unsettled.Keys()) {
		c.advanceJob(l)
		c.recallOverdueTasks(l)
		c.expireReservations(l)
		if l.answered && l.openAttempts == 0 && l.resubmission == nil {
			c.jobs.settle(l)
		}
	}
	c.jobs.expire(now)
}
