// Package owner is the control state of an entry: the submissions that this
// incarnation owns, the agents connected to it and the attempts sent to them.
//
// The state is a blackboard that small controllers read and write: intake lets
// submissions in, dispatch starts tasks against credits, settle takes the agents'
// reports, sessions follows connections and expire ends what is past its time.
// All of them run on one goroutine, without a network and with the time handed
// in, so a test can drive any order of events.
//
// What it guarantees: a submission's tasks are started only here, each at most
// once unless an agent proved that the attempt before did not run (or the caller
// marked a single request idempotent); every accepted submission gets exactly one
// final answer by its deadline. One that is complete is given until job.AnswerGrace
// after it.
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

// Outbox sends frames to agents. Neither method blocks.
type Outbox interface {
	Send(conn ConnID, f *wire.ToAgent)
	Close(conn ConnID)
}

// AnswerFunc receives a final answer. It is called once, on the control goroutine,
// and must not block.
type AnswerFunc func(job.Answer)

// Policy selects how tasks reach targets.
type Policy string

// Policies. PolicyLeastWork is the product's; the others are baselines kept for
// measurement.
const (
	PolicyLeastWork  Policy = "least-work"  // credits, least remaining work first
	PolicyFCFS       Policy = "first-come"  // credits, first come first served
	PolicyRandom     Policy = "random"      // push to a random target
	PolicyTwoChoices Policy = "two-choices" // push to the less loaded of two
)

// Policies lists the policies that a setting may name.
var Policies = []Policy{PolicyLeastWork, PolicyFCFS, PolicyRandom, PolicyTwoChoices}

// push reports whether the policy sends without a credit.
func (p Policy) push() bool { return p == PolicyRandom || p == PolicyTwoChoices }

// Defaults and bounds of an owner's memory.
const (
	// DefaultMaxJobs bounds the ids held. At the design size one entry owns some 575
	// submissions a second (docs/CAPACITY.md); with deadlines of 5 s and AnswerRetention
	// that is about 11,500 ids. Ten times as many leaves room for a burst and, at 460
	// bytes an id that has its answer, takes 55 MB beside MaxAnswerBytes: together
	// within the 128 MB for control.
	DefaultMaxJobs = 120_000
	// AnswerRetention is how long after its deadline an id is remembered. A complete
	// answer is given for job.AnswerGrace only: another entry that could not reach
	// this one may then tell the caller "failed, outcome unknown". What is kept
	// longer are failures, and the knowledge that an id was never accepted.
	AnswerRetention = 15 * time.Second
	// MaxAnswerBytes bounds the results kept for look-ups; the oldest go first.
	MaxAnswerBytes = 48 << 20
	// MaxStarts bounds the starts of an idempotent single request.
	MaxStarts = 3
)

// Options configures a Core.
type Options struct {
	Owner      job.Owner
	Outbox     Outbox
	Log        logr.Logger
	Policy     Policy
	LogEvery   int // one placement in so many is logged; 0: none
	MaxJobs    int
	MaxTimeout time.Duration // longest time to a deadline; 0 means 10 minutes
	DataCentre string
	PeerAddrs  []string // other entries, passed on to agents
	Seed       uint64   // for the push policies' draws; 0 is a seed too
}

// Core is the control state. Its methods are not safe for concurrent use.
type Core struct {
	board
	opts Options
	log  logr.Logger
}

// New returns an empty core.
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
	c := &Core{board: newBoard(o), opts: o, log: o.Log}
	c.configurePeers(o.PeerAddrs)
	return c
}

// Tick ends what is past its time and starts what can start. Call it every 10 ms.
func (c *Core) Tick(now time.Time) {
	if c.started.IsZero() {
		c.started = now
	}
	c.ticked = now
	c.expire(now)
	c.expireAgents(now)
	c.shed(now)
	c.dispatch(now)
}

// Flush sends the frames gathered since the last call, at most one per agent.
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
		c.opts.Outbox.Send(a.conn, &frame)
	}
	c.dirty = c.dirty[:0]
}

// Drain stops taking new submissions; everything accepted goes on.
func (c *Core) Drain(time.Time) {
	if c.draining {
		return
	}
	c.draining = true
	event.Log(c.log, event.DrainStarted, "pending", c.pending)
	c.tellLeaving()
}

// Idle reports whether every accepted submission has its answer.
func (c *Core) Idle() bool { return c.pending == 0 }
