package job

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Limits on one submission. MaxTasks is the users' figure; the byte limits keep
// one submission from taking an entry's memory and one frame from blocking a
// connection for long.
const (
	MaxTasks        = 290
	MaxPayloadBytes = 64 << 10
	MaxBodyBytes    = 4 << 20
	MaxNameBytes    = 64
	MaxEstimate     = time.Hour
)

// Demand is what a task needs on its worker besides one slot of the target.
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

// Sub returns d less o.
func (d Demand) Sub(o Demand) Demand {
	return Demand{d.CPUMilli - o.CPUMilli, d.MemoryMB - o.MemoryMB, d.Accelerators - o.Accelerators}
}

// Task is one unit of work for a target.
type Task struct {
	Payload []byte `json:"payload,omitempty"`
	// EstimateMs is the declared run time on a target of speed 1; it is a hint
	// and often wrong. 0 means unknown.
	EstimateMs int64  `json:"estimate_ms,omitempty"`
	Demand     Demand `json:"demand,omitzero"`
}

// Submission is a job of many tasks or a single request.
type Submission struct {
	ID    ID     `json:"-"`
	Team  string `json:"team"`
	Class string `json:"class"`
	// Single marks a single request rather than a job.
	Single bool `json:"-"`
	// Idempotent allows a single request to run again where its outcome is unknown.
	Idempotent bool `json:"idempotent,omitempty"`
	// SpreadRacks asks that tasks of the job run in different racks while there are any.
	SpreadRacks bool   `json:"spread_racks,omitempty"`
	Tasks       []Task `json:"tasks"`
}

// Validate validates everything but the id. The error is a *fault.Fault that names the field.
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
	if !validUnique(s.Team) {
		return fault.Input(fault.BadField, "team", "takes 1 to 64 of A-Z a-z 0-9 _ - .")
	}
	if !validUnique(s.Class) {
		return fault.Input(fault.BadField, "class", "takes 1 to 64 of A-Z a-z 0-9 _ - .")
	}
	for i := range s.Tasks {
		if err := s.Tasks[i].check(i); err != nil {
			return err
		}
	}
	return nil
}

func (t *Task) check(i int) error {
	field := "tasks[" + strconv.Itoa(i) + "]."
	if len(t.Payload) > MaxPayloadBytes {
		return fault.Input(fault.BodyTooLarge, field+"payload", "at most 65536 bytes")
	}
	if t.EstimateMs < 0 || t.EstimateMs > MaxEstimate.Milliseconds() {
		return fault.Input(fault.BadField, field+"estimate_ms", "takes 0 to 3600000")
	}
	const most = 1 << 30
	d := t.Demand
	if min(d.CPUMilli, d.MemoryMB, d.Accelerators) < 0 || max(d.CPUMilli, d.MemoryMB, d.Accelerators) > most {
		return fault.Input(fault.BadField, field+"demand", "takes 0 to 1073741824 of each kind")
	}
	return nil
}

// Fingerprint identifies the content of a submission, so that an id that comes
// again with another body is refused and not answered with a stranger's answer.
func (s *Submission) Fingerprint() [sha256.Size]byte {
	h := sha256.New()
	var n [8]byte
	number := func(v int64) {
		binary.BigEndian.PutUint64(n[:], uint64(v))
		h.Write(n[:])
	}
	text := func(b []byte) {
		number(int64(len(b)))
		h.Write(b)
	}
	flag := func(b bool) {
		if b {
			number(1)
		} else {
			number(0)
		}
	}
	text([]byte(s.Team))
	text([]byte(s.Class))
	flag(s.Single)
	flag(s.Idempotent)
	flag(s.SpreadRacks)
	for i := range s.Tasks {
		t := &s.Tasks[i]
		text(t.Payload)
		number(t.EstimateMs)
		number(int64(t.Demand.CPUMilli))
		number(int64(t.Demand.MemoryMB))
		number(int64(t.Demand.Accelerators))
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// State is how a submission stands.
type State string

// States of a submission. Complete, Failed and Refused are final.
const (
	Pending  State = "pending"
	Complete State = "complete"
	Failed   State = "failed"
	Refused  State = "refused" // not accepted; no task ran or ever will
)

// Answer is the one final answer to a submission, or Pending.
type Answer struct {
	ID    string `json:"id"`
	State State  `json:"state"`
	// Results holds one result per task, in the order of the tasks; set only when Complete.
	Results [][]byte `json:"results,omitempty"`
	// Failure says why a job failed or was refused.
	Failure *fault.Fault `json:"failure,omitempty"`
}

// Final reports whether the answer can't change any more.
func (a *Answer) Final() bool { return a.State != Pending }
