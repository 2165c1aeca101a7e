package config

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Format is the version of the records and of encoded states.
const Format = 1

// MaxStateBytes caps an encoded state. At the letter's 140 teams it takes a few
// kilobytes; a larger one is refused before it is decoded.
const MaxStateBytes = 256 << 10

// Record is what the configuration's stream holds: exactly one of its parts.
type Record struct {
	Format   int      `cbor:"1,keyasint"`
	Change   *Change  `cbor:"2,keyasint,omitempty"`
	Snapshot *State   `cbor:"3,keyasint,omitempty"` // the state as of its AsOf
	Restart  *Restart `cbor:"4,keyasint,omitempty"`
}

// Restart starts the configuration anew from a state, after the log lost records
// that no process had read. Only an operator may decide that, by hand.
type Restart struct {
	ID     string `cbor:"1,keyasint"`
	State  *State `cbor:"2,keyasint"`
	End    uint64 `cbor:"3,keyasint"` // end of the log as the operator's tool saw it
	Author string `cbor:"4,keyasint"`
	Reason string `cbor:"5,keyasint"`
	AtMs   int64  `cbor:"6,keyasint"`
}

// CodecError is a record or state that can't be decoded.
type CodecError struct {
	Cause error
}

// Error implements error.
func (e *CodecError) Error() string { return "bad configuration record: " + e.Cause.Error() }

// Unwrap returns the codec's error.
func (e *CodecError) Unwrap() error { return e.Cause }

// FormatError is a record of a format this program does not know. Skipping it
// could skip an accepted change, so a reader stops there and says so.
type FormatError struct {
	Format int
}

// Error implements error.
func (e *FormatError) Error() string {
	return "configuration record of an unknown format; this program is too old to follow"
}

var (
	errShape = errors.New("a record holds exactly one of change, snapshot and restart")
	errOrder = errors.New("settings or exceptions out of order, repeated or without a reason")
	errSize  = errors.New("too large")
)

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
	peeker  = mustPeeker()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor encoder options"))
	}
	return mode
}

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

// mustPeeker reads the format alone, whatever else the record holds.
func mustPeeker() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 32, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "cbor decoder options"))
	}
	return mode
}

// EncodeRecord returns a record's bytes.
func EncodeRecord(r *Record) ([]byte, error) {
	r.Format = Format
	b, err := encoder.Marshal(r)
	if err != nil {
		return nil, &CodecError{err}
	}
	return b, nil
}

// DecodeRecord reads a record. The error is a *FormatError or a *CodecError.
func DecodeRecord(b []byte) (*Record, error) {
	var peek struct {
		Format int `cbor:"1,keyasint"`
	}
	if err := peeker.Unmarshal(b, &peek); err != nil {
		return nil, &CodecError{err}
	}
	if peek.Format > Format {
		return nil, &FormatError{peek.Format}
	}
	r := new(Record)
	if err := decoder.Unmarshal(b, r); err != nil {
		return nil, &CodecError{err}
	}
	if err := r.checkShape(); err != nil {
		return nil, &CodecError{err}
	}
	return r, nil
}

func (r *Record) checkShape() error {
	parts := 0
	for _, there := range []bool{r.Change != nil, r.Snapshot != nil, r.Restart != nil} {
		if there {
			parts++
		}
	}
	if parts != 1 {
		return errShape
	}
	switch {
	case r.Snapshot != nil:
		return r.Snapshot.check()
	case r.Restart != nil:
		return r.Restart.check()
	}
	return nil
}

func (r *Restart) check() error {
	if r.State == nil || r.ID == "" || r.Reason == "" || r.Author == "" {
		return errShape
	}
	return r.State.check()
}

// EncodeState returns a state's bytes, for frames between processes.
func EncodeState(s *State) ([]byte, error) {
	b, err := encoder.Marshal(s)
	if err != nil {
		return nil, &CodecError{err}
	}
	return b, nil
}

// DecodeState reads a state that another process sent; the error is a *CodecError.
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

// check refuses a state that the fold could not have made: look-ups rely on its
// order, and a process that took a malformed one would answer differently from
// its neighbours.
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
