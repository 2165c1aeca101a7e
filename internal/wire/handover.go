package wire

import "github.com/camphorrack/camphorrack/internal/job"

// The frames in this file are exchanged between two entries, on session.EntryPath only. The
// entry that hands submissions over dials, sends ToEntry.Handover and receives
// ToAgent.Handover. The other end sends the first frame, with its Welcome and its state. A
// submission belongs to its session: when the session ends, the peer abandons the job.

// HandoverRequest is the content of a frame of the entry that hands submissions over. Its
// first frame has a Hello.
type HandoverRequest struct {
	Hello       *HandoverHello `cbor:"1,keyasint,omitempty"`
	Submissions []Submission   `cbor:"2,keyasint,omitempty"`
	Cancels     []uint64       `cbor:"3,keyasint,omitempty"` // Number of submissions whose callers have left
}

// HandoverHello describes the dialling entry.
type HandoverHello struct {
	Version     int             `cbor:"1,keyasint"`
	Incarnation job.Incarnation `cbor:"2,keyasint"`
	DataCentre  string          `cbor:"3,keyasint,omitempty"`
}

// Submission is a job of which no task was ordered.
type Submission struct {
	Number uint64 `cbor:"1,keyasint"` // increases with each submission of a session
	ID     string `cbor:"2,keyasint"`
	Queue  string `cbor:"3,keyasint"` // name of the queue
	// ConfigVersion is the configuration of the first entry. The peer's own applies to the
	// job; the number is for its log.
	ConfigVersion uint64           `cbor:"4,keyasint,omitempty"`
	Spec          string           `cbor:"5,keyasint,omitempty"`
	Steps         []SubmissionStep `cbor:"6,keyasint"`
	// RemainingMs is how long the caller still waits. It is relative, because the clocks of
	// hosts differ.
	RemainingMs int64 `cbor:"7,keyasint"`
}

// SubmissionStep is a group of identical tasks of a job.
type SubmissionStep struct {
	Count        int        `cbor:"1,keyasint"`
	Demand       job.Demand `cbor:"2,keyasint"`
	EstimateMs   float64    `cbor:"3,keyasint"` // as declared by the caller
	DependsOn    []int      `cbor:"4,keyasint,omitempty"`
	Label        string     `cbor:"5,keyasint,omitempty"`
	DataRack     string     `cbor:"6,keyasint,omitempty"`
	MaxPerTarget int        `cbor:"7,keyasint,omitempty"`
}

// HandoverReply is the content of a frame of the entry that takes submissions.
type HandoverReply struct {
	State   *HandoverState   `cbor:"1,keyasint,omitempty"` // in the first frame, and when it has changed by a fifth or more
	Answers []HandoverAnswer `cbor:"2,keyasint,omitempty"`
}

// HandoverState is the load of an entry that takes submissions.
type HandoverState struct {
	Draining       bool    `cbor:"1,keyasint,omitempty"`
	Targets        int     `cbor:"2,keyasint,omitempty"` // usable targets
	LinkMbps       float64 `cbor:"3,keyasint,omitempty"` // bandwidth of its link; 0: unknown or unlimited
	LinkWaitMs     float64 `cbor:"4,keyasint,omitempty"` // how long new data waits for its link
	Unanswered     int     `cbor:"5,keyasint,omitempty"` // jobs without an answer
	ProcessorShare float64 `cbor:"6,keyasint,omitempty"` // in cores; 0: unknown
}

// HandoverAnswer is the single answer to a submission.
type HandoverAnswer struct {
	Number       uint64 `cbor:"1,keyasint"`
	Kind         uint8  `cbor:"2,keyasint"`           // dispatch.AnswerKind
	Fault        int    `cbor:"3,keyasint,omitempty"` // fault.Code; 0: none
	Detail       string `cbor:"4,keyasint,omitempty"` // of the fault
	RetryAfterMs int64  `cbor:"5,keyasint,omitempty"`
}

// estimatedBytes estimates the encoded size in bytes; r may be nil.
func (r *HandoverRequest) estimatedBytes() int {
	if r == nil {
		return 0
	}
	const maxIntegerBytes = 9 // longest CBOR integer
	n := frameOverhead + maxIntegerBytes*len(r.Cancels)
	for i := range r.Submissions {
		n += r.Submissions[i].EstimatedBytes()
	}
	return n
}

// EstimatedBytes estimates the encoded size of the submission in bytes.
func (s *Submission) EstimatedBytes() int {
	n := 2*frameOverhead + len(s.ID) + len(s.Queue) + len(s.Spec)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += frameOverhead + 3*len(step.DependsOn) + len(step.Label) + len(step.DataRack)
	}
	return n
}

// estimatedBytes estimates the encoded size in bytes; r may be nil.
func (r *HandoverReply) estimatedBytes() int {
	if r == nil {
		return 0
	}
	n := 2 * frameOverhead
	for i := range r.Answers {
		n += frameOverhead + len(r.Answers[i].Detail)
	}
	return n
}
