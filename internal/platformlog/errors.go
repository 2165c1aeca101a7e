package platformlog

import "fmt"

// UnavailableError is returned if the log is unreachable or can't serve the call; nothing was
// written.
type UnavailableError struct {
	Op    string // the failed operation, such as "append"
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("log down: %s: %v", e.Op, e.Cause) }

// Unwrap returns the error of the network or of the service.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UndecidedError is returned if the outcome of an append is unknown, for example because the
// response was lost: the record may have been written, or may be written later.
type UndecidedError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("append to %s undecided: %v", e.Stream, e.Cause)
}

// Unwrap returns the error of the network or of the service.
func (e *UndecidedError) Unwrap() error { return e.Cause }

// TruncatedError is returned if retention has dropped records at or after From.
type TruncatedError struct {
	From   uint64 // requested offset
	Lowest uint64 // lowest offset that can still be read
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records from %d on were dropped, the lowest kept is %d", e.From, e.Lowest)
}

// PastEndError is returned if From is past the end of the stream: the stream was lost or
// replaced.
type PastEndError struct {
	From uint64 // requested offset
	End  uint64 // offset of the next record to be written
}

// Error implements error.
func (e *PastEndError) Error() string {
	return fmt.Sprintf("offset %d is past the end %d of the stream", e.From, e.End)
}

// RefusedError is an error response of the service. If it is not the cause of another error, the
// request was rejected and nothing was written.
type RefusedError struct {
	Status int    // HTTP status
	Detail string // body of the response
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("log refused (%d): %s", e.Status, e.Detail) }
