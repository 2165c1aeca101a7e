package runs

import (
	"time"

	"github.com/elliotchance/orderedmap/v3"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// targetState is the state of the target of one name: what it said of itself, the calls to it, its
// lease and its runs. Its incarnations follow one another.
type targetState struct {
	target      Announcement
	targetKnown bool // the target has announced itself or was restored
	// restored reports that target is from the record of an earlier agent and not from an
	// announcement.
	restored bool
	// unannounced reports that only an answer has shown this incarnation: target is the description of the
	// one before, and nothing new starts until it has announced itself.
	unannounced bool
	superseded  bool // another target gets the new runs

	runs   *orderedmap.OrderedMap[RunID, *run] // in the order of their arrival
	inUse  job.Demand
	health rating
	// silentTasks are the tasks that were active when the target stopped answering.
	silentTasks []wire.TaskRef

	token             int64     // 0: no target is known
	tokenRefusals     int       // refused tokens since the last listing
	earlierToken      int64     // the highest token presented to earlier incarnations of the name
	unansweredAt      time.Time // when a call that requests a lease last had no answer of the incarnation that it was for
	unansweredStartAt time.Time // when a start last had no answer
	lease             lease.Lease
	leaseWithheld     bool         // the last renewal did not extend the lease, because of a run that is being stopped
	meanAnswerMs      float64      // mean time to the answer to a start call
	endCursor         uint64       // Seq of the last EndedRun that was processed
	ackedCursor       uint64       // of endCursor, what the target has seen in a renewal
	listed            bool         // a listing of this incarnation was processed
	incomplete        bool         // the latest listing was incomplete
	foreignRuns       *foreignRuns // runs of an earlier agent, with the time of the last stop call
	reachable         bool
	refused           bool      // no process listened at the target's address since it was last reachable
	misdirected       bool      // another target answered at the address since it was last reachable
	failures          int       // consecutive failed renewals
	renewalOpen       bool      // a renewal is not answered yet
	renewalCalledAt   time.Time // when it was last called
	lastAnswerAt      time.Time // when the target last answered a call
	endTimesUncertain bool      // the latest listing followed failed renewals, so its ends may be old
}

// announced reports whether the target's description is known.
func (s *targetState) announced() bool { return s.targetKnown && !s.unannounced }

func newTargetState(terms lease.Terms) *targetState {
	return &targetState{
		runs: orderedmap.NewOrderedMap[RunID, *run](), lease: lease.Lease{Terms: terms}, foreignRuns: newForeignRuns(),
		health: newRating(), meanAnswerMs: initialAnswerMs,
	}
}

// foreignRuns are runs of an earlier agent, with the time of the last stop call.
type foreignRuns = orderedmap.OrderedMap[RunID, time.Time]

func newForeignRuns() *foreignRuns { return orderedmap.NewOrderedMap[RunID, time.Time]() }
