package attempt

import (
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/logging"
	"github.com/camphorrack/camphorrack/internal/scheduler/grants"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// attempt is what the agent knows of one attempt. An acknowledged one is replaced
// by a shared tombstone.
type attempt struct {
	state     wire.AttemptState
	reason    wire.Reason
	cancelled bool
	forget    bool // settled while it still ran: nobody asks for its report
	demand    job.Demand
	sentOn    ConnID // connection that carries the final report already
	deadline  time.Time
	start     *wire.Start // only while Waiting
	result    []byte
	detail    string
	runMs     float64
}

// Tombstones of acknowledged attempts. They differ so that an attempt that ran
// can never be reported as not run, whatever is asked later.
var (
	tombstoneRan    = &attempt{state: wire.Unknown, detail: "settled before"}
	tombstoneNotRun = &attempt{state: wire.NotRun, reason: wire.ReasonStale}
)

func (a *attempt) isTombstone() bool { return a == tombstoneRan || a == tombstoneNotRun }

// bytes is the memory that the report's variable part takes.
func (a *attempt) bytes() int { return len(a.result) + len(a.detail) }

// owner is the state of one entry incarnation at this agent.
type owner struct {
	incarnation job.Incarnation
	conn        ConnID // 0 while disconnected
	newest      ConnID // the newest that ever counted
	goneAt      time.Time

	attempts map[uint64]*attempt
	highest  uint64 // highest attempt number heard of
	settled  uint64 // numbers below are settled at the owner
	// forgotten: numbers up to here without a record have an unknown past.
	forgotten uint64
	unacked   int // final attempts whose report is not acknowledged
	bytes     int // of their results

	credits credits
	waiting int // tasks waiting at the owner, as it last said

	// What the next flush sends.
	reports     []wire.Report
	sendCredits bool
	recallNow   int
	sendTarget  bool
}

// credits counts from the start of the owner's connection.
type credits struct {
	granted, spent, returned uint64
}

func (c *credits) unspent() int { return int(c.granted - c.spent - c.returned) }

// board is the blackboard that the controllers share.
type board struct {
	log    logr.Logger
	out    Outbox
	policy Policy
	now    time.Time

	owners    map[job.Incarnation]*owner
	conns     map[ConnID]*owner
	connected []*owner // in order of connecting, so that decisions don't hang on map order
	// past holds the highest attempt number of owners that are gone and hold
	// nothing here any more: about 50 bytes an incarnation, never dropped, because
	// answering "never seen" for an attempt that ran would let it run again.
	past map[job.Incarnation]uint64

	target       wire.Target
	draining     bool
	leavingSince time.Time

	sharer    *grants.Allocator
	changes   []grants.Change // reused by each grant
	running   int
	inUse     job.Demand
	queue     []Key // waiting attempts, first come first served; Push only
	runningBy map[Key]*attempt

	granted  uint64 // credits ever granted, for Status
	finished uint64 // calls ever finished, for Status
	history  history
}

func newBoard(o Options) *board {
	return &board{
		log:       o.Log.WithValues("agent", o.Incarnation.String()),
		out:       o.Outbox,
		policy:    o.Policy,
		owners:    map[job.Incarnation]*owner{},
		conns:     map[ConnID]*owner{},
		past:      map[job.Incarnation]uint64{},
		target:    wire.Target{Down: true},
		sharer:    grants.NewAllocator(),
		runningBy: map[Key]*attempt{},
	}
}

// ownerFor returns the owner's state, made new or brought back.
func (b *board) ownerFor(id job.Incarnation) *owner {
	if o := b.owners[id]; o != nil {
		return o
	}
	o := &owner{incarnation: id, attempts: map[uint64]*attempt{}}
	if highest, known := b.past[id]; known {
		delete(b.past, id)
		o.highest, o.forgotten = highest, highest
	}
	b.owners[id] = o
	return o
}

// announced is the target's state as owners should see it.
func (b *board) announced() wire.Target {
	t := b.target
	t.Leaving = t.Leaving || b.draining
	return t
}

// takesWork reports whether slots may be granted.
func (b *board) takesWork() bool {
	return !b.target.Down && !b.target.Leaving && !b.draining
}

func (b *board) setTarget(t wire.Target) {
	if sameTarget(&b.target, &t) {
		return
	}
	b.target = t
	b.noteLeaving()
	b.tellTarget()
}

func (b *board) drain() {
	if b.draining {
		return
	}
	b.draining = true
	b.noteLeaving()
	b.tellTarget()
}

func (b *board) noteLeaving() {
	leaving := b.target.Leaving || b.draining
	switch {
	case !leaving:
		b.leavingSince = time.Time{}
	case b.leavingSince.IsZero():
		b.leavingSince = b.now
	}
}

func (b *board) tellTarget() {
	for _, o := range b.connected {
		o.sendTarget = true
	}
}

func sameTarget(a, b *wire.Target) bool {
	return a.Name == b.Name && a.Slots == b.Slots && a.Speed == b.Speed && a.Capacity == b.Capacity &&
		a.Leaving == b.Leaving && a.Down == b.Down && slices.Equal(a.Classes, b.Classes)
}

// decisions returns the log for decision lines and whether they are wanted.
// Callers ask first: building the values of a line that nobody reads would cost
// more than the decision.
func (b *board) decisions() (logr.Logger, bool) {
	log := b.log.V(logging.LevelDecision)
	return log, log.Enabled()
}
