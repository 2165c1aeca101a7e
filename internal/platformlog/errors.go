package platformlog

import "fmt"

// UnavailableError says that the log did not answer and that nothing was written.
type UnavailableError struct {
	Op    string
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("log down: %s: %v", e.Op, e.Cause) }

// Unwrap returns what the network or the service said.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UndecidedError says that an append's answer was lost: the record may have been
// written, or may still be.
type UndecidedError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("append to %s undecided: %v", e.Stream, e.Cause)
}

// Unwrap returns what the network or the service said.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// TruncatedError says that records at or after From were dropped by retention.
type TruncatedError struct {
	From   uint64
	Lowest uint64 // lowest offset that can still be read
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records from %d on were dropped, the lowest kept is %d", e.From, e.Lowest)
}

// PastEndError says that From lies past the end: the stream was lost or replaced.
type PastEndError struct {
	From uint64
	End  uint64 // offset the next record will get
}

// Error implements error.
func (e *PastEndError) Error() string {
	return fmt.Sprintf("offset %d is past the end %d of the stream", e.From, e.End)
}

// RefusedError says that the service understood the request and turned it away.
type RefusedError struct {
	Status int
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("log refused (%d): %s", e.Status, e.Detail) }
