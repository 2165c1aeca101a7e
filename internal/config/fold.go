package config

import (
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Stream is the stream of the platform's log that holds the configuration.
const Stream = "camphorrack-config"

// Outcome is what the fold made of a record.
type Outcome int

// Outcomes. A record that is no change counts as Ignored.
const (
	Ignored       Outcome = iota
	Accepted              // the change made a new version
	VoidStaleBase         // its base was no longer the current version
	VoidInvalid           // it can't be part of any state
	Malformed             // its bytes are no record
	Undetermined          // met while detached: whether it was accepted can't be told
)

var outcomeNames = []string{"ignored", "accepted", "void (based on an older version)", "void (malformed change)", "malformed", "not judged (before the first snapshot kept)"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the outcome of one change or restart.
type Result struct {
	Offset  uint64
	Outcome Outcome
	Change  *Change  // nil for a restart
	Restart *Restart // nil for a change
	State   *State   // the state in force after the record
	Err     error    // for VoidShape and Malformed
}

// ID returns the id of the change or restart, or "".
func (v *Result) ID() string {
	switch {
	case v.Change != nil:
		return v.Change.ID
	case v.Restart != nil:
		return v.Restart.ID
	}
	return ""
}

// ErrGap says that records were offered that do not follow on what was folded.
var ErrGap = errors.New("records do not follow on the position of the fold")

// Fold turns the log into the configuration, record by record. It decides by the
// order of the log alone, so every process that reads the same records holds the
// same state. A Fold belongs to one goroutine.
//
// It is attached while it has seen every record up to its position. Once the log
// has dropped records that it had not seen, it can't know whether one of them was
// an accepted change. Folding on regardless would let it take changes that are
// void for everyone else, and two halves of the fleet would part for good. So a
// detached fold keeps its state and takes no change until it meets a snapshot
// whose position it can follow on from.
type Fold struct {
	state     *State
	attached  bool
	scanFrom  uint64 // while detached: first record seen without a gap
	scanNext  uint64 // while detached: the next one to read
	scanWrite uint64 // while detached: what State.LastWrite is while attached
	snapshots uint64 // snapshot records met
	lowest    uint64 // first offset read since the last loss
}

// NewFold returns a fold that goes on from a state, which another fold made.
func NewFold(s *State) *Fold { return &Fold{state: s, attached: true} }

// State returns the current state; it must not be changed.
func (f *Fold) State() *State { return f.state }

// Contiguous reports whether the state is certainly current as of its position.
func (f *Fold) Contiguous() bool { return f.attached }

// SnapshotCount returns how many snapshot records were met, to tell when one is due.
func (f *Fold) SnapshotCount() uint64 { return f.snapshots }

// NextOffset returns the offset to read from.
func (f *Fold) NextOffset() uint64 {
	if f.attached {
		return f.state.AsOf
	}
	return f.scanNext
}

// HandleTruncation tells the fold that the log has dropped everything below lowest.
func (f *Fold) HandleTruncation(lowest uint64) {
	if lowest <= f.NextOffset() {
		return
	}
	f.attached = false
	f.scanFrom, f.scanNext, f.scanWrite, f.lowest = lowest, lowest, 0, lowest
}

// AdvanceTo takes over a state that another process folded, if it is farther on. It
// reports whether it did.
func (f *Fold) AdvanceTo(s *State) bool {
	if s.AsOf <= f.state.AsOf || s.Version < f.state.Version {
		return false
	}
	if !f.attached && s.AsOf < f.scanFrom {
		f.state = s
		return true
	}
	f.state, f.attached = s, true
	return true
}

// Apply folds the records of one read that began at from. Records that were folded
// before are passed over, so a read that is answered twice or late does no harm;
// one that leaves a gap is refused with ErrGap. After a snapshot that attaches the
// fold the position is the snapshot's, and what follows is read again. At a record of an unknown format
// it stops with a *FormatError and keeps its place.
func (f *Fold) Apply(from uint64, records []platformlog.Record, next uint64) ([]Result, error) {
	if from > f.NextOffset() {
		return nil, ErrGap
	}
	var out []Result
	for _, r := range records {
		if r.Offset < f.NextOffset() {
			continue
		}
		v, err := f.step(r)
		if err != nil {
			return out, err
		}
		if v.Outcome != Ignored {
			out = append(out, v)
		}
		if f.NextOffset() <= r.Offset {
			return out, nil // a snapshot took the position back: read again from there
		}
	}
	f.moveTo(next)
	return out, nil
}

// moveTo notes that every record below next has been seen.
func (f *Fold) moveTo(next uint64) {
	if next <= f.NextOffset() {
		return
	}
	if !f.attached {
		f.scanNext = next
		return
	}
	moved := *f.state
	moved.AsOf = next
	f.state = &moved
}

func (f *Fold) step(r platformlog.Record) (Result, error) {
	rec, err := DecodeRecord(r.Data)
	var format *FormatError
	if errors.As(err, &format) {
		return Result{}, err
	}
	v := Result{Offset: r.Offset}
	switch {
	case err != nil:
		v.Outcome, v.Err = Malformed, err
	case rec.Change != nil:
		v.Change = rec.Change
		f.change(&v)
	case rec.Restart != nil:
		v.Restart = rec.Restart
		f.restart(&v)
	case rec.Snapshot != nil:
		f.snapshots++
		if f.meetSnapshot(rec.Snapshot) {
			return v, nil // the position went back to the snapshot's
		}
	}
	f.moveTo(r.Offset + 1)
	v.State = f.state
	return v, nil
}

// wrote notes the offset of a change or restart, whatever comes of it.
func (f *Fold) wrote(offset uint64) {
	if !f.attached {
		f.scanWrite = offset + 1
		return
	}
	written := *f.state
	written.LastWrite = offset + 1
	f.state = &written
}

func (f *Fold) change(v *Result) {
	f.wrote(v.Offset)
	if !f.attached {
		v.Outcome = Undetermined
		return
	}
	if v.Change.Base != f.state.Version {
		v.Outcome = VoidStaleBase
		return
	}
	next, err := f.state.Apply(v.Change)
	if err != nil {
		v.Outcome, v.Err = VoidInvalid, err
		return
	}
	next.Version = v.Offset + 1
	f.state = next
	v.Outcome = Accepted
}

// meetSnapshot attaches a detached fold at the snapshot's position and reports
// whether it did; the records from there on are then read again. A snapshot whose
// position lies before the first record this fold has seen is of no use: a change
// between the two may have been accepted. An attached fold needs none and passes
// over it, which makes several writers, and one that was slow, harmless.
func (f *Fold) meetSnapshot(s *State) bool {
	if f.attached || s.AsOf < f.scanFrom || s.Version < f.state.Version {
		return false
	}
	f.state, f.attached = s, true
	return true
}

// restart takes the state of a restart. It is void where a change or another
// restart was written after its author had read the log, so one that is appended
// twice, or lands late, overrides nothing.
func (f *Fold) restart(v *Result) {
	r := v.Restart
	lastWrite := f.scanWrite
	if f.attached {
		lastWrite = f.state.LastWrite
	}
	f.wrote(v.Offset)
	if !f.attached && r.End < f.scanFrom {
		v.Outcome = Undetermined
		return
	}
	if lastWrite > r.End {
		v.Outcome = VoidStaleBase
		return
	}
	next := *r.State
	next.Version, next.LastWrite, next.AsOf = v.Offset+1, v.Offset+1, v.Offset+1
	next.ChangeID, next.Author, next.Reason, next.AtMs = r.ID, r.Author, r.Reason, r.AtMs
	f.state, f.attached = &next, true
	v.Outcome = Accepted
}
