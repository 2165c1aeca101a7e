package client

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// TransportError is a call whose answer did not arrive whole. The entry may have acted
// on it.
type TransportError struct {
	Entry string
	Cause error
}

// Error implements error.
func (e *TransportError) Error() string { return "entry " + e.Entry + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// UndecidedError is a submission whose final answer could not be learned in time.
// It may have run or may still run; the same id may be asked for or sent again.
type UndecidedError struct {
	ID      string
	LastErr error // what stood in the way last; nil where the job was merely pending
}

// Error implements error.
func (e *UndecidedError) Error() string {
	if e.LastErr == nil {
		return "undecided: still pending: " + e.ID
	}
	return "undecided: " + e.ID + ": " + e.LastErr.Error()
}

// Unwrap returns what stood in the way last.
func (e *UndecidedError) Unwrap() error { return e.LastErr }

// MismatchedAnswerError is an answer to another id than the one asked for. A caller
// must never use it as its own.
type MismatchedAnswerError struct {
	RequestedID, ReceivedID string
}

// Error implements error.
func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("asked for %s and got the answer to %s", e.RequestedID, e.ReceivedID)
}

// FaultOf returns the fault in err, or one that says what err means to a caller.
func FaultOf(err error) *fault.Fault {
	var undecided *UndecidedError
	if errors.As(err, &undecided) {
		return fault.New(fault.Undecided, err.Error())
	}
	var f *fault.Fault
	if errors.As(err, &f) {
		return f
	}
	return fault.New(fault.Undecided, err.Error())
}
