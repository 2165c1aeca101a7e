package wire

import (
	"fmt"
	"slices"

	"github.com/camphorrack/camphorrack/internal/job"
)

// The frames in this file are for leased targets: targets that run a task only while their
// agent renews a lease, and whose capacity is in processor and memory instead of slots. An
// attempt belongs to the session that ordered it. The agent stops it when the session
// ends, so later connections don't reconcile it.

// Features are the fields of frames that a peer understands, by the protocol that its session has negotiated. It
// rejects all others. Each value includes those before it.
type Features uint8

// Features of peers.
const (
	BaseFeatures      Features = iota
	ExtendedFeatures           // the fields marked Extended
	DescribedFeatures          // the fields marked Described
)

// Order requests an agent to run one task on its leased target.
type Order struct {
	Seq   uint64 `cbor:"1,keyasint"` // increases by one per order of a session
	Job   string `cbor:"2,keyasint"`
	Step  int    `cbor:"3,keyasint,omitempty"`
	Index int    `cbor:"4,keyasint,omitempty"`
	// RunNumber numbers the starts of one task and fences off earlier ones. It must be
	// higher than that of every earlier start of the task, by any owner.
	RunNumber  uint64     `cbor:"5,keyasint"`
	Spec       string     `cbor:"-"`                    // passed to the target; encoded in LeasedToAgent.Specs
	SpecIndex  int        `cbor:"6,keyasint,omitempty"` // index in Specs; set and used by the codec only
	Demand     job.Demand `cbor:"7,keyasint"`
	EstimateMs float64    `cbor:"8,keyasint"` // estimated run time at speed 1
	// SlackMs is how long the start may be delayed without missing the deadline. The task
	// with the least slack starts first. Times are relative, because the clocks of hosts
	// differ.
	SlackMs int64 `cbor:"9,keyasint"`
	// MaxWaitMs is how long the task may be queued before it is returned as not run.
	MaxWaitMs int64 `cbor:"10,keyasint"`
	// TimeoutMs is the time until the caller stops waiting; the run is stopped then.
	TimeoutMs int64 `cbor:"11,keyasint"`
	// Movable requests that the order is returned at once if its predicted wait is much
	// longer than ExpectedWaitMs, the wait that the entry assumed when it placed the task.
	Movable        bool    `cbor:"12,keyasint,omitempty"`
	ExpectedWaitMs float64 `cbor:"13,keyasint,omitempty"`
	// IgnoresCapacity states that the target starts every task, even beyond its capacity.
	IgnoresCapacity bool `cbor:"14,keyasint,omitempty"`
	// Queue is the name of the job's queue. Extended; encoded in LeasedToAgent.Queues.
	Queue string `cbor:"-"`
	// QueueIndex is the position in Queues, from 1; 0: unknown queue. It is set and used by the
	// codec only. Extended.
	QueueIndex int `cbor:"15,keyasint,omitempty"`
	// Priority is that of the queue; 0 is the most urgent. Extended.
	Priority int `cbor:"16,keyasint,omitempty"`
	// Reservation is the Seq of the reservation whose offer the order takes; 0: none. Extended.
	Reservation uint64 `cbor:"17,keyasint,omitempty"`
	// Description is the LeasedTarget.Number by which the entry has placed the task. Described.
	Description uint64 `cbor:"18,keyasint,omitempty"`
}

// RunEnd is the result of an order.
type RunEnd uint8

// Results of an order.
const (
	EndNotRun  RunEnd = 1 // it has not started and never will
	EndDone    RunEnd = 2
	EndFailed  RunEnd = 3 // the task or the target reported failure
	EndStopped RunEnd = 4 // it may have started and is certainly not running any more
)

// NotRunReason is the reason why an order was returned without a run.
type NotRunReason uint8

// Reasons for EndNotRun.
const (
	NotRunNone           NotRunReason = 0
	NotRunRecalled       NotRunReason = 1
	NotRunExpired        NotRunReason = 2  // it was queued for longer than MaxWaitMs
	NotRunLeaving        NotRunReason = 3  // the target or the agent accepts no new work
	NotRunDown           NotRunReason = 4  // the target is unknown, unresponsive, stalled, or has ended
	NotRunRejected       NotRunReason = 5  // the target rejected the start
	NotRunStale          NotRunReason = 6  // its run number is below that of an earlier start
	NotRunTooLarge       NotRunReason = 7  // its demand exceeds the target's capacity
	NotRunNoAnswer       NotRunReason = 8  // the target did not answer the start, and a stop has fenced it off
	NotRunAlreadyRunning NotRunReason = 9  // the agent has another unfinished run of the task
	NotRunWaitTooLong    NotRunReason = 10 // it was movable, and its predicted wait was too long
	NotRunEvacuated      NotRunReason = 11 // its data centre is evacuated
	NotRunOtherTarget    NotRunReason = 12 // it was placed by an earlier description of the agent's target
)

// RunOutcome reports the result of an order.
type RunOutcome struct {
	Seq    uint64       `cbor:"1,keyasint"` // Seq of the order
	End    RunEnd       `cbor:"2,keyasint"`
	Reason NotRunReason `cbor:"3,keyasint,omitempty"`
	RunMs  float64      `cbor:"4,keyasint,omitempty"` // run time at the target
	WaitMs float64      `cbor:"5,keyasint,omitempty"` // time queued at the agent
}

// LeasedTarget describes one incarnation of a target.
type LeasedTarget struct {
	Name     string     `cbor:"1,keyasint"` // unique to the incarnation
	Service  string     `cbor:"2,keyasint"` // service whose tasks it runs
	Labels   []string   `cbor:"3,keyasint,omitempty"`
	Capacity job.Demand `cbor:"4,keyasint"`
	// DataCentre is announced by the target. If empty, the agent's data centre applies.
	DataCentre string `cbor:"5,keyasint,omitempty"`
	// Number identifies the description among those of the agent's process. It rises whenever an order
	// that was placed by the one before may not fit any more; a change of Capacity alone keeps it.
	// Described; 0 is that of an agent without DescribedFeatures.
	Number uint64 `cbor:"6,keyasint,omitempty"`
}

// SlackHorizonsMs are the slacks for which an agent predicts queue waits. A task with
// little slack overtakes those with more, so it waits for a shorter time. The values
// separate tasks of tens, of hundreds and of more milliseconds.
var SlackHorizonsMs = [...]float64{120, 400, 1 << 30}

// Load is the load of an agent's target, as reported to the entries.
type Load struct {
	LastSeq     uint64                        `cbor:"1,keyasint"`           // highest order of this session that the load includes
	Free        job.Demand                    `cbor:"2,keyasint"`           // capacity that no task uses
	WaitMs      [len(SlackHorizonsMs)]float64 `cbor:"3,keyasint"`           // predicted queue wait of a typical task, by SlackHorizonsMs
	Speed       float64                       `cbor:"4,keyasint"`           // measured; 1 if tasks take their estimated time
	FailureRate float64                       `cbor:"5,keyasint,omitempty"` // exponentially weighted rate of failed runs and rejected starts, 0 to 1
	Leaving     bool                          `cbor:"6,keyasint,omitempty"`
	Down        bool                          `cbor:"7,keyasint,omitempty"` // the target is unknown or does not respond
	// Rejecting states that the target gets no new work for a short period, because it has
	// rejected a start or most of its tasks are stalled. Running tasks continue.
	Rejecting bool `cbor:"8,keyasint,omitempty"`
}

// ConfigNote distributes the operator's configuration between processes. A process
// announces its version, and a peer with an older version requests the body.
type ConfigNote struct {
	Version  uint64 `cbor:"1,keyasint"` // version in force at the sender
	WantBody bool   `cbor:"2,keyasint,omitempty"`
	Body     []byte `cbor:"3,keyasint,omitempty"` // encoded configuration of Version, if the peer requested it
}

// MergeWith returns a note to send instead of an earlier unsent note, which may be nil, and this
// one. It keeps a request for the body from the earlier note, and a body of the same version.
func (n ConfigNote) MergeWith(unsent *ConfigNote) *ConfigNote {
	if unsent != nil {
		n.WantBody = n.WantBody || unsent.WantBody
		if n.Body == nil && unsent.Version == n.Version {
			n.Body = unsent.Body
		}
	}
	return &n
}

// TaskRef identifies a task: the one with the given index in a step of a job.
type TaskRef struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// Fate is what happened to an incarnation of a target that had active tasks.
type Fate uint8

// Fates of a target.
const (
	FateUnresponsive Fate = 1 // the target does not respond, or has crashed; the tasks may have been running
	FateCrashed      Fate = 2 // the incarnation ended without an announcement; the tasks were running
	FateRecovered    Fate = 3 // the target responds again
)

// Crash reports the fate of an incarnation of a target. It is sent to every entry, because the
// caller of a lost job may submit it again through any of them. A crash may be reported twice, with
// the tasks that may have been running and then with those that were.
type Crash struct {
	Target    string    `cbor:"1,keyasint"`
	StartedMs int64     `cbor:"2,keyasint"` // start time of the incarnation, from its announcement
	Fate      Fate      `cbor:"3,keyasint"`
	Tasks     []TaskRef `cbor:"4,keyasint,omitempty"`
}

// Evacuation is a record of the platform's log about one data centre: it forbids the start of
// tasks there, or permits it again if Lifted is set.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint"`
	Offset     uint64 `cbor:"2,keyasint"` // offset of the record in the log
	Lifted     bool   `cbor:"3,keyasint,omitempty"`
}

// LeasedToEntry is the part of ToEntry for a leased target.
type LeasedToEntry struct {
	Target   *LeasedTarget `cbor:"1,keyasint,omitempty"`
	Load     *Load         `cbor:"2,keyasint,omitempty"`
	Outcomes []RunOutcome  `cbor:"3,keyasint,omitempty"`
	Config   *ConfigNote   `cbor:"4,keyasint,omitempty"`
	// Evacuations are processed before the rest of the frame.
	Evacuations []Evacuation `cbor:"5,keyasint,omitempty"`
	// Crashes are processed before the outcomes.
	Crashes []Crash `cbor:"6,keyasint,omitempty"`
	// RunTimes are the summaries of queues that are new or have changed. Extended.
	RunTimes []RunTimes `cbor:"7,keyasint,omitempty"`
	// Offers are offers of capacity for reservations. Extended.
	Offers []Offer `cbor:"8,keyasint,omitempty"`
	// QueueLoads replace those of the frame before that had any. Extended.
	QueueLoads []QueueLoad `cbor:"9,keyasint,omitempty"`
	// Cancellations are the ids of jobs that their callers have cancelled, processed before the outcomes. Described.
	Cancellations []string `cbor:"10,keyasint,omitempty"`
}

// LeasedToAgent is the part of ToAgent for a leased target.
type LeasedToAgent struct {
	Orders  []Order     `cbor:"1,keyasint,omitempty"`
	Recalls []uint64    `cbor:"2,keyasint,omitempty"` // Seq of orders to cancel, whose outcome is no longer needed
	Config  *ConfigNote `cbor:"3,keyasint,omitempty"`
	// LoadIntervalMs is the shortest time between two load reports that the entry requests
	// from now on; 0 keeps the earlier value.
	LoadIntervalMs int64 `cbor:"4,keyasint,omitempty"`
	// Specs are the distinct specs of Orders. All tasks of a job have the same spec, of up to
	// a few kilobytes. Repeated in each order, it would saturate the link of a small entry
	// host, and the last task of a wide job would be sent tens of milliseconds after the first.
	Specs []string `cbor:"5,keyasint,omitempty"`
	// Evacuations are processed before the rest of the frame.
	Evacuations []Evacuation `cbor:"6,keyasint,omitempty"`
	// Reservations and Releases are processed after Orders. Extended.
	Reservations []Reservation `cbor:"8,keyasint,omitempty"`
	Releases     []uint64      `cbor:"9,keyasint,omitempty"` // Seq of reservations to drop, with their offers
	// Queues are the distinct queues of Orders and Reservations. Extended.
	Queues []string `cbor:"10,keyasint,omitempty"`
	// Cancellations are the ids of jobs that their callers have cancelled, processed before Orders. The agent passes
	// them on to its other entries. Described.
	Cancellations []string `cbor:"11,keyasint,omitempty"`
}

// MaxCancellations is the maximum number of cancellations in a frame.
const MaxCancellations = 256

// specIndexError reports an order whose spec is missing from its frame.
type specIndexError struct {
	orderSeq     uint64
	index, count int
}

// Error implements error.
func (e *specIndexError) Error() string {
	return fmt.Sprintf("order %d refers to spec %d of %d", e.orderSeq, e.index, e.count)
}

// queueIndexError reports an order whose queue is missing from its frame.
type queueIndexError struct {
	orderSeq     uint64
	index, count int
}

// Error implements error.
func (e *queueIndexError) Error() string {
	return fmt.Sprintf("order %d refers to queue %d of %d", e.orderSeq, e.index, e.count)
}

// collectStrings sets Specs and Queues, and each order's index in them, for encoding.
func (l *LeasedToAgent) collectStrings() {
	if l == nil {
		return
	}
	l.Specs, l.Queues = l.Specs[:0], l.Queues[:0]
	for i := range l.Orders {
		o := &l.Orders[i]
		o.SpecIndex = internString(&l.Specs, o.Spec)
		o.QueueIndex = 0
		if o.Queue != "" {
			o.QueueIndex = internString(&l.Queues, o.Queue) + 1
		}
	}
	l.collectReservationQueues()
}

// internString returns the index of a string in a list, and appends it if it is missing.
func internString(list *[]string, s string) int {
	index := slices.Index(*list, s)
	if index < 0 {
		index = len(*list)
		*list = append(*list, s)
	}
	return index
}

// distributeStrings sets each order's Spec and Queue after decoding.
func (l *LeasedToAgent) distributeStrings() error {
	if l == nil {
		return nil
	}
	for i := range l.Orders {
		o := &l.Orders[i]
		if o.SpecIndex < 0 || o.SpecIndex >= len(l.Specs) {
			return &specIndexError{o.Seq, o.SpecIndex, len(l.Specs)}
		}
		if o.QueueIndex < 0 || o.QueueIndex > len(l.Queues) {
			return &queueIndexError{o.Seq, o.QueueIndex, len(l.Queues)}
		}
		o.Spec = l.Specs[o.SpecIndex]
		if o.QueueIndex > 0 {
			o.Queue = l.Queues[o.QueueIndex-1]
		}
	}
	return l.distributeReservationQueues()
}

// cancellationBytes is the encoded size of a cancellation, whose id has 16 characters.
const cancellationBytes = 17

// estimatedBytes estimates the encoded size in bytes; l may be nil.
func (l *LeasedToEntry) estimatedBytes() int {
	if l == nil {
		return 0
	}
	n := frameOverhead*(2+len(l.Outcomes)+len(l.QueueLoads)+len(l.Offers)) + cancellationBytes*len(l.Cancellations)
	for i := range l.Crashes {
		n += frameOverhead * (1 + len(l.Crashes[i].Tasks))
	}
	for i := range l.RunTimes {
		n += l.RunTimes[i].estimatedBytes()
	}
	if l.Config != nil {
		n += len(l.Config.Body)
	}
	return n
}

// estimatedBytes estimates the encoded size in bytes; l may be nil.
func (l *LeasedToAgent) estimatedBytes() int {
	if l == nil {
		return 0
	}
	n := frameOverhead*(1+2*len(l.Reservations)) + maxSeqBytes*len(l.Releases) + cancellationBytes*len(l.Cancellations)
	for i := range l.Orders {
		n += 2 * frameOverhead
		if i == 0 || l.Orders[i].Spec != l.Orders[i-1].Spec {
			n += len(l.Orders[i].Spec)
		}
	}
	if l.Config != nil {
		n += len(l.Config.Body)
	}
	return n
}
