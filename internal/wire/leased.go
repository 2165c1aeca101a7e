package wire

import (
	"fmt"
	"slices"

	"github.com/camphorrack/camphorrack/internal/job"
)

// The frames of this file are for leased targets: targets that run a task only
// while their agent renews a lease, with amounts of processor and memory in place
// of slots. An attempt belongs to the session that ordered it. The agent ends it
// when the session ends, so nothing of it is asked about on a later connection.

// Order asks an agent to run one task on its leased target.
type Order struct {
	Seq   uint64 `cbor:"1,keyasint"` // rises by one per order of a session
	Job   string `cbor:"2,keyasint"`
	Step  int    `cbor:"3,keyasint,omitempty"`
	Index int    `cbor:"4,keyasint,omitempty"`
	// Run numbers the starts of one task. It must be higher than the number of
	// every earlier start of the task, by whichever owner.
	Run        uint64     `cbor:"5,keyasint"`
	Spec       string     `cbor:"-"`                    // what the target is told; see LeasedToAgent.Specs
	SpecIndex  int        `cbor:"6,keyasint,omitempty"` // its place in Specs, on the wire alone
	Demand     job.Demand `cbor:"7,keyasint"`
	EstimateMs float64    `cbor:"8,keyasint"` // at speed 1
	// SlackMs is how long the task may wait and still be in time; the task with the
	// least goes first. Times are relative, because the clocks of hosts differ.
	SlackMs int64 `cbor:"9,keyasint"`
	// MaxWaitMs is how long the task may wait before it comes back as not run.
	MaxWaitMs int64 `cbor:"10,keyasint"`
	// TimeoutMs is when the caller stops waiting: the run is stopped then.
	TimeoutMs int64 `cbor:"11,keyasint"`
	// Movable says that the order is to come back at once where it would wait much longer
	// than WaitMs, which is what the entry reckons with.
	Movable        bool    `cbor:"12,keyasint,omitempty"`
	ExpectedWaitMs float64 `cbor:"13,keyasint,omitempty"`
	// IgnoresCapacity says that the target starts whatever it is told to, beyond its capacity too.
	IgnoresCapacity bool `cbor:"14,keyasint,omitempty"`
}

// RunEnd says how an order ended.
type RunEnd uint8

// Ends of an order.
const (
	EndNotRun  RunEnd = 1 // it never started and never will
	EndDone    RunEnd = 2
	EndFailed  RunEnd = 3 // the task, or the target, failed it
	EndStopped RunEnd = 4 // it may have started and certainly runs no more
)

// NotRunReason says why an order came back.
type NotRunReason uint8

// Reasons for EndNotRun.
const (
	NotRunNone           NotRunReason = 0
	NotRunRecalled       NotRunReason = 1
	NotRunExpired        NotRunReason = 2  // it waited longer than MaxWaitMs
	NotRunLeaving        NotRunReason = 3  // the target or the agent takes no new work
	NotRunDown           NotRunReason = 4  // the target does not answer
	NotRunRejected       NotRunReason = 5  // the target turned it away
	NotRunStale          NotRunReason = 6  // its run number is below an earlier one
	NotRunTooLarge       NotRunReason = 7  // larger than the target
	NotRunNoAnswer       NotRunReason = 8  // the start was not answered, and is fenced off
	NotRunAlreadyRunning NotRunReason = 9  // another run of the task is not over at the agent
	NotRunWaitTooLong    NotRunReason = 10 // it was movable, and would have waited too long
	NotRunEvacuated      NotRunReason = 11 // its data centre is evacuated
)

// RunOutcome reports the end of an order.
type RunOutcome struct {
	Seq    uint64       `cbor:"1,keyasint"`
	End    RunEnd       `cbor:"2,keyasint"`
	Reason NotRunReason `cbor:"3,keyasint,omitempty"`
	RunMs  float64      `cbor:"4,keyasint,omitempty"` // time at the target
	WaitMs float64      `cbor:"5,keyasint,omitempty"` // time in the agent's queue
}

// LeasedTarget describes one life of a target.
type LeasedTarget struct {
	Name     string     `cbor:"1,keyasint"` // new in each life
	Service  string     `cbor:"2,keyasint"`
	Labels   []string   `cbor:"3,keyasint,omitempty"`
	Capacity job.Demand `cbor:"4,keyasint"`
	// DataCentre is where the target says it is; empty: where its agent is.
	DataCentre string `cbor:"5,keyasint,omitempty"`
}

// SlackHorizonsMs are the slacks, in milliseconds, for which an agent predicts waits: a
// task with little slack overtakes those with more, so its wait is shorter. The
// figures part tasks of tens, of hundreds and of more milliseconds.
var SlackHorizonsMs = [...]float64{120, 400, 1 << 30}

// Load is what an agent's target can take.
type Load struct {
	LastSeq    uint64                        `cbor:"1,keyasint"` // highest order of this session that is counted in
	Free       job.Demand                    `cbor:"2,keyasint"`
	WaitMs     [len(SlackHorizonsMs)]float64 `cbor:"3,keyasint"` // predicted wait of a usual task, by SlackHorizonsMs
	Speed      float64                       `cbor:"4,keyasint"` // measured, 1 where a task takes its estimate
	FailedRate float64                       `cbor:"5,keyasint,omitempty"`
	Leaving    bool                          `cbor:"6,keyasint,omitempty"`
	Down       bool                          `cbor:"7,keyasint,omitempty"` // the target does not answer
	Rejecting  bool                          `cbor:"8,keyasint,omitempty"` // it turns starts away; what runs goes on
}

// ConfigNote passes the operator's configuration between processes. A process
// announces the version it has; whoever lags asks for the body.
type ConfigNote struct {
	Version  uint64 `cbor:"1,keyasint"` // in force at the sender
	WantBody bool   `cbor:"2,keyasint,omitempty"`
	Body     []byte `cbor:"3,keyasint,omitempty"` // of Version, where it was asked for
}

// MergeWith returns the note to send in place of an earlier one that was not sent yet and of
// this one, which never says less.
func (n ConfigNote) MergeWith(held *ConfigNote) *ConfigNote {
	if held != nil {
		n.WantBody = n.WantBody || held.WantBody
		if n.Body == nil && held.Version == n.Version {
			n.Body = held.Body
		}
	}
	return &n
}

// TaskRef names a task.
type TaskRef struct {
	Job   string `cbor:"1,keyasint"`
	Step  int    `cbor:"2,keyasint,omitempty"`
	Index int    `cbor:"3,keyasint,omitempty"`
}

// Fate says what became of a life of a target with tasks at work.
type Fate uint8

// Fates.
const (
	FateUnresponsive Fate = 1 // it does not answer
	FateCrashed      Fate = 2 // it is over, and nobody was told before
	FateRecovered    Fate = 3 // it answers again after a silence
)

// Crash tells what became of a life of a target. It goes to every entry: the caller of a job
// that was lost asks again through any of them.
type Crash struct {
	Target    string    `cbor:"1,keyasint"`
	StartedMs int64     `cbor:"2,keyasint"`
	Fate      Fate      `cbor:"3,keyasint"`
	Tasks     []TaskRef `cbor:"4,keyasint,omitempty"` // that were at work
}

// Evacuation is what a record of the platform's log says of one data centre: no task is to
// start there, or tasks may start there again.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint"`
	Offset     uint64 `cbor:"2,keyasint"` // of the record
	Lifted     bool   `cbor:"3,keyasint,omitempty"`
}

// LeasedToEntry is the part of ToEntry that is about a leased target.
type LeasedToEntry struct {
	Target   *LeasedTarget `cbor:"1,keyasint,omitempty"`
	Load     *Load         `cbor:"2,keyasint,omitempty"`
	Outcomes []RunOutcome  `cbor:"3,keyasint,omitempty"`
	Config   *ConfigNote   `cbor:"4,keyasint,omitempty"`
	// Evacuations count before anything else of the frame.
	Evacuations []Evacuation `cbor:"5,keyasint,omitempty"`
	// Crashes count before the outcomes.
	Crashes []Crash `cbor:"6,keyasint,omitempty"`
}

// LeasedToAgent is the part of ToAgent that is about a leased target.
type LeasedToAgent struct {
	Orders  []Order     `cbor:"1,keyasint,omitempty"`
	Recalls []uint64    `cbor:"2,keyasint,omitempty"` // orders whose outcome no longer matters
	Config  *ConfigNote `cbor:"3,keyasint,omitempty"`
	// LoadIntervalMs is the shortest time between two reports of the load that the entry
	// wants from now on; 0: as before.
	LoadIntervalMs int64 `cbor:"4,keyasint,omitempty"`
	// Specs are those of Orders, each once. All tasks of a job have the same one, of up to
	// some kilobytes; repeated with each order, it fills the link of a small entry host, and
	// the last task of a wide job leaves tens of milliseconds after the first.
	Specs []string `cbor:"5,keyasint,omitempty"`
	// Evacuations count before anything else of the frame.
	Evacuations []Evacuation `cbor:"6,keyasint,omitempty"`
}

// specError is an order whose spec its frame does not bring.
type specError struct {
	order  uint64
	at, of int
}

// Error implements error.
func (e *specError) Error() string {
	return fmt.Sprintf("order %d names spec %d of %d", e.order, e.at, e.of)
}

// pack moves the orders' specs to Specs.
func (l *LeasedToAgent) pack() {
	if l == nil {
		return
	}
	l.Specs = l.Specs[:0]
	for i := range l.Orders {
		o := &l.Orders[i]
		at := slices.Index(l.Specs, o.Spec)
		if at < 0 {
			at = len(l.Specs)
			l.Specs = append(l.Specs, o.Spec)
		}
		o.SpecIndex = at
	}
}

// unpack gives each order its spec.
func (l *LeasedToAgent) unpack() error {
	if l == nil {
		return nil
	}
	for i := range l.Orders {
		o := &l.Orders[i]
		if o.SpecIndex < 0 || o.SpecIndex >= len(l.Specs) {
			return &specError{o.Seq, o.SpecIndex, len(l.Specs)}
		}
		o.Spec = l.Specs[o.SpecIndex]
	}
	return nil
}

func (l *LeasedToEntry) weight() int {
	if l == nil {
		return 0
	}
	n := frameOverhead * (2 + len(l.Outcomes))
	for i := range l.Crashes {
		n += frameOverhead * (1 + len(l.Crashes[i].Tasks))
	}
	if l.Config != nil {
		n += len(l.Config.Body)
	}
	return n
}

func (l *LeasedToAgent) weight() int {
	if l == nil {
		return 0
	}
	n := frameOverhead
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
