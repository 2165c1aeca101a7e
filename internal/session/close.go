package session

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Reason is the reason for the end of a connection.
type Reason string

// Reasons for the end of a connection.
const (
	ReasonLocal          Reason = "local"    // Close was called on this side
	ReasonPeer           Reason = "peer"     // the peer closed it, or its process ended
	ReasonSilent         Reason = "silent"   // no frame was received within the timeout
	ReasonUnacknowledged Reason = "unheard"  // the peer acknowledged no frame within the timeout, although its frames arrive
	ReasonOverflow       Reason = "overflow" // the send queue exceeded its bound
	ReasonWrite          Reason = "write"    // writing a frame failed or timed out
	ReasonFrame          Reason = "frame"    // a frame was malformed, too large or out of sequence
	ReasonRejected       Reason = "rejected" // the receive function returned an error
)

// CloseError reports the end of a connection. Cause may be nil.
type CloseError struct {
	Reason Reason
	Cause  error
}

// Error implements error.
func (e *CloseError) Error() string {
	if e.Cause == nil {
		return "connection closed: " + string(e.Reason)
	}
	return "connection closed: " + string(e.Reason) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CloseError) Unwrap() error { return e.Cause }

// SequenceError reports a frame with an unexpected number or acknowledgement.
type SequenceError struct {
	Want, Got uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("frame out of sequence: want %d, got %d", e.Want, e.Got)
}

// reasonOfReadError returns the reason for closing a connection after an error of read.
func reasonOfReadError(err error) Reason {
	var frame *wire.FrameError
	var sequence *SequenceError
	switch {
	case errors.Is(err, websocket.ErrReadLimit), errors.As(err, &frame), errors.As(err, &sequence):
		return ReasonFrame
	}
	return ReasonPeer
}
