// Package wire defines the frames between an entry and an agent: CBOR in binary
// WebSocket messages. The agent dials. A connection's first frame in each
// direction is Hello and Welcome; everything on a connection is in order, and the
// agent obeys only the newest connection of each entry, so whatever is still
// under way on an older one can no longer take effect.
package wire

import (
	"github.com/camphorrack/camphorrack/internal/job"
)

// Version is the protocol's version; a peer of another version is refused.
const Version = 2

// Timing of a session. An application heartbeat goes out at least every
// HeartbeatIntervalMs in both directions; TCP alone notices a connection whose middle has
// forgotten it only after minutes. SilenceTimeoutMs is several heartbeats, so that one
// lost scheduling slice of a busy host does not tear a session down.
const (
	HeartbeatIntervalMs = 250
	SilenceTimeoutMs    = 1000
)

// MaxFrameBytes caps a frame; a larger one closes the connection.
const MaxFrameBytes = 8 << 20

// Hello is the agent's first frame on a connection.
type Hello struct {
	Version     int             `cbor:"1,keyasint"`
	Incarnation job.Incarnation `cbor:"2,keyasint"`
	Worker      string          `cbor:"3,keyasint"` // name of the worker the agent runs on
	DataCentre  string          `cbor:"4,keyasint,omitempty"`
	Rack        string          `cbor:"5,keyasint,omitempty"`
	Target      Target          `cbor:"6,keyasint"`
	Entries     []Peer          `cbor:"7,keyasint,omitempty"` // entries that the agent is connected to
}

// Peer is an entry as others know it.
type Peer struct {
	Addr       string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"` // empty while it is not known
}

// Target is the state of the target beside the agent, as last announced.
type Target struct {
	Name     string     `cbor:"1,keyasint"`
	Classes  []string   `cbor:"2,keyasint,omitempty"` // task classes it serves; empty means all
	Slots    int        `cbor:"3,keyasint"`           // tasks it runs at a time
	Speed    float64    `cbor:"4,keyasint"`           // declared, relative to a target of speed 1
	Capacity job.Demand `cbor:"5,keyasint"`           // resources of the worker
	Leaving  bool       `cbor:"6,keyasint,omitempty"` // takes no new work
	Down     bool       `cbor:"7,keyasint,omitempty"` // does not answer
}

// Welcome is the entry's first frame on a connection.
type Welcome struct {
	Version     int             `cbor:"1,keyasint"`
	Incarnation job.Incarnation `cbor:"2,keyasint"`
	Addr        string          `cbor:"3,keyasint"`           // this entry's own address, behind the balancer
	Entries     []Peer          `cbor:"4,keyasint,omitempty"` // other entries it knows
	DataCentre  string          `cbor:"5,keyasint,omitempty"` // this entry's own
	Leaving     bool            `cbor:"6,keyasint,omitempty"` // it takes no new submissions
}

// Start asks an agent to run a task. It is sent only against a credit, except
// under the push policies kept for comparison.
type Start struct {
	// Seq numbers the attempts of one owner at one agent incarnation, rising from 1.
	Seq        uint64     `cbor:"1,keyasint"`
	Job        string     `cbor:"2,keyasint"`
	Task       int        `cbor:"3,keyasint"`
	Class      string     `cbor:"4,keyasint"`
	Payload    []byte     `cbor:"5,keyasint,omitempty"`
	DeadlineMs int64      `cbor:"6,keyasint"` // Unix milliseconds; not begun after it
	EstimateMs int64      `cbor:"7,keyasint,omitempty"`
	Demand     job.Demand `cbor:"8,keyasint,omitzero"`
	Idempotent bool       `cbor:"9,keyasint,omitempty"`
}

// AttemptState is what an agent knows of an attempt.
type AttemptState uint8

// States of an attempt at its agent. NotRun, Succeeded, FailedRun and Unknown are final.
const (
	Waiting   AttemptState = 1 // accepted, not begun; only under the push policies
	Running   AttemptState = 2
	NotRun    AttemptState = 3 // has not begun and never will
	Succeeded AttemptState = 4
	FailedRun AttemptState = 5 // the target ran it and reported failure
	Unknown   AttemptState = 6 // the target was called and its answer was lost
)

// Final reports whether the state can't change any more.
func (s AttemptState) Final() bool { return s >= NotRun }

// Reason tells why an attempt did not run.
type Reason uint8

// Reasons for NotRun.
const (
	ReasonNone              Reason = 0
	ReasonCancelled         Reason = 1
	ReasonDeadlinePast      Reason = 2 // its deadline was past
	ReasonNeverSeen         Reason = 3 // asked about before it came; refused from then on
	ReasonLeaving           Reason = 4
	ReasonTargetUnavailable Reason = 5 // the target could not be called or turned it away
	ReasonStale             Reason = 6 // its number is below what the owner has settled
)

// Report tells the owner of an attempt's state. A final report is repeated on
// every new connection until the owner acknowledges it.
type Report struct {
	Seq    uint64       `cbor:"1,keyasint"`
	State  AttemptState `cbor:"2,keyasint"`
	Reason Reason       `cbor:"3,keyasint,omitempty"`
	Result []byte       `cbor:"4,keyasint,omitempty"`
	Detail string       `cbor:"5,keyasint,omitempty"`
	RunMs  float64      `cbor:"6,keyasint,omitempty"` // time at the target
}

// Credits grants slots to an owner. Totals count from the start of the
// connection, so a repeated frame grants nothing twice; a new connection starts
// at zero on both sides, which is how credits of a dead or paused owner come back.
type Credits struct {
	Total  uint64 `cbor:"1,keyasint"` // granted since the connection opened
	Owners int    `cbor:"2,keyasint"` // owners connected to the agent
	Recall int    `cbor:"3,keyasint,omitempty"`
}

// Demand tells the agent how much an owner wants to start there.
type Demand struct {
	Waiting  int    `cbor:"1,keyasint"` // tasks that could start at this agent
	RankMs   int64  `cbor:"2,keyasint"` // rank of the best of them; lower goes first
	Returned uint64 `cbor:"3,keyasint"` // credits given back unused since the connection opened
}

// ToEntry is a frame from an agent to an entry.
type ToEntry struct {
	Seq     uint64         `cbor:"1,keyasint"` // rises by one per frame
	AckSeq  uint64         `cbor:"2,keyasint"` // highest Seq heard from the other side
	Hello   *Hello         `cbor:"3,keyasint,omitempty"`
	Target  *Target        `cbor:"4,keyasint,omitempty"`
	Reports []Report       `cbor:"5,keyasint,omitempty"`
	Credits *Credits       `cbor:"6,keyasint,omitempty"`
	Config  []byte         `cbor:"7,keyasint,omitempty"` // encoded configuration, where newer than the entry's
	Version uint64         `cbor:"8,keyasint,omitempty"` // configuration version in force at the agent
	Entries []Peer         `cbor:"9,keyasint,omitempty"` // entries that the agent has connected to since
	Leased  *LeasedToEntry `cbor:"10,keyasint,omitempty"`
}

// ToAgent is a frame from an entry to an agent.
type ToAgent struct {
	Seq     uint64   `cbor:"1,keyasint"`
	AckSeq  uint64   `cbor:"2,keyasint"`
	Welcome *Welcome `cbor:"3,keyasint,omitempty"`
	Starts  []Start  `cbor:"4,keyasint,omitempty"`
	Cancels []uint64 `cbor:"5,keyasint,omitempty"`
	Queries []uint64 `cbor:"6,keyasint,omitempty"` // answered by a Report each; an unseen one is refused for good
	Acks    []uint64 `cbor:"7,keyasint,omitempty"` // final reports that arrived
	// Settled says that every attempt below it is settled and will never be
	// started: the agent forgets those and refuses them if they still come.
	Settled uint64         `cbor:"8,keyasint,omitempty"`
	Demand  *Demand        `cbor:"9,keyasint,omitempty"`
	Config  []byte         `cbor:"10,keyasint,omitempty"`
	Version uint64         `cbor:"11,keyasint,omitempty"`
	Entries []Peer         `cbor:"12,keyasint,omitempty"` // entries learned since
	Leaving bool           `cbor:"13,keyasint,omitempty"` // from now on it takes no new submissions
	Leased  *LeasedToAgent `cbor:"14,keyasint,omitempty"`
}
