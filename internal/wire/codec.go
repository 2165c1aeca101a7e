package wire

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// FrameError reports a frame that could not be decoded or encoded. Bytes is the length of a frame
// that could not be decoded, and 0 otherwise.
type FrameError struct {
	Bytes int
	Cause error
}

// Error implements error.
func (e *FrameError) Error() string { return "bad frame: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *FrameError) Unwrap() error { return e.Cause }

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor encoder options"))
	}
	return mode
}

// newDecoder returns a mode that rejects unknown fields, duplicate keys and deep nesting, so
// that a frame of another version is an error and is never decoded in part.
func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  1 << 16,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor decoder options"))
	}
	return mode
}

// Encode returns the CBOR encoding of a frame. The error is a *FrameError.
func Encode[F ToEntry | ToAgent](f *F) ([]byte, error) {
	if toAgent, ok := any(f).(*ToAgent); ok {
		toAgent.Leased.collectStrings()
	}
	b, err := encoder.Marshal(f)
	if err != nil {
		return nil, &FrameError{Cause: err}
	}
	return b, nil
}

// Decode decodes a CBOR frame. The error is a *FrameError.
func Decode[F ToEntry | ToAgent](b []byte) (*F, error) {
	f := new(F)
	if err := decoder.Unmarshal(b, f); err != nil {
		return nil, &FrameError{Bytes: len(b), Cause: err}
	}
	if toAgent, ok := any(f).(*ToAgent); ok {
		if err := toAgent.Leased.distributeStrings(); err != nil {
			return nil, &FrameError{Bytes: len(b), Cause: err}
		}
	}
	return f, nil
}
