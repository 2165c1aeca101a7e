package client

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// TransportError is a call to an entry without a complete reply. The entry may have processed
// the call.
type TransportError struct {
	Entry string
	Cause error
}

// Error implements error.
func (e *TransportError) Error() string { return "entry " + e.Entry + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// UndecidedError is a submission whose final answer is not known. It may have run or may still
// run; it may be queried or sent again with the same id.
type UndecidedError struct {
	ID      string
	LastErr error // error of the last call; nil if the job was pending
}

// Error implements error.
func (e *UndecidedError) Error() string {
	if e.LastErr == nil {
		return "undecided: still pending: " + e.ID
	}
	return "undecided: " + e.ID + ": " + e.LastErr.Error()
}

// Unwrap returns the error of the last call.
func (e *UndecidedError) Unwrap() error { return e.LastErr }

// MismatchedAnswerError is an answer with another id than the requested one. A caller must not
// use it as its own.
type MismatchedAnswerError struct {
	RequestedID, ReceivedID string
}

// Error implements error.
func (e *MismatchedAnswerError) Error() string {
	return fmt.Sprintf("asked for %s and got the answer to %s", e.RequestedID, e.ReceivedID)
}

// FaultOf returns the fault in err. For an *UndecidedError and for an error without a fault it
// returns one of code Undecided with the text of err.
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
