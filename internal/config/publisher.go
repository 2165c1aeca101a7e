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

// readBackInterval is the interval between reads that look for an appended record. It is
// short for an operator who waits, and long compared to a write of a few milliseconds.
const readBackInterval = 50 * time.Millisecond

// DefaultReadBackTimeout is how long Publish looks for its change in the log before it
// reports that the outcome is undecided.
const DefaultReadBackTimeout = 5 * time.Second

// ConflictError reports that a change is void because another one took effect first. It
// unwraps to a *fault.Fault of code ConfigConflict.
type ConflictError struct {
	Base    uint64 // version that the change was based on
	Current *State // state in force when the change was found to be void
	fault   *fault.Fault
}

// Error implements error.
func (e *ConflictError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *ConflictError) Unwrap() error { return e.fault }

func newConflictError(base uint64, current *State) *ConflictError {
	detail := fmt.Sprintf("the change was based on version %d, and version %d by %q (%s) is in force; nothing of yours was applied",
		base, current.Version, current.Author, current.Reason)
	return &ConflictError{base, current, fault.New(fault.ConfigConflict, detail)}
}

// Publisher appends operators' changes to the log. It is safe for concurrent use.
type Publisher struct {
	log             platformlog.Log
	readBackTimeout time.Duration
}

// NewPublisher returns a publisher. A readBackTimeout of 0 means DefaultReadBackTimeout.
func NewPublisher(log platformlog.Log, readBackTimeout time.Duration) *Publisher {
	if readBackTimeout == 0 {
		readBackTimeout = DefaultReadBackTimeout
	}
	return &Publisher{log, readBackTimeout}
}

// NewChangeID returns a random id for a change or restart.
func NewChangeID() string {
	var b [8]byte
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Load reads the log to its end and returns the resulting fold, with a result for each
// change that the log still keeps. The error is a *fault.Fault of code ConfigNotTaken: the
// log could not be read, or it no longer determines the state in force. In the latter case
// the fold and the results are returned as well.
func (p *Publisher) Load(ctx context.Context) (*Fold, []Result, error) {
	f := NewFold(&State{})
	results, err := ReadToEnd(ctx, p.log, f)
	if err != nil {
		return nil, nil, notTakenFault(err)
	}
	if !f.Contiguous() {
		return f, results, fault.New(fault.ConfigNotTaken,
			"the log no longer holds a snapshot to start from; wait for an entry to write one, or see the operators' page on restarting the configuration")
	}
	return f, results, nil
}

// notTakenFault returns the fault for a change or restart that was certainly not appended.
func notTakenFault(cause error) error {
	return fault.Newf(fault.ConfigNotTaken, "nothing was accepted: %v", cause)
}

// Publish validates a change against the state in force, appends it, reads the log until
// the change appears, and returns the state that it produced. A change without an id is
// given one.
//
// The error is a *ConflictError or a *fault.Fault of code ConfigInvalid (nothing was
// appended, or the change is void), ConfigNotTaken (the log is unavailable; nothing was
// appended) or ConfigUndecided (the change may have been appended; use Resolve).
func (p *Publisher) Publish(ctx context.Context, c *Change) (*State, error) {
	if c.ID == "" {
		c.ID = NewChangeID()
	}
	f, _, err := p.Load(ctx)
	if err != nil {
		return nil, err
	}
	if c.Base != f.State().Version {
		return nil, newConflictError(c.Base, f.State())
	}
	if err := c.Validate(f.State()); err != nil {
		return nil, err
	}
	return p.append(ctx, f, c.ID, c.Base, &Record{Change: c})
}

// append appends the record once and reads it back. If the reply to the append is lost,
// the outcome is determined by reading. The append is never retried: the first record may
// still be written, and a change that was reported as not accepted would take effect later.
func (p *Publisher) append(ctx context.Context, f *Fold, id string, base uint64, r *Record) (*State, error) {
	data, err := EncodeRecord(r)
	if err != nil {
		return nil, fault.New(fault.ConfigInvalid, err.Error())
	}
	_, err = p.log.Append(ctx, Stream, data)
	var undecided *platformlog.UndecidedError
	if err != nil && !errors.As(err, &undecided) {
		return nil, notTakenFault(err)
	}
	return p.readBack(ctx, f, id, base)
}

// readBack reads the log until the record is found or readBackTimeout has passed, at least
// once.
func (p *Publisher) readBack(ctx context.Context, f *Fold, id string, base uint64) (*State, error) {
	deadline := time.Now().Add(p.readBackTimeout)
	cause := "it has not appeared in the log"
	for {
		b, err := Read(ctx, p.log, f)
		if state, err, found := findResult(b.Results, id, base); found {
			return state, err
		}
		if err != nil {
			cause = err.Error()
		}
		if b.More && err == nil {
			continue
		}
		if !pause(ctx, deadline) {
			return nil, undecidedFault(id, base, cause)
		}
	}
}

// pause waits for readBackInterval. It returns false if the deadline had passed already or
// the context ended.
func pause(ctx context.Context, deadline time.Time) bool {
	if time.Until(deadline) <= 0 {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(readBackInterval):
		return true
	}
}

// findResult looks for the change or restart with an id and reports whether its outcome is
// known. It returns the state that it produced, or the error that Publish reports.
func findResult(results []Result, id string, base uint64) (*State, error, bool) {
	for i := range results {
		res := &results[i]
		if res.ID() != id {
			continue
		}
		switch res.Outcome {
		case Accepted:
			return res.State, nil, true
		case VoidInvalid:
			return nil, fault.New(fault.ConfigInvalid, res.Err.Error()), true
		case Undetermined:
			continue
		}
		return nil, newConflictError(base, res.State), true
	}
	return nil, nil, false
}

// undecidedFault returns the fault for a change whose outcome is unknown, with the command that
// determines it.
func undecidedFault(id string, base uint64, cause string) *fault.Fault {
	return fault.Newf(fault.ConfigUndecided,
		"change %s on version %d may or may not be accepted (%s); ask with: camphorctl config resolve -change %s -base %d",
		id, base, cause, id, base)
}
