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

// attempt is the agent's record of one attempt. Once its final report is acknowledged,
// it is replaced by a shared tombstone to save memory.
type attempt struct {
	state         wire.AttemptState
	reason        wire.Reason
	cancelled     bool
	discardReport bool // settled while running: its owner needs no report
	demand        job.Demand
	reportedOn    ConnID // connection on which the final report was queued
	deadline      time.Time
	start         *wire.Start // only while Waiting
	result        []byte
	detail        string
	runMs         float64
}

// Tombstones of acknowledged attempts. There are two, so that no later query can make
// the agent report an attempt that ran as not run.
var (
	tombstoneRan    = &attempt{state: wire.Unknown, detail: "settled before"}
	tombstoneNotRun = &attempt{state: wire.NotRun, reason: wire.ReasonStale}
)

func (a *attempt) isTombstone() bool { return a == tombstoneRan || a == tombstoneNotRun }

// reportBytes returns the size in bytes of the variable part of the report.
func (a *attempt) reportBytes() int { return len(a.result) + len(a.detail) }

// owner is the state of one entry incarnation at this agent.
type owner struct {
	incarnation    job.Incarnation
	conn           ConnID // 0 while disconnected
	newestConn     ConnID // highest id that was ever active
	disconnectedAt time.Time

	attempts     map[uint64]*attempt
	highestSeq   uint64 // highest attempt number received
	settledBelow uint64 // lower numbers are settled: the owner needs no report and sends no start
	// forgottenThrough is the highest attempt number whose record may have been
	// dropped: without a record, an attempt up to it may or may not have run.
	forgottenThrough uint64
	unackedReports   int // final attempts whose report is unacknowledged
	unackedBytes     int // size of the variable part of their reports

	credits      credits
	waitingTasks int // tasks waiting at the owner, as last reported by it

	// Sent by the next flush.
	pendingReports []wire.Report
	sendCredits    bool
	pendingRecall  int
	sendTarget     bool
}

// credits counts an owner's credits since the start of its connection.
type credits struct {
	granted, spent, returned uint64
}

func (c *credits) unspent() int { return int(c.granted - c.spent - c.returned) }

// tableState is the blackboard that the controllers share: all state of a Table.
type tableState struct {
	log    logr.Logger
	out    Outbox
	policy Policy
	now    time.Time

	owners      map[job.Incarnation]*owner
	ownerByConn map[ConnID]*owner
	connected   []*owner // in order of connecting, so that decisions don't depend on map order
	// departedHighestSeq holds the highest attempt number of each disconnected owner
	// without records. Each takes about 50 bytes and is never dropped, because
	// answering "never seen" for an attempt that ran would let it run again.
	departedHighestSeq map[job.Incarnation]uint64

	target       wire.Target
	draining     bool
	leavingSince time.Time

	allocator       *grants.Allocator
	creditChanges   []grants.Change // buffer reused by each rebalance
	runningCount    int
	resourcesInUse  job.Demand
	startQueue      []Key // waiting attempts in FIFO order; Push only
	runningAttempts map[Key]*attempt

	grantedCredits uint64 // since the start, for Status
	finishedCalls  uint64 // since the start, for Status
	history        history
}

func newTableState(o Options) *tableState {
	return &tableState{
		log:                o.Log.WithValues("agent", o.Incarnation.String()),
		out:                o.Outbox,
		policy:             o.Policy,
		owners:             map[job.Incarnation]*owner{},
		ownerByConn:        map[ConnID]*owner{},
		departedHighestSeq: map[job.Incarnation]uint64{},
		target:             wire.Target{Down: true},
		allocator:          grants.NewAllocator(),
		runningAttempts:    map[Key]*attempt{},
	}
}

// ownerFor returns the state of the owner with this id. It creates it if needed; for an
// owner whose records were dropped, all earlier attempt numbers count as forgotten.
func (s *tableState) ownerFor(id job.Incarnation) *owner {
	if o := s.owners[id]; o != nil {
		return o
	}
	o := &owner{incarnation: id, attempts: map[uint64]*attempt{}}
	if highest, known := s.departedHighestSeq[id]; known {
		delete(s.departedHighestSeq, id)
		o.highestSeq, o.forgottenThrough = highest, highest
	}
	s.owners[id] = o
	return o
}

// announcedTarget returns the target's state as announced to owners, which is leaving
// while the agent drains.
func (s *tableState) announcedTarget() wire.Target {
	t := s.target
	t.Leaving = t.Leaving || s.draining
	return t
}

// acceptsWork reports whether slots may be granted and queued starts may begin.
func (s *tableState) acceptsWork() bool {
	return !s.target.Down && !s.target.Leaving && !s.draining
}

// setTarget stores the target's state and announces a change to all connected owners.
func (s *tableState) setTarget(t wire.Target) {
	if sameTarget(&s.target, &t) {
		return
	}
	s.target = t
	s.updateLeavingSince()
	s.queueTargetUpdate()
}

func (s *tableState) drain() {
	if s.draining {
		return
	}
	s.draining = true
	s.updateLeavingSince()
	s.queueTargetUpdate()
}

// updateLeavingSince records when the target began to leave or the agent to drain, from
// which leavingGrace is counted.
func (s *tableState) updateLeavingSince() {
	leaving := s.target.Leaving || s.draining
	switch {
	case !leaving:
		s.leavingSince = time.Time{}
	case s.leavingSince.IsZero():
		s.leavingSince = s.now
	}
}

// queueTargetUpdate makes the next flush send the target's state to all connected owners.
func (s *tableState) queueTargetUpdate() {
	for _, o := range s.connected {
		o.sendTarget = true
	}
}

func sameTarget(a, b *wire.Target) bool {
	return a.Name == b.Name && a.Slots == b.Slots && a.Speed == b.Speed && a.Capacity == b.Capacity &&
		a.Leaving == b.Leaving && a.Down == b.Down && slices.Equal(a.Classes, b.Classes)
}

// decisionLog returns the logger for decisions and whether its level is enabled.
// Callers check that first, because building the values of a line that is not written
// would cost more than the decision.
func (s *tableState) decisionLog() (logr.Logger, bool) {
	log := s.log.V(logging.LevelDecision)
	return log, log.Enabled()
}
