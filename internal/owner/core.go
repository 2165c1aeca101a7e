// Package owner implements the control state of an entry: the submissions that this
// incarnation owns, the agents connected to it and the attempts sent to them.
//
// The state is shared by small controllers (blackboard pattern): intake accepts or refuses
// submissions, dispatch starts tasks against credits, settle applies the agents' reports,
// sessions tracks connections, and expire fails jobs past their deadline and removes old
// state. All of them run on one goroutine, do no network I/O and get the current time as an
// argument, so a test can produce any order of events.
//
// It guarantees that a submission's tasks are started only by its owner, each at most once
// unless an agent has proved that the previous attempt did not run, or the caller marked a
// single request as idempotent. Every accepted submission gets exactly one final answer by
// its deadline. A complete answer can be fetched until job.AnswerGrace after the deadline.
package owner

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/event"
	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ConnID identifies one connection from an agent. It is never reused.
type ConnID uint64

// Outbox sends frames to agents and closes their connections. Neither method blocks.
type Outbox interface {
	Send(conn ConnID, f *wire.ToAgent)
	Close(conn ConnID)
}

// AnswerFunc receives a final answer. It is called once, on the control goroutine, and must
// not block.
type AnswerFunc func(job.Answer)

// Policy selects the order of the queue and the placement of tasks on targets.
type Policy string

// Policies. PolicyLeastWork is the default; the others are baselines for measurements.
const (
	PolicyLeastWork  Policy = "least-work"  // credits, least remaining work first
	PolicyFCFS       Policy = "first-come"  // credits, first come, first served
	PolicyRandom     Policy = "random"      // push to a random target
	PolicyTwoChoices Policy = "two-choices" // push to the less loaded of two
)

// Policies lists the values of the policy setting.
var Policies = []Policy{PolicyLeastWork, PolicyFCFS, PolicyRandom, PolicyTwoChoices}

// pushes reports whether the policy starts tasks without credits.
func (p Policy) pushes() bool { return p == PolicyRandom || p == PolicyTwoChoices }

// Limits of an owner's state.
const (
	// DefaultMaxJobs limits the ids held. At the design size one entry owns about 575
	// submissions per second (docs/CAPACITY.md); with deadlines of 5 s and AnswerRetention
	// that is about 11,500 ids. The limit is ten times that, to absorb a burst. An id with
	// its answer takes 460 bytes, so the ids take up to 55 MB; together with MaxAnswerBytes
	// that is within the budget of 128 MB for control state.
	DefaultMaxJobs = 120_000
	// AnswerRetention is how long an id is kept after its deadline. A complete answer is
	// given only until job.AnswerGrace after the deadline: from then on another entry that
	// could not reach this one may answer "failed, outcome unknown". Failures are
	// given for the whole time, and an id that is missing during it was never accepted.
	AnswerRetention = 15 * time.Second
	// MaxAnswerBytes limits the results kept for look-ups; the oldest are evicted first.
	MaxAnswerBytes = 48 << 20
	// MaxStarts limits the starts of an idempotent single request.
	MaxStarts = 3
)

// Options configures a Core.
type Options struct {
	Owner      job.Owner
	Outbox     Outbox
	Log        logr.Logger
	Policy     Policy
	LogEvery   int // one placement in LogEvery is logged; 0: none
	MaxJobs    int
	MaxTimeout time.Duration // longest time until a deadline; 0 means 10 minutes
	DataCentre string
	PeerAddrs  []string // addresses of other entries, passed on to agents
	Seed       uint64   // of the policies' random choices; 0 is a valid seed
}

// Core is the control state. Its methods are not safe for concurrent use.
type Core struct {
	sharedState
	options Options
	log     logr.Logger
}

// New returns a core without jobs or agents.
func New(o Options) *Core {
	if o.MaxJobs == 0 {
		o.MaxJobs = DefaultMaxJobs
	}
	if o.MaxTimeout == 0 {
		o.MaxTimeout = 10 * time.Minute
	}
	if o.Policy == "" {
		o.Policy = PolicyLeastWork
	}
	c := &Core{sharedState: newSharedState(o), options: o, log: o.Log}
	c.addConfiguredPeers(o.PeerAddrs)
	return c
}

// Tick expires jobs, ids and agents, sheds jobs that would end too late, and starts waiting
// tasks. Call it every 10 ms; less often is enough while Idle reports true.
func (c *Core) Tick(now time.Time) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.lastTick = now
	c.expire(now)
	c.expireAgents(now)
	c.shed(now)
	c.dispatch(now)
}

// Flush sends the frames accumulated since the last call, at most one to each agent. Frames
// for disconnected agents are dropped.
func (c *Core) Flush() {
	c.publishDemand()
	for _, a := range c.dirty {
		a.dirty = false
		if a.conn == 0 {
			a.out = wire.ToAgent{}
			continue
		}
		a.out.Settled = a.settledBelow(c.nextSeq)
		frame := a.out
		a.out = wire.ToAgent{}
		c.options.Outbox.Send(a.conn, &frame)
	}
	c.dirty = c.dirty[:0]
}

// Drain refuses new submissions from now on and notifies the agents that this entry is
// leaving. Accepted submissions continue.
func (c *Core) Drain(time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	event.Log(c.log, event.DrainStarted, "pending", c.pending)
	c.announceLeaving()
}

// Idle reports whether every accepted submission has its final answer.
func (c *Core) Idle() bool { return c.pending == 0 }
