// Package dispatch is the control state of an entry in front of leased targets:
// the jobs that this process answers for, the agents that are connected and the
// orders sent to them.
//
// A job lives in the memory of one process. Its caller holds a connection open for
// it and sends it again, to any entry, a fixed pause after that connection broke or
// it was told that the outcome is unknown. So the state has to make sure of two
// things. What is said of a job is true: "not run" only while no order for it was
// ever sent, or each was proved not to have run. And what runs of a job is over
// before its caller may come again: its work is stopped as soon as the caller is
// gone, and an agent stops what it runs for an entry that it hears nothing of.
//
// It decides at once, when a job comes: the tasks are placed on the agents' targets
// by predicted end, and a job whose prediction is past the time its caller wants it
// by is refused then and there. Nothing waits here; what can't start at once waits at
// the agent, where room comes up and the work of all entries meets.
//
// The state is a blackboard that small controllers read and write, on one goroutine,
// without a network and with the time handed in.
package dispatch

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/scheduler/calibration"
	"github.com/camphorrack/camphorrack/internal/scheduler/comeback"
	"github.com/camphorrack/camphorrack/internal/scheduler/crashloop"
	"github.com/camphorrack/camphorrack/internal/scheduler/earliest"
	"github.com/camphorrack/camphorrack/internal/scheduler/headroom"
	"github.com/camphorrack/camphorrack/internal/scheduler/uplink"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ConnID names a session with an agent; it is never reused.
type ConnID uint64

// Outbox sends frames to agents. No method may block.
type Outbox interface {
	Send(ConnID, *wire.ToAgent)
	Close(ConnID)
}

// Options of a Core.
type Options struct {
	Log        logr.Logger
	Outbox     Outbox
	DataCentre string
	// LeaseLimit is the longest lease of a target: what an agent that is gone left
	// running is over after it.
	LeaseLimit time.Duration
	// RemoteFactor is how many times longer a task takes away from its data.
	RemoteFactor float64
	// LinkMbps is the width of the host's network link; 0: not known, or no limit.
	LinkMbps float64
	// Now tells the time of day, for run numbers.
	Now func() time.Time
}

// Counts add up what the core did.
type Counts struct {
	Accepted, Refused, Complete, Failed, Unknown, Abandoned, Repeated uint64
	Orders, Recalls, NotRun, Stopped, Moved                           uint64
}

// board is the blackboard.
type board struct {
	o        Options
	log      logr.Logger
	now      time.Time
	jobs     table
	agents   map[ConnID]*agent
	roster   []*agent   // in order of their sessions
	lost     []*attempt // of ended sessions, in the order in which they are surely over
	draining bool
	lastRun  uint64 // highest number of a start so far
	counts   Counts
	lines    map[string]*calibration.Regression // what estimates are worth, by queue
	margins  map[string]*headroom.Margin        // by queue
	link     *uplink.Link
	comeback comeback.Schedule // for those who are refused
	// evacuated are the data centres on whose targets nothing is to start.
	evacuated map[string]struct{}
	crashes   *crashloop.Detector

	candidates []earliest.Candidate // scratch of a placement
	viewed     []*agent
}

// agent is one session with an agent.
type agent struct {
	conn       ConnID
	host       string
	dataCentre string
	target     *wire.LeasedTarget // nil before one is known
	load       wire.Load
	loadAt     time.Time
	downAt     time.Time // when its target was first said to be away
	nextSeq    uint64
	attempts   map[uint64]*attempt
	unseen     []unseen // orders that load does not count in yet
	out        wire.LeasedToAgent
	dirty      bool
}

// unseen is an order sent after the newest load was drawn up.
type unseen struct {
	seq   uint64
	task  earliest.Task
	index int
}

// Core is the control state. It is not safe for concurrent use.
type Core struct{ *board }

// New returns an empty core.
func New(o Options) *Core {
	return &Core{&board{
		o: o, log: o.Log, jobs: newTable(), agents: map[ConnID]*agent{}, lines: map[string]*calibration.Regression{}, margins: map[string]*headroom.Margin{},
		evacuated: map[string]struct{}{}, crashes: crashloop.New(), link: uplink.New(o.LinkMbps),
	}}
}

// Counts returns what was counted so far.
func (c *Core) Counts() Counts { return c.counts }

// UsableAgents returns how many agents could be sent work now, were no data centre evacuated.
func (c *Core) UsableAgents() int {
	n := 0
	for _, a := range c.roster {
		if a.usable() {
			n++
		}
	}
	return n
}

// UnansweredJobs returns how many jobs have no answer yet.
func (c *Core) UnansweredJobs() int { return c.jobs.live }

// Drain makes the core refuse new jobs; what is accepted goes on.
func (c *Core) Drain() { c.draining = true }

// State returns how a job that this process knows stands; false: it knows none.
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

// Pending returns how many jobs of a queue have no sign of having started.
func (c *Core) Pending(queue string) int {
	n := 0
	for l := range c.jobs.unsettled {
		if !l.answered && l.Queue.Name == queue && l.undone == len(l.tasks) {
			n++
		}
	}
	return n
}

// Flush sends what has gathered. Call it after each batch of calls.
func (c *Core) Flush() {
	for _, a := range c.roster {
		if !a.dirty {
			continue
		}
		out := a.out
		a.out, a.dirty = wire.LeasedToAgent{}, false
		c.o.Outbox.Send(a.conn, &wire.ToAgent{Leased: &out})
	}
}

// Tick does what only the passing of time brings about.
func (c *Core) Tick(now time.Time) {
	c.now = now
	c.overLost()
	c.downTargets()
	for l := range c.jobs.unsettled {
		c.look(l)
		c.moveOverdue(l)
		if l.answered && l.open == 0 && l.next == nil {
			c.jobs.settle(l)
		}
	}
	c.jobs.expire(now)
}
