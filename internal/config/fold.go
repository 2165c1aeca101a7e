package config

import (
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// Stream is the name of the platform log's stream that contains the configuration.
const Stream = "camphorrack-config"

// Outcome classifies what a fold did with a record.
type Outcome int

// Outcomes. Snapshots are Ignored. A void change or restart has no effect on any process.
const (
	Ignored       Outcome = iota
	Accepted              // it produced a new version
	VoidStaleBase         // void: its base version was not current; for a restart see applyRestart
	VoidInvalid           // void: the change is invalid, see StructureError
	Malformed             // it can't be decoded
	Undetermined          // read while records are missing: whether it was accepted is unknown
)

var outcomeNames = []string{"ignored", "accepted", "void (based on an older version)", "void (malformed change)", "malformed", "not judged (before the first snapshot kept)"}

// String returns the outcome as the operators' tool prints it.
func (o Outcome) String() string { return outcomeNames[o] }

// Result reports what a fold did with one change, restart or malformed record.
type Result struct {
	Offset  uint64
	Outcome Outcome
	Change  *Change  // nil unless the record is a change
	Restart *Restart // nil unless the record is a restart
	State   *State   // the state after the record
	Err     error    // set for VoidInvalid and Malformed
}

// ID returns the id of the change or restart, or "" for a malformed record.
func (res *Result) ID() string {
	switch {
	case res.Change != nil:
		return res.Change.ID
	case res.Restart != nil:
		return res.Restart.ID
	}
	return ""
}

// ErrGap is returned by Apply if records are missing between the fold's position and
// those passed to it.
var ErrGap = errors.New("records do not follow on the position of the fold")

// Fold derives the configuration from the log, record by record. The result depends on
// the order of the records alone, so every process that reads the same records has the
// same state. A Fold is not safe for concurrent use.
//
// A fold is contiguous while it has applied every record up to its position. If the log
// drops records that the fold has not read, one of them may have been an accepted
// change. If the fold continued regardless, it could accept changes that are void on
// other processes, and the fleet would diverge permanently. So a fold that is not
// contiguous keeps its state and accepts no change. It only scans the log, until it can
// continue from a snapshot, a valid restart or the state of another process.
type Fold struct {
	state         *State
	contiguous    bool
	scanFrom      uint64 // unless contiguous: all records from this offset to scanNext have been read
	scanNext      uint64 // unless contiguous: next offset to read
	scanLastWrite uint64 // unless contiguous: used in place of State.LastWrite
	snapshotCount uint64 // snapshot records read
	lowestKept    uint64 // lowest offset kept by the log at the last truncation; 0: none
}

// NewFold returns a contiguous fold that continues from a state that a fold produced.
func NewFold(s *State) *Fold { return &Fold{state: s, contiguous: true} }

// State returns the current state, which must not be modified.
func (f *Fold) State() *State { return f.state }

// Contiguous reports whether the fold has applied every record up to its position, so
// that the state is certainly the one in force there.
func (f *Fold) Contiguous() bool { return f.contiguous }

// SnapshotCount returns how many snapshot records were read. Followers use it to detect
// snapshots of other processes.
func (f *Fold) SnapshotCount() uint64 { return f.snapshotCount }

// NextOffset returns the offset at which the next read must begin.
func (f *Fold) NextOffset() uint64 {
	if f.contiguous {
		return f.state.AsOf
	}
	return f.scanNext
}

// HandleTruncation records that the log has dropped all records below lowest. If the fold
// has not read all of them, it is no longer contiguous and scans from lowest on.
func (f *Fold) HandleTruncation(lowest uint64) {
	if lowest <= f.NextOffset() {
		return
	}
	f.contiguous = false
	f.scanFrom, f.scanNext, f.scanLastWrite, f.lowestKept = lowest, lowest, 0, lowest
}

// AdvanceTo replaces the state by one that another process derived from the log, if that
// has a higher position and no lower version, and reports whether it did. The fold is then contiguous, unless
// the log has dropped records between that position and the first one scanned.
func (f *Fold) AdvanceTo(s *State) bool {
	if s.AsOf <= f.state.AsOf || s.Version < f.state.Version {
		return false
	}
	if !f.contiguous && s.AsOf < f.scanFrom {
		f.state = s
		return true
	}
	f.state, f.contiguous = s, true
	return true
}

// Apply applies the records of one read, which began at offset from and after which next
// is the offset to read, and returns the results of changes, restarts and malformed
// records. Records below the fold's position are skipped, so a repeated or delayed read
// has no effect; a read that begins above it fails with ErrGap. If a snapshot makes the
// fold contiguous, the position returns to that of the snapshot, and the records from
// there on must be read again. At a record of an unknown format Apply stops with a
// *FormatError, and the position stays below that record.
func (f *Fold) Apply(from uint64, records []platformlog.Record, next uint64) ([]Result, error) {
	if from > f.NextOffset() {
		return nil, ErrGap
	}
	var out []Result
	for _, r := range records {
		if r.Offset < f.NextOffset() {
			continue
		}
		res, err := f.applyRecord(r)
		if err != nil {
			return out, err
		}
		if res.Outcome != Ignored {
			out = append(out, res)
		}
		if f.NextOffset() <= r.Offset {
			return out, nil // a snapshot moved the position back: read again from there
		}
	}
	f.advancePosition(next)
	return out, nil
}

// advancePosition records that every record below next has been read.
func (f *Fold) advancePosition(next uint64) {
	if next <= f.NextOffset() {
		return
	}
	if !f.contiguous {
		f.scanNext = next
		return
	}
	moved := *f.state
	moved.AsOf = next
	f.state = &moved
}

// applyRecord applies one record. The error is a *FormatError, which leaves the fold
// unchanged.
func (f *Fold) applyRecord(r platformlog.Record) (Result, error) {
	rec, err := DecodeRecord(r.Data)
	var format *FormatError
	if errors.As(err, &format) {
		return Result{}, err
	}
	res := Result{Offset: r.Offset}
	switch {
	case err != nil:
		res.Outcome, res.Err = Malformed, err
	case rec.Change != nil:
		res.Change = rec.Change
		f.applyChange(&res)
	case rec.Restart != nil:
		res.Restart = rec.Restart
		f.applyRestart(&res)
	case rec.Snapshot != nil:
		f.snapshotCount++
		if f.applySnapshot(rec.Snapshot) {
			return res, nil // the position moved back to that of the snapshot
		}
	}
	f.advancePosition(r.Offset + 1)
	res.State = f.state
	return res, nil
}

// recordWrite updates LastWrite for a change or restart at offset, whether void or not.
func (f *Fold) recordWrite(offset uint64) {
	if !f.contiguous {
		f.scanLastWrite = offset + 1
		return
	}
	written := *f.state
	written.LastWrite = offset + 1
	f.state = &written
}

// applyChange applies a change and sets the outcome of the result.
func (f *Fold) applyChange(res *Result) {
	f.recordWrite(res.Offset)
	if !f.contiguous {
		res.Outcome = Undetermined
		return
	}
	if res.Change.Base != f.state.Version {
		res.Outcome = VoidStaleBase
		return
	}
	next, err := f.state.Apply(res.Change)
	if err != nil {
		res.Outcome, res.Err = VoidInvalid, err
		return
	}
	next.Version = res.Offset + 1
	f.state = next
	res.Outcome = Accepted
}

// applySnapshot makes a fold contiguous at the snapshot's position and reports whether it
// did; the records from there on must then be read again. A snapshot whose position is
// below the first record scanned can't be used: a change between the two may have been
// accepted. Nor can one of a lower version. A contiguous fold ignores snapshots, so concurrent and delayed writers of
// snapshots do no harm.
func (f *Fold) applySnapshot(s *State) bool {
	if f.contiguous || s.AsOf < f.scanFrom || s.Version < f.state.Version {
		return false
	}
	f.state, f.contiguous = s, true
	return true
}

// applyRestart applies a restart and sets the outcome of the result. A restart is void if
// a change or another restart was written after its author had read the log, so a
// restart that is appended twice or late overrides nothing. The outcome is undetermined
// if the log has dropped records that may be such a change.
func (f *Fold) applyRestart(res *Result) {
	r := res.Restart
	lastWrite := f.scanLastWrite
	if f.contiguous {
		lastWrite = f.state.LastWrite
	}
	f.recordWrite(res.Offset)
	if !f.contiguous && r.End < f.scanFrom {
		res.Outcome = Undetermined
		return
	}
	if lastWrite > r.End {
		res.Outcome = VoidStaleBase
		return
	}
	next := *r.State
	next.Version, next.LastWrite, next.AsOf = res.Offset+1, res.Offset+1, res.Offset+1
	next.ChangeID, next.Author, next.Reason, next.AtMs = r.ID, r.Author, r.Reason, r.AtMs
	f.state, f.contiguous = &next, true
	res.Outcome = Accepted
}
