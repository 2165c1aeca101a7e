package job

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Limits of a submission. MaxTasks is the users' requirement. The byte limits keep one
// submission from exhausting an entry's memory and one frame from blocking a connection
// for long.
const (
	MaxTasks        = 290
	MaxPayloadBytes = 64 << 10
	MaxBodyBytes    = 4 << 20
	MaxNameBytes    = 64
	MaxEstimate     = time.Hour
)

// Demand is the resources that a task needs on its worker, besides a slot of the target.
type Demand struct {
	CPUMilli     int `json:"cpu_milli,omitempty" cbor:"1,keyasint,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty" cbor:"2,keyasint,omitempty"`
	Accelerators int `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Fits reports whether d fits into free.
func (d Demand) Fits(free Demand) bool {
	return d.CPUMilli <= free.CPUMilli && d.MemoryMB <= free.MemoryMB && d.Accelerators <= free.Accelerators
}

// Add returns the sum of both demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{d.CPUMilli + o.CPUMilli, d.MemoryMB + o.MemoryMB, d.Accelerators + o.Accelerators}
}

// Sub returns d reduced by o.
func (d Demand) Sub(o Demand) Demand {
	return Demand{d.CPUMilli - o.CPUMilli, d.MemoryMB - o.MemoryMB, d.Accelerators - o.Accelerators}
}

// Task is one unit of work for a target.
type Task struct {
	Payload []byte `json:"payload,omitempty"`
	// EstimateMs is the declared run time on a target of speed 1. It is a hint and often
	// inaccurate; 0 means unknown.
	EstimateMs int64  `json:"estimate_ms,omitempty"`
	Demand     Demand `json:"demand,omitzero"`
}

// Submission is a job of one or more tasks, or a single request.
type Submission struct {
	ID    ID     `json:"-"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// Single marks a single request rather than a job.
	Single bool `json:"-"`
	// Idempotent permits running a single request again if its outcome is unknown.
	Idempotent bool `json:"idempotent,omitempty"`
	// SpreadRacks requests that the job's tasks run in different racks as far as possible.
	SpreadRacks bool   `json:"spread_racks,omitempty"`
	Tasks       []Task `json:"tasks"`
}

// Validate checks all fields except the id. The error is a *fault.Fault that names the field.
func (s *Submission) Validate() error {
	if len(s.Tasks) == 0 || len(s.Tasks) > MaxTasks {
		return fault.Input(fault.BadTaskCount, "tasks", "a job has 1 to 290 tasks, got "+strconv.Itoa(len(s.Tasks)))
	}
	if s.Single && len(s.Tasks) != 1 {
		return fault.Input(fault.BadTaskCount, "tasks", "a single request has exactly one task")
	}
	if s.Idempotent && !s.Single {
		return fault.Input(fault.BadField, "idempotent", "only a single request may be marked idempotent")
	}
	if !validName(s.Team) {
		return fault.Input(fault.BadField, "team", "takes 1 to 64 of A-Z a-z 0-9 _ - .")
	}
	if !validName(s.Class) {
		return fault.Input(fault.BadField, "class", "takes 1 to 64 of A-Z a-z 0-9 _ - .")
	}
	for i := range s.Tasks {
		if err := s.Tasks[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the task with index i. The error is a *fault.Fault.
func (t *Task) validate(i int) error {
	field := "tasks[" + strconv.Itoa(i) + "]."
	if len(t.Payload) > MaxPayloadBytes {
		return fault.Input(fault.BodyTooLarge, field+"payload", "at most 65536 bytes")
	}
	if t.EstimateMs < 0 || t.EstimateMs > MaxEstimate.Milliseconds() {
		return fault.Input(fault.BadField, field+"estimate_ms", "takes 0 to 3600000")
	}
	const maxAmount = 1 << 30
	d := t.Demand
	if min(d.CPUMilli, d.MemoryMB, d.Accelerators) < 0 || max(d.CPUMilli, d.MemoryMB, d.Accelerators) > maxAmount {
		return fault.Input(fault.BadField, field+"demand", "takes 0 to 1073741824 of each kind")
	}
	return nil
}

// Fingerprint returns a hash of the content of a submission. It lets an id that is
// submitted again with another body be refused instead of getting the answer to the first.
func (s *Submission) Fingerprint() [sha256.Size]byte {
	h := sha256.New()
	var n [8]byte
	writeInt := func(v int64) {
		binary.BigEndian.PutUint64(n[:], uint64(v))
		h.Write(n[:])
	}
	writeBytes := func(b []byte) {
		writeInt(int64(len(b)))
		h.Write(b)
	}
	writeBool := func(b bool) {
		if b {
			writeInt(1)
		} else {
			writeInt(0)
		}
	}
	writeBytes([]byte(s.Team))
	writeBytes([]byte(s.Class))
	writeBool(s.Single)
	writeBool(s.Idempotent)
	writeBool(s.SpreadRacks)
	for i := range s.Tasks {
		t := &s.Tasks[i]
		writeBytes(t.Payload)
		writeInt(t.EstimateMs)
		writeInt(int64(t.Demand.CPUMilli))
		writeInt(int64(t.Demand.MemoryMB))
		writeInt(int64(t.Demand.Accelerators))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// State is the state of a submission.
type State string

// States of a submission. Complete, Failed and Refused are final.
const (
	Pending  State = "pending"
	Complete State = "complete"
	Failed   State = "failed"
	Refused  State = "refused" // not accepted; no task has run or ever will
)

// Answer is the answer to a submission: its only final one, or one in the state Pending.
type Answer struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Results holds one result per task, in the order of the tasks; set only when Complete.
	Results [][]byte `json:"results,omitempty"`
	// Failure is the reason why a job failed or was refused.
	Failure *fault.Fault `json:"failure,omitempty"`
}

// Final reports whether the answer can no longer change.
func (a *Answer) Final() bool { return a.State != Pending }
