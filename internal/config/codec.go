package config

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Format is the format version of records and updates.
const Format = 1

// MaxStateBytes limits an encoded state or update; a larger one is rejected before it is
// decoded. At the design size of 140 teams a state takes a few kilobytes.
const MaxStateBytes = 256 << 10

// Record is a record of the configuration's stream. Exactly one of Change, Snapshot and
// Restart is set.
type Record struct {
	Format   int      `cbor:"1,keyasint"`
	Change   *Change  `cbor:"2,keyasint,omitempty"`
	Snapshot *State   `cbor:"3,keyasint,omitempty"` // the state at position AsOf
	Restart  *Restart `cbor:"4,keyasint,omitempty"`
}

// Restart replaces the configuration by a state, after the log has lost records that no
// process had read. Only an operator may decide to do so.
type Restart struct {
	ID     string `cbor:"1,keyasint"`
	State  *State `cbor:"2,keyasint"`
	End    uint64 `cbor:"3,keyasint"` // end of the log when the operator's tool read it
	Author string `cbor:"4,keyasint"`
	Reason string `cbor:"5,keyasint"`
	AtMs   int64  `cbor:"6,keyasint"`
}

// CodecError reports a record, state or update that can't be encoded or decoded.
type CodecError struct {
	Cause error
}

// Error implements error.
func (e *CodecError) Error() string { return "bad configuration record: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *CodecError) Unwrap() error { return e.Cause }

// FormatError reports a format that this program does not support. Skipping such a
// record could skip an accepted change, so a reader stops there and reports the error.
type FormatError struct {
	Format int
}

// Error implements error.
func (e *FormatError) Error() string {
	return "configuration record of an unknown format; this program is too old to follow"
}

var (
	errMalformed = errors.New("a record holds exactly one of change, snapshot and restart")
	errOrder     = errors.New("settings or exceptions out of order, repeated or without a reason")
	errSize      = errors.New("too large")
)

var (
	encoder       = mustEncoder()
	decoder       = mustDecoder()
	formatDecoder = mustFormatDecoder()
)

// mustEncoder returns an encoder that gives equal values equal bytes.
func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor encoder options"))
	}
	return mode
}

// mustDecoder returns the decoder of records, states and updates. It rejects unknown
// and duplicate fields and indefinite lengths, and bounds nesting and the size of arrays.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  MaxSettings,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor decoder options"))
	}
	return mode
}

// mustFormatDecoder returns the decoder of a record's format number; it ignores all other
// fields, which may be those of a newer format.
func mustFormatDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 32, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor decoder options"))
	}
	return mode
}

// EncodeRecord sets the record's format and encodes it. The error is a *CodecError.
func EncodeRecord(r *Record) ([]byte, error) {
	r.Format = Format
	b, err := encoder.Marshal(r)
	if err != nil {
		return nil, &CodecError{err}
	}
	return b, nil
}

// DecodeRecord decodes and checks a record. The error is a *FormatError or a *CodecError.
func DecodeRecord(b []byte) (*Record, error) {
	var header struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := formatDecoder.Unmarshal(b, &header); err != nil {
		return nil, &CodecError{err}
	}
	if header.Format > Format {
		return nil, &FormatError{header.Format}
	}
	r := new(Record)
	if err := decoder.Unmarshal(b, r); err != nil {
		return nil, &CodecError{err}
	}
	if err := r.check(); err != nil {
		return nil, &CodecError{err}
	}
	return r, nil
}

// check checks that exactly one part is set, and that a snapshot or restart is valid. The
// structure of a change is checked when it is applied.
func (r *Record) check() error {
	parts := 0
	for _, present := range []bool{r.Change != nil, r.Snapshot != nil, r.Restart != nil} {
		if present {
			parts++
		}
	}
	if parts != 1 {
		return errMalformed
	}
	switch {
	case r.Snapshot != nil:
		return r.Snapshot.check()
	case r.Restart != nil:
		return r.Restart.check()
	}
	return nil
}

// check checks that all fields that a restart needs are set, and that its state is valid.
func (r *Restart) check() error {
	if r.State == nil || r.ID == "" || r.Reason == "" || r.Author == "" {
		return errMalformed
	}
	return r.State.check()
}

// EncodeState encodes a state. The error is a *CodecError.
func EncodeState(s *State) ([]byte, error) {
	b, err := encoder.Marshal(s)
	if err != nil {
		return nil, &CodecError{err}
	}
	return b, nil
}

// DecodeState decodes and checks a state. The error is a *CodecError.
func DecodeState(b []byte) (*State, error) {
	if len(b) > MaxStateBytes {
		return nil, &CodecError{errSize}
	}
	s := new(State)
	if err := decoder.Unmarshal(b, s); err != nil {
		return nil, &CodecError{err}
	}
	if err := s.check(); err != nil {
		return nil, &CodecError{err}
	}
	return s, nil
}

// check rejects a state that no fold could have produced. Lookups rely on its order, so a
// process with a malformed state would return other values than its peers.
func (s *State) check() error {
	if s.Version > s.AsOf || len(s.Settings) > MaxSettings || len(s.Exceptions) > MaxExceptions {
		return errSize
	}
	for i, set := range s.Settings {
		if !validKey(set.Key) || i > 0 && s.Settings[i-1].Key >= set.Key {
			return errOrder
		}
	}
	for i := range s.Exceptions {
		e := &s.Exceptions[i]
		if e.checkStructure() != nil || i > 0 && s.Exceptions[i-1].Place().compare(e.Place()) >= 0 {
			return errOrder
		}
	}
	return nil
}
