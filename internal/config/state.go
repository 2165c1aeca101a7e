// Package config is the fleet's lasting configuration: defaults that hold
// everywhere and a short list of exceptions, each with a written reason. It lives
// as a stream of changes on the platform's log, and every process derives the
// same state from the order of that log alone.
package config

import (
	"fmt"
	"slices"
	"strings"
)

// Bounds of a state. They are part of the fold: a change that would pass them is
// void for everyone, so they must never differ between programs of one fleet.
const (
	MaxSettings   = 2000 // the letter's 140 teams and every other key many times over
	MaxExceptions = 200  // a short list; more of them should have been a default
	MaxNameBytes  = 64
	MaxTextBytes  = 512
)

// Setting is a fleet-wide value that differs from the built-in default.
type Setting struct {
	Key   Key   `cbor:"1,keyasint" json:"key"`
	Value int64 `cbor:"2,keyasint" json:"value"`
}

// Exception is a value that holds for one place only.
type Exception struct {
	Kind   ScopeKind `cbor:"1,keyasint" json:"kind"`
	Name   string    `cbor:"2,keyasint" json:"name"`
	Key    Key       `cbor:"3,keyasint" json:"key"`
	Value  int64     `cbor:"4,keyasint" json:"value"`
	Reason string    `cbor:"5,keyasint" json:"reason"`
	Author string    `cbor:"6,keyasint" json:"author"`
	AtMs   int64     `cbor:"7,keyasint" json:"at_ms"` // Unix milliseconds, by the author's clock; shown, never compared
}

// Place identifies an exception: there is at most one for each.
type Place struct {
	Kind ScopeKind `cbor:"1,keyasint" json:"kind"`
	Name string    `cbor:"2,keyasint" json:"name"`
	Key  Key       `cbor:"3,keyasint" json:"key"`
}

// Place returns what the exception is about.
func (e *Exception) Place() Place { return Place{e.Kind, e.Name, e.Key} }

func (p Place) compare(o Place) int {
	if c := strings.Compare(string(p.Kind), string(o.Kind)); c != 0 {
		return c
	}
	if c := strings.Compare(p.Name, o.Name); c != 0 {
		return c
	}
	return strings.Compare(string(p.Key), string(o.Key))
}

// State is the configuration as of a position in the log. The zero State is the
// built-in defaults. A State is never changed once made; Apply returns a new one.
type State struct {
	// Version is the offset of the change that made it plus one; 0 means none.
	// Offsets never repeat, so two different states never share a version.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// AsOf is the position: every record below this offset is taken into account.
	AsOf       uint64      `cbor:"2,keyasint" json:"as_of"`
	ChangeID   string      `cbor:"3,keyasint,omitempty" json:"change_id"`
	Author     string      `cbor:"4,keyasint,omitempty" json:"author"`
	Reason     string      `cbor:"5,keyasint,omitempty" json:"reason"`
	AtMs       int64       `cbor:"6,keyasint,omitempty" json:"at_ms"`
	Settings   []Setting   `cbor:"7,keyasint,omitempty" json:"settings"`   // in order of key
	Exceptions []Exception `cbor:"8,keyasint,omitempty" json:"exceptions"` // in order of place
	// LastWrite is the offset plus one of the last change or restart seen, void or
	// not; a restart is valid only where none lies between what its author had
	// read and itself.
	LastWrite uint64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Change is an operator's change. It is based on one version and void wherever
// that is no longer the current one.
type Change struct {
	ID     string      `cbor:"1,keyasint" json:"id"` // random, to find it again in the log
	Base   uint64      `cbor:"2,keyasint" json:"base"`
	Author string      `cbor:"3,keyasint" json:"author"`
	Reason string      `cbor:"4,keyasint,omitempty" json:"reason"`
	AtMs   int64       `cbor:"5,keyasint" json:"at_ms"`
	Set    []Setting   `cbor:"6,keyasint,omitempty" json:"set,omitempty"`
	Unset  []Key       `cbor:"7,keyasint,omitempty" json:"unset,omitempty"` // back to the built-in default
	Add    []Exception `cbor:"8,keyasint,omitempty" json:"add,omitempty"`
	Remove []Place     `cbor:"9,keyasint,omitempty" json:"remove,omitempty"`
}

// StructureError says why a change can't be part of any state. It depends only on
// rules that are the same in every program of the fleet.
type StructureError struct {
	Field  string
	Detail string
}

// Error implements error.
func (e *StructureError) Error() string { return e.Field + ": " + e.Detail }

// Value returns a fleet-wide value and whether it was set.
func (s *State) Value(k Key) (int64, bool) {
	i, found := slices.BinarySearchFunc(s.Settings, k, compareSetting)
	if !found {
		return 0, false
	}
	return s.Settings[i].Value, true
}

func compareSetting(s Setting, k Key) int { return strings.Compare(string(s.Key), string(k)) }

func compareException(e Exception, p Place) int { return e.Place().compare(p) }

// Apply returns the content that follows from the change, with the same version
// and position. The error is a *StructureError. It looks only at structure, and
// not at which keys and values this program knows: two programs of different age
// would otherwise fold the same log to different states for ever.
func (s *State) Apply(c *Change) (*State, error) {
	if err := c.checkStructure(); err != nil {
		return nil, err
	}
	out := *s
	out.Settings = slices.Clone(s.Settings)
	out.Exceptions = slices.Clone(s.Exceptions)
	for _, k := range c.Unset {
		if i, found := slices.BinarySearchFunc(out.Settings, k, compareSetting); found {
			out.Settings = slices.Delete(out.Settings, i, i+1)
		}
	}
	for _, p := range c.Remove {
		if i, found := slices.BinarySearchFunc(out.Exceptions, p, compareException); found {
			out.Exceptions = slices.Delete(out.Exceptions, i, i+1)
		}
	}
	for _, set := range c.Set {
		out.put(set)
	}
	for _, e := range c.Add {
		out.putException(e)
	}
	if len(out.Settings) > MaxSettings {
		return nil, &StructureError{"set", fmt.Sprintf("more than %d settings", MaxSettings)}
	}
	if len(out.Exceptions) > MaxExceptions {
		return nil, &StructureError{"add", fmt.Sprintf("more than %d exceptions", MaxExceptions)}
	}
	out.ChangeID, out.Author, out.Reason, out.AtMs = c.ID, c.Author, c.Reason, c.AtMs
	return &out, nil
}

func (s *State) put(set Setting) {
	i, found := slices.BinarySearchFunc(s.Settings, set.Key, compareSetting)
	if found {
		s.Settings[i] = set
		return
	}
	s.Settings = slices.Insert(s.Settings, i, set)
}

func (s *State) putException(e Exception) {
	i, found := slices.BinarySearchFunc(s.Exceptions, e.Place(), compareException)
	if found {
		s.Exceptions[i] = e
		return
	}
	s.Exceptions = slices.Insert(s.Exceptions, i, e)
}
