// Package runs is the control state of the agent of a leased target: the orders of each connected
// entry, the state of each order (queued, running or being stopped), and the calls that the
// target was sent and has confirmed.
//
// Invariant: the reported outcome of an order is correct. "Not run" is reported only for an
// order that the target never started and, after a stop that it has confirmed, never will start;
// any other end only once the target has listed it, or once the lease under which it ran has
// expired. An entry acts on "not run" by starting the task elsewhere, and two concurrent runs of
// one task duplicate its effects.
//
// An order belongs to the session that sent it. When the session ends, for whatever reason, its
// orders are stopped at once: the caller of a job whose entry is gone submits the job again after
// a pause of its own, and the new owner can't know of the runs of the old one. A stop may be lost,
// so the lease is renewed only for as long as no run can outlast that pause (package lease).
//
// Two targets of a host may be at work at the same time. One of them gets new runs; each has its own runs,
// lease and capacity (succession.go).
//
// The package uses no network, clock or goroutine. A single goroutine calls it and passes the
// current time.
package runs

import (
	"time"

	"github.com/elliotchance/orderedmap/v3"
	"github.com/go-logr/logr"

	"github.com/camphorrack/camphorrack/internal/job"
	"github.com/camphorrack/camphorrack/internal/scheduler/cancellation"
	"github.com/camphorrack/camphorrack/internal/scheduler/lease"
	"github.com/camphorrack/camphorrack/internal/scheduler/queuesim"
	"github.com/camphorrack/camphorrack/internal/scheduler/runtimes"
	"github.com/camphorrack/camphorrack/internal/wire"
)

// ConnID identifies a session with an entry; an ID is never reused.
type ConnID uint64

// Task identifies a task of a job.
type Task struct {
	Job   string
	Step  int
	Index int
}

// RunID identifies one start of a task at the target. Number is higher than that of every earlier
// start of the task, by whichever owner.
type RunID struct {
	Task   Task
	Number uint64
}

// Incarnation identifies one process of a target: a target that restarts under the same name is
// another incarnation, which knows nothing of the one before.
type Incarnation struct {
	Name      string
	StartedMs int64
}

// Announcement is a target's description of itself.
type Announcement struct {
	Incarnation Incarnation
	Service     string
	Address     string // at which it says that it accepts calls; only logged
	Labels      []string
	Capacity    job.Demand
	// DataCentre is the target's data centre; empty if it is the agent's.
	DataCentre string
	Leaving    bool   // the target accepts no new work
	ClockMs    int64  // reading of the target's monotonic clock
	Seq        uint64 // rises within an incarnation
}

// StartCall is a call that starts a run.
type StartCall struct {
	Incarnation  Incarnation
	Epoch        uint64 // see Target.Ended
	Token        int64  // fencing token
	Run          RunID
	Spec         string
	LeaseUntilMs int64 // on the target's clock
	Timeout      time.Duration
}

// StopCall is a call that stops a run. The target then rejects every later start of the run.
type StopCall struct {
	Incarnation Incarnation
	Token       int64
	Run         RunID
	// Timeout bounds the call.
	Timeout time.Duration
}

// RenewCall renews the lease, acknowledges ended runs and requests the list of running ones.
type RenewCall struct {
	Incarnation  Incarnation
	Token        int64
	LeaseUntilMs int64         // 0: don't renew; on the target's clock
	AckCursor    uint64        // Seq of the last EndedRun that was processed
	Wait         time.Duration // how long the target may wait for a run to end before it answers
	ReplyTimeout time.Duration // limit of the call beyond Wait
	RetryDelay   time.Duration // how long to wait before the next call if this one fails
	// Probe states that the call only shows whether the incarnation answers at the address.
	Probe bool
}

// Answer is a target's answer to a StartCall or a StopCall.
type Answer uint8

// Answers.
const (
	Accepted Answer = iota + 1
	NoAnswer        // the call may have been carried out, or may still be
	Rejected        // not carried out, and never will be: the target is unhealthy or the call is invalid
	NoCapacity
	StaleToken // another agent has presented a higher token
	LeaseExpired
	StaleRun         // a run of this or a higher number was stopped or has ended there
	OtherIncarnation // another incarnation answers at the address
	NotDelivered     // no process listens at the address, so the call was not carried out
)

// End is how a run ended, as the target lists it.
type End uint8

// Ends.
const (
	Done End = iota + 1
	Failed
	Stopped // by a StopCall, by the end of the lease or with its gang
)

// EndedRun is an entry of the target's list of ended runs.
type EndedRun struct {
	Seq uint64 // of the end; rises within an incarnation
	Run RunID
	End End
}

// Listing is a target's answer to a RenewCall.
type Listing struct {
	ClockMs   int64 // reading of the target's clock
	StartedMs int64 // of the answering incarnation; 0: not reported
	Running   []RunID
	Ended     []EndedRun
	// StaleToken reports that the target has seen a higher token and ignored the call.
	StaleToken bool
	// Incomplete reports that rows of the answer can't be read: a run that is missing from the lists
	// may be running.
	Incomplete bool
}

// RenewFailure is the reason why a RenewCall failed.
type RenewFailure uint8

// Reasons for a failed RenewCall.
const (
	Unresponsive RenewFailure = iota + 1 // no answer in time, or none that can be read, or the connection broke
	Refused                              // no process listens at the address
	Overloaded                           // the target answered that it can't serve the call
	Replaced                             // another incarnation answers at the address
)

var renewFailureNames = [...]string{"", "unresponsive", "refused", "overloaded", "another_target"}

// String returns the name of the reason in log lines.
func (f RenewFailure) String() string { return renewFailureNames[f] }

// Target sends calls to the targets of the host; the answers go to the Table's Started, Stopped, Renewed
// and RenewFailed. No method may block.
type Target interface {
	Start(StartCall)
	Stop(StopCall)
	// Renew makes a renewal beside those of NextRenewal.
	Renew(RenewCall)
	// Ended reports that the incarnation has ended or gets no further runs. Starts with a lower Epoch that
	// were not sent yet must not be sent: their answer is NotDelivered.
	Ended(epoch uint64)
}

// Outbox sends frames to entries. No method may block.
type Outbox interface {
	Send(ConnID, *wire.ToEntry)
	Close(ConnID)
	// WantedAt returns the time up to which the entry is known to have wanted its runs; zero:
	// unknown. See lease.Proof.
	WantedAt(ConnID, time.Time) time.Time
}

// Options configures a Table.
type Options struct {
	Log    logr.Logger
	Target Target
	Outbox Outbox
	// DataCentre is the agent's data centre.
	DataCentre string
	// Lease limits the leases of the target.
	Lease lease.Terms
}

// state is the state of a run.
type state uint8

const (
	queued   state = iota
	starting       // the start call is not answered yet
	running
	stopping // a stop is in progress; the target may or may not have the run
	reserved // a reservation that waits in the queue
	offered  // a reservation for which capacity is held
)

var stateNames = [...]string{"queued", "starting", "running", "stopping", "reserved", "offered"}

func (s state) String() string { return stateNames[s] }

// run is an order and the state of its execution.
type run struct {
	id         RunID
	on         *targetState // the target that it is for
	session    *session     // nil once the session has ended
	order      wire.Order
	state      state
	receivedAt time.Time
	// startBy is the latest start for the job to be in time. The order is returned if it is still
	// queued at queueDeadline, and the run is stopped at runDeadline.
	startBy, queueDeadline, runDeadline time.Time
	startCalledAt                       time.Time // when the target was last called to start it
	startedAt                           time.Time // when the target reported its start
	startRetries                        int       // start calls repeated for lack of an answer
	everRan                             bool      // the start was accepted, or the run was listed
	// startsOpen is the number of start calls that may still be carried out, or were without the agent
	// knowing by which incarnation.
	startsOpen int
	// startInFlight is set while the last start call has neither been answered nor timed out.
	startInFlight bool
	seen          bool // the present incarnation has accepted or listed the run
	carried       bool // the start was called for an earlier incarnation; see carryOver
	// wantedAt is the time up to which the run is known to have been wanted, once it is abandoned;
	// until then that of its session applies. callerLeavesAt is the earliest time at which its
	// caller may stop waiting.
	wantedAt, callerLeavesAt time.Time
	startDelayed             bool // it has waited for the lease; see leaseAllows
	notRunReason             wire.NotRunReason
	width                    int       // of a reservation: the tasks of its job
	offerLapsesAt            time.Time // of a reservation for which capacity is held
	reservationWaited        bool      // the reservation that this order follows had to wait

	stopInFlight    bool // a stop call is not answered yet
	stopCalledAt    time.Time
	stopAttempts    int
	stopConfirmedAt time.Time // zero until the target has accepted a stop

	queueLoad *queueLoad // nil for an order that names no queue
}

// session is the state of a session with an entry.
type session struct {
	conn     ConnID
	features wire.Features // the entry understands these fields of frames
	runs     map[uint64]*run
	lastSeq  uint64
	outcomes []wire.RunOutcome
	// reservations of the entry, by their Seq; offers are sent at the next Flush.
	reservations map[uint64]*run
	offers       []wire.Offer
	unanswered   bool // an offer has lapsed since the entry last sent a frame

	configNote *wire.ConfigNote
	// evacuations and crashes are sent at the next Flush.
	evacuations []wire.Evacuation
	crashes     []wire.Crash
	// cancellations are sent at the next Flush that sends a frame, or once the first has waited for
	// cancellationDelay since cancellationsSince.
	cancellations      []string
	cancellationsSince time.Time
	sendTarget         bool // the target's description is to be sent at the next Flush
	described          bool // a description was sent
	sendLoad           bool // the load is to be sent at the next Flush

	loadInterval time.Duration // shortest interval between load reports that the entry asked for
	loadSentAt   time.Time     // when the load was last sent
	loadStale    bool          // the load has changed since it was last sent
	queueVersion uint64        // version of the queue loads that it was last sent
	openedAt     time.Time
	lastOrderAt  time.Time // when the entry last sent an order
	retiring     bool      // the session closes once its runs have ended
	closeAfter   time.Time // the session stays open at least until then

	runTimesVersion uint64 // summariesVersion when summaries were last sent

	// wantedAt is the answer of Outbox.WantedAt at the time wantedAsOf.
	wantedAt, wantedAsOf time.Time
}

// tableState is the state of a Table.
type tableState struct {
	options Options
	log     logr.Logger
	now     time.Time

	// sessions is iterated in the order in which they were added, so that the same calls always have the
	// same result.
	sessions *orderedmap.OrderedMap[ConnID, *session]
	tasks    map[Task]*run // the unsettled run of each task, on any target
	queue    []*run        // orders and reservations, by compareStartBy
	// reservations and lastTick, the time of the last Tick, bound how long capacity is held.
	reservations reservations
	lastTick     time.Time

	// targetState is the target that gets new runs, and while a former one is handled, that one; see on.
	*targetState
	former []*targetState // targets that get no new runs, while their runs go on
	// dropped holds the targets whose runs are settled, most recent last: the next incarnation of one may be
	// sent late calls for the one before, and has to see higher tokens.
	dropped []*targetState
	claims  []*claim // announcements of targets that are not adopted
	heard   []heard  // the newest announcements, in the order of their arrival
	// unstored states that the announcement of the target has changed since UnstoredTarget was called.
	unstored bool
	epoch    uint64 // rises with each end of an incarnation, and when another target gets the new runs
	draining bool   // the agent accepts no new work
	// description is the number of the description of the target that gets new runs; see wire.LeasedTarget.
	description uint64
	// evacuated holds the data centres in which nothing may start.
	evacuated map[string]struct{}
	runTimes  runTimesState
	cancelled cancellation.Set // jobs that were cancelled at an entry

	loadChanged  bool // the load has changed since the last Flush
	loadUrgent   bool // the change is to be reported at once
	simulator    queuesim.Simulator
	runningTasks []queuesim.RunningTask
	queuedTasks  []queuesim.QueuedTask
	queueLoads   queueLoads

	counts Counts
}

// Counts are totals since the table was created.
type Counts struct {
	Orders, Starts, Done, Failed, Stopped, NotRun, Unanswered, SessionsEnded, Reservations, OffersLapsed uint64
	// StopsRepeated counts repeated calls to stop a run. StartsDelayed counts the starts that waited
	// until the lease could end in time for them, and LeasesWithheld how often the lease was not
	// extended because a run could not be stopped.
	StopsRepeated, StartsDelayed, LeasesWithheld uint64
	// Concluded counts the runs that were settled without a listed end, and Outlived those that
	// may have gone on until their callers may have sent their jobs again. CarriedOver counts the
	// runs whose start an incarnation of the target may have left to the next one.
	Concluded, Outlived, CarriedOver uint64
	// Adopted counts the incarnations that became the known target, Superseded the targets that another
	// one has replaced while they were known, Unconfirmed the announced targets that did not answer at the
	// address, and Misdirected the renewals that another target answered.
	Adopted, Superseded, Unconfirmed, Misdirected uint64
}

// Table is the agent's control state. It is not safe for concurrent use.
type Table struct{ *tableState }

// New returns an empty table.
func New(o Options) *Table {
	return &Table{&tableState{
		options: o, log: o.Log, sessions: orderedmap.NewOrderedMap[ConnID, *session](), tasks: map[Task]*run{},
		targetState: newTargetState(o.Lease), evacuated: map[string]struct{}{},
		cancelled: cancellation.NewSet(cancellation.Retention),
		runTimes:  runTimesState{queues: runtimes.NewByQueue[*queueRunTimes](wire.MaxRunTimes)},
	}}
}

// session returns a session, or nil if it has ended.
func (t *Table) session(conn ConnID) *session {
	s, _ := t.sessions.Get(conn)
	return s
}

// run returns an unsettled run, or nil.
func (t *Table) run(id RunID) *run {
	r, _ := t.runs.Get(id)
	return r
}

// Counts returns the totals so far.
func (t *Table) Counts() Counts { return t.counts }

// Runs returns the number of unsettled orders.
func (t *Table) Runs() (n int) {
	for s := range t.targets() {
		n += s.runs.Len()
	}
	return n
}

// Waiting returns the number of queued orders.
func (t *Table) Waiting() int { return len(t.queue) - t.reservations.waiting }

// Drain returns queued orders and refuses new ones from now on; runs in progress finish.
func (t *Table) Drain(now time.Time) {
	t.now = now
	if !t.draining {
		t.draining = true
		t.rejectQueued(wire.NotRunLeaving)
		t.reportLoadNow()
	}
}

// Unfinished returns the number of unsettled orders, without those that only the next incarnation of
// an absent target could settle.
func (t *Table) Unfinished() (n int) {
	t.onEach(func() {
		for r := range t.runs.Values() {
			if !t.awaitsNextIncarnation(r) {
				n++
			}
		}
	})
	return n
}

// Tick applies time-outs, retries and whatever else depends on the passing of time alone. It has
// to be called periodically.
func (t *Table) Tick(now time.Time) {
	t.now, t.lastTick = now, now
	t.lapseOffers()
	t.returnExpired()
	t.onEach(func() {
		t.stopOverdue()
		t.retryStops()
		t.settleExpiredLease()
	})
	t.updateFormer()
	t.probeClaims()
	t.avoidIfStalled()
	t.health.updateIdle(now, t.runs.Len() == 0)
	t.startQueued()
	t.closeRetired()
}
