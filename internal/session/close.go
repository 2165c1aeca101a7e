package session

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Reason tells why a connection ended.
type Reason string

// Reasons for the end of a connection.
const (
	ReasonLocal          Reason = "local"    // this side closed it on purpose
	ReasonPeer           Reason = "peer"     // the other side closed it, or its process ended
	ReasonSilent         Reason = "silent"   // nothing was heard for too long
	ReasonUnacknowledged Reason = "unheard"  // we hear the peer, but it has not heard us for too long
	ReasonOverflow       Reason = "overflow" // too much waited to be written
	ReasonWrite          Reason = "write"    // a frame could not be written in time
	ReasonFrame          Reason = "frame"    // a frame was malformed, too large or out of sequence
	ReasonRejected       Reason = "rejected" // the receiver of the frames refused one
)

// CloseError is the end of a connection; Cause may be nil.
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

// SequenceError is a frame whose number, or whose acknowledgement, can't be.
type SequenceError struct {
	Want, Got uint64
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("frame out of sequence: want %d, got %d", e.Want, e.Got)
}

// readReason sorts the errors that end the reading side.
func readReason(err error) Reason {
	var frame *wire.FrameError
	var sequence *SequenceError
	switch {
	case errors.Is(err, websocket.ErrReadLimit), errors.As(err, &frame), errors.As(err, &sequence):
		return ReasonFrame
	}
	return ReasonPeer
}
