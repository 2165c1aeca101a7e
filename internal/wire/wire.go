// Package wire defines the frames between an entry and an agent: CBOR in binary
// WebSocket messages. The agent dials. The first frame is Hello from the agent and
// Welcome from the entry. Frames of a connection are processed in order, and the agent
// follows only the newest connection of each entry, so frames still in transit on an
// older one have no effect.
package wire

import (
	"github.com/camphorrack/camphorrack/internal/job"
)

// Version is the protocol version. A peer with another version is rejected. Fields marked as
// extended or described were added to this version later; they are sent only to peers with these
// Features.
const Version = 2

// Default timing of a session. Each side sends a heartbeat at least every
// HeartbeatIntervalMs, because TCP alone detects a connection that a middlebox has dropped
// only after minutes. SilenceTimeoutMs is several heartbeat intervals, so that one missed
// scheduling slice on a busy host does not end a session.
const (
	HeartbeatIntervalMs = 250
	SilenceTimeoutMs    = 1000
)

// MaxFrameBytes is the maximum encoded size of a frame. A larger one closes the connection.
const MaxFrameBytes = 8 << 20

// Hello is the agent's first frame on a connection.
type Hello struct {
	Version     int             `cbor:"1,keyasint"`
	Incarnation job.Incarnation `cbor:"2,keyasint"`
	Worker      string          `cbor:"3,keyasint"` // name of the worker that the agent runs on
	DataCentre  string          `cbor:"4,keyasint,omitempty"`
	Rack        string          `cbor:"5,keyasint,omitempty"`
	Target      Target          `cbor:"6,keyasint"`
	Entries     []Peer          `cbor:"7,keyasint,omitempty"` // entries that the agent is connected to
}

// Peer is an entry that agents and other entries may connect to.
type Peer struct {
	Addr       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"` // empty if unknown
}

// Target is the latest announced state of the target on the agent's worker.
type Target struct {
	Name     string     `cbor:"1,keyasint"`
	Classes  []string   `cbor:"2,keyasint,omitempty"` // task classes that it accepts; empty means all
	Slots    int        `cbor:"3,keyasint"`           // maximum number of concurrent tasks
	Speed    float64    `cbor:"4,keyasint"`           // declared, relative to a target of speed 1
	Capacity job.Demand `cbor:"5,keyasint"`           // resources of the worker
	Leaving  bool       `cbor:"6,keyasint,omitempty"` // accepts no new work
	Down     bool       `cbor:"7,keyasint,omitempty"` // does not respond
}

// Welcome is the entry's first frame on a connection.
type Welcome struct {
	Version     int             `cbor:"1,keyasint"`
	Incarnation job.Incarnation `cbor:"2,keyasint"`
	Addr        string          `cbor:"3,keyasint"`           // address of this entry itself, not of the load balancer
	Entries     []Peer          `cbor:"4,keyasint,omitempty"` // other known entries
	DataCentre  string          `cbor:"5,keyasint,omitempty"` // data centre of this entry
	Leaving     bool            `cbor:"6,keyasint,omitempty"` // accepts no new submissions
}

// Start requests an agent to run a task. It requires a credit, except under the push
// policies, which exist for comparison.
type Start struct {
	// Seq numbers the attempts of one owner at one agent incarnation, in ascending order from 1.
	Seq        uint64     `cbor:"1,keyasint"`
	Job        string     `cbor:"2,keyasint"`
	Task       int        `cbor:"3,keyasint"`
	Class      string     `cbor:"4,keyasint"`
	Payload    []byte     `cbor:"5,keyasint,omitempty"`
	DeadlineMs int64      `cbor:"6,keyasint"`           // Unix milliseconds; the task does not start later
	EstimateMs int64      `cbor:"7,keyasint,omitempty"` // declared run time at speed 1; 0 if unknown
	Demand     job.Demand `cbor:"8,keyasint,omitzero"`
	Idempotent bool       `cbor:"9,keyasint,omitempty"`
}

// AttemptState is the state of an attempt at its agent.
type AttemptState uint8

// States of an attempt. NotRun, Succeeded, FailedRun and Unknown are final.
const (
	Waiting   AttemptState = 1 // accepted and not started; only under the push policies
	Running   AttemptState = 2
	NotRun    AttemptState = 3 // has not started and never will
	Succeeded AttemptState = 4
	FailedRun AttemptState = 5 // the target ran it and reported failure
	Unknown   AttemptState = 6 // the target was called and its response was lost
)

// Final reports whether the state can no longer change.
func (s AttemptState) Final() bool { return s >= NotRun }

// Reason is the reason why an attempt did not run.
type Reason uint8

// Reasons for NotRun.
const (
	ReasonNone              Reason = 0
	ReasonCancelled         Reason = 1
	ReasonDeadlinePast      Reason = 2 // its deadline had passed
	ReasonNeverSeen         Reason = 3 // queried before its start arrived; refused from then on
	ReasonLeaving           Reason = 4
	ReasonTargetUnavailable Reason = 5 // the target could not be called, or rejected the task
	ReasonStale             Reason = 6 // its number is not above that of an earlier start or query, or is settled
)

// Report reports the state of an attempt to its owner. A final report is repeated on
// every new connection until the owner acknowledges it.
type Report struct {
	Seq    uint64       `cbor:"1,keyasint"` // Start.Seq of the attempt
	State  AttemptState `cbor:"2,keyasint"`
	Reason Reason       `cbor:"3,keyasint,omitempty"`
	Result []byte       `cbor:"4,keyasint,omitempty"`
	Detail string       `cbor:"5,keyasint,omitempty"`
	RunMs  float64      `cbor:"6,keyasint,omitempty"` // run time at the target
}

// Credits grants slots to an owner. The total counts from the start of the connection, so
// a repeated frame grants nothing twice. A new connection starts at zero on both sides,
// which reclaims the credits of a dead or paused owner.
type Credits struct {
	Total  uint64 `cbor:"1,keyasint"`           // granted since the connection opened
	Owners int    `cbor:"2,keyasint"`           // owners connected to the agent
	Recall int    `cbor:"3,keyasint,omitempty"` // unused credits that the owner must return
}

// Demand reports to the agent how many tasks an owner could start there.
type Demand struct {
	Waiting  int    `cbor:"1,keyasint"` // tasks that could start at this agent
	RankMs   int64  `cbor:"2,keyasint"` // rank of the best of them; lower ranks start first
	Returned uint64 `cbor:"3,keyasint"` // unused credits returned since the connection opened
}

// ToEntry is a frame from an agent to an entry.
type ToEntry struct {
	Seq     uint64         `cbor:"1,keyasint"` // increases by one per frame
	AckSeq  uint64         `cbor:"2,keyasint"` // highest Seq of the peer's frames that was processed
	Hello   *Hello         `cbor:"3,keyasint,omitempty"`
	Target  *Target        `cbor:"4,keyasint,omitempty"`
	Reports []Report       `cbor:"5,keyasint,omitempty"`
	Credits *Credits       `cbor:"6,keyasint,omitempty"`
	Config  []byte         `cbor:"7,keyasint,omitempty"` // encoded configuration, if newer than the entry's
	Version uint64         `cbor:"8,keyasint,omitempty"` // configuration version in force at the agent
	Entries []Peer         `cbor:"9,keyasint,omitempty"` // entries that the agent has connected to since the previous frame; of a runner: all that it selects
	Leased  *LeasedToEntry `cbor:"10,keyasint,omitempty"`
	// Handover is sent on session.EntryPath only, which older entries do not serve.
	Handover *HandoverRequest `cbor:"11,keyasint,omitempty"`
	// Confirmed is the highest Seq of the peer's frames that the sender had received when it last
	// verified which work it still wants; what it no longer wanted then is recalled in this frame or
	// an earlier one. It is sent only to peers that negotiated session.ConfirmingProtocol.
	Confirmed uint64 `cbor:"12,keyasint,omitempty"`
}

// ToAgent is a frame from an entry to an agent.
type ToAgent struct {
	Seq     uint64   `cbor:"1,keyasint"`
	AckSeq  uint64   `cbor:"2,keyasint"`
	Welcome *Welcome `cbor:"3,keyasint,omitempty"`
	Starts  []Start  `cbor:"4,keyasint,omitempty"`
	Cancels []uint64 `cbor:"5,keyasint,omitempty"`
	Queries []uint64 `cbor:"6,keyasint,omitempty"` // each answered by a Report; an attempt not seen before is refused from then on
	Acks    []uint64 `cbor:"7,keyasint,omitempty"` // Seq of final reports received
	// Settled states that every attempt with a lower Seq is settled and will not be
	// started: the agent discards their state and refuses them if they still arrive.
	Settled uint64         `cbor:"8,keyasint,omitempty"`
	Demand  *Demand        `cbor:"9,keyasint,omitempty"`
	Config  []byte         `cbor:"10,keyasint,omitempty"`
	Version uint64         `cbor:"11,keyasint,omitempty"`
	Entries []Peer         `cbor:"12,keyasint,omitempty"` // entries learned since the previous frame
	Leaving bool           `cbor:"13,keyasint,omitempty"` // the entry accepts no new submissions from now on
	Leased  *LeasedToAgent `cbor:"14,keyasint,omitempty"`
	// Handover is sent on session.EntryPath only.
	Handover  *HandoverReply `cbor:"15,keyasint,omitempty"`
	Confirmed uint64         `cbor:"16,keyasint,omitempty"` // see ToEntry
}
