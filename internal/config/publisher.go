package config

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/platformlog"
)

// readBackEvery is the pause between two reads while a change is looked for in
// the log: short against a person's patience, long against a write of some ms.
const readBackEvery = 50 * time.Millisecond

// DefaultReadBackTimeout is how long Publish looks for a change in the log before it says
// that the outcome is undecided.
const DefaultReadBackTimeout = 5 * time.Second

// ConflictError says which change won. It unwraps to a *fault.Fault of code
// ConfigConflict.
type ConflictError struct {
	Base    uint64
	Current *State // what is in force; nil where it can't be known any more
	fault   *fault.Fault
}

// Error implements error.
func (e *ConflictError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *ConflictError) Unwrap() error { return e.fault }

func conflict(base uint64, current *State) *ConflictError {
	detail := fmt.Sprintf("the change was based on version %d, and version %d by %q (%s) is in force; nothing of yours was applied",
		base, current.Version, current.Author, current.Reason)
	return &ConflictError{base, current, fault.New(fault.ConfigConflict, detail)}
}

// Publisher puts operators' changes on the log. It is safe for concurrent use.
type Publisher struct {
	log  platformlog.Log
	wait time.Duration
}

// NewPublisher returns a publisher; a wait of 0 means DefaultWait.
func NewPublisher(log platformlog.Log, wait time.Duration) *Publisher {
	if wait == 0 {
		wait = DefaultReadBackTimeout
	}
	return &Publisher{log, wait}
}

// NewChangeID draws the id of a change.
func NewChangeID() string {
	var b [8]byte
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Load reads the log to its end and returns the fold there, with a verdict for
// each change that is still kept. The error is a *fault.Fault: ConfigNotTaken
// where the log does not answer, or where it no longer says what is in force.
func (p *Publisher) Load(ctx context.Context) (*Fold, []Result, error) {
	f := NewFold(&State{})
	verdicts, err := ReadToEnd(ctx, p.log, f)
	if err != nil {
		return nil, nil, notTaken(err)
	}
	if !f.Contiguous() {
		return f, verdicts, fault.New(fault.ConfigNotTaken,
			"the log no longer holds a snapshot to start from; wait for an entry to write one, or see the operators' page on restarting the configuration")
	}
	return f, verdicts, nil
}

func notTaken(cause error) error {
	return fault.Newf(fault.ConfigNotTaken, "nothing was accepted: %v", cause)
}

// Publish checks a change against what is in force, appends it and returns the
// state it made, read back from the log. The change gets an id where it has none.
//
// Errors: a *fault.Fault of code ConfigInvalid (refused, nothing appended),
// ConfigNotTaken (the log is down, nothing appended) or ConfigUndecided (appended
// perhaps; ask with Resolve), or a *ConflictError.
func (p *Publisher) Publish(ctx context.Context, c *Change) (*State, error) {
	if c.ID == "" {
		c.ID = NewChangeID()
	}
	f, _, err := p.Load(ctx)
	if err != nil {
		return nil, err
	}
	if c.Base != f.State().Version {
		return nil, conflict(c.Base, f.State())
	}
	if err := c.Validate(f.State()); err != nil {
		return nil, err
	}
	return p.append(ctx, f, c.ID, c.Base, &Record{Change: c})
}

// append writes the record once and reads it back. A lost answer is resolved by
// reading, and the record is never appended again: the first may still land, and
// an operator who was told "not accepted" would find it in force later.
func (p *Publisher) append(ctx context.Context, f *Fold, id string, base uint64, r *Record) (*State, error) {
	data, err := EncodeRecord(r)
	if err != nil {
		return nil, fault.New(fault.ConfigInvalid, err.Error())
	}
	_, err = p.log.Append(ctx, Stream, data)
	var undecided *platformlog.UndecidedError
	if err != nil && !errors.As(err, &undecided) {
		return nil, notTaken(err)
	}
	return p.readBack(ctx, f, id, base)
}

// readBack looks for the record until it is found or the wait is over, and reads
// at least once.
func (p *Publisher) readBack(ctx context.Context, f *Fold, id string, base uint64) (*State, error) {
	deadline := time.Now().Add(p.wait)
	last := "it has not appeared in the log"
	for {
		b, err := Read(ctx, p.log, f)
		if state, err, found := find(b.Results, id, base); found {
			return state, err
		}
		if err != nil {
			last = err.Error()
		}
		if b.More && err == nil {
			continue
		}
		if !pause(ctx, deadline) {
			return nil, undecidedFault(id, base, last)
		}
	}
}

// pause waits a while and reports whether there is time left.
func pause(ctx context.Context, deadline time.Time) bool {
	if time.Until(deadline) <= 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(readBackEvery):
		return true
	}
}

func find(verdicts []Result, id string, base uint64) (*State, error, bool) {
	for i := range verdicts {
		v := &verdicts[i]
		if v.ID() != id {
			continue
		}
		switch v.Outcome {
		case Accepted:
			return v.State, nil, true
		case VoidInvalid:
			return nil, fault.New(fault.ConfigInvalid, v.Err.Error()), true
		case Undetermined:
			continue
		}
		return nil, conflict(base, v.State), true
	}
	return nil, nil, false
}

func undecidedFault(id string, base uint64, why string) *fault.Fault {
	return fault.Newf(fault.ConfigUndecided,
		"change %s on version %d may or may not be accepted (%s); ask with: camphorctl config resolve -change %s -base %d",
		id, base, why, id, base)
}
