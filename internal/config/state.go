// Package config manages the fleet's persistent configuration: fleet-wide settings
// and a short list of exceptions, each with a written reason. The configuration is
// stored as a stream of changes on the platform's log, and every process derives the
// same state from the order of the records alone.
package config

import (
	"fmt"
	"slices"
	"strings"
)

// Limits of a state. A change that would exceed one is void on every process, so all
// programs of a fleet must have the same limits.
const (
	MaxSettings   = 2000 // many times the 140 teams of the design size plus all other keys
	MaxExceptions = 200  // where more are needed, the fleet-wide setting should change instead
	MaxNameBytes  = 64
	MaxTextBytes  = 512
)

// Setting is a fleet-wide value that overrides the built-in default.
type Setting struct {
	Key   Key   `cbor:"1,keyasint" json:"key"`
	Value int64 `cbor:"2,keyasint" json:"value"`
}

// Exception overrides a setting for one data centre, rack, entry or target.
type Exception struct {
	Kind   ScopeKind `cbor:"1,keyasint" json:"kind"`
	Name   string    `cbor:"2,keyasint" json:"name"`
	Key    Key       `cbor:"3,keyasint" json:"key"`
	Value  int64     `cbor:"4,keyasint" json:"value"`
	Reason string    `cbor:"5,keyasint" json:"reason"`
	Author string    `cbor:"6,keyasint" json:"author"`
	AtMs   int64     `cbor:"7,keyasint" json:"at_ms"` // Unix milliseconds on the author's clock; for display only, never compared
}

// Place identifies an exception; a state has at most one exception per place.
type Place struct {
	Kind ScopeKind `cbor:"1,keyasint" json:"kind"`
	Name string    `cbor:"2,keyasint" json:"name"`
	Key  Key       `cbor:"3,keyasint" json:"key"`
}

// Place returns the identity of the exception.
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

// State is the configuration as of a position in the log. The zero State stands for
// the built-in defaults. A State is immutable; Apply returns a new one.
type State struct {
	// Version is one more than the offset of the change or restart that produced the
	// state; 0 means none. Offsets are unique, so different states have different
	// versions.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// AsOf is the position: the state reflects every record below this offset.
	AsOf       uint64      `cbor:"2,keyasint" json:"as_of"`
	ChangeID   string      `cbor:"3,keyasint,omitempty" json:"change_id"`
	Author     string      `cbor:"4,keyasint,omitempty" json:"author"`
	Reason     string      `cbor:"5,keyasint,omitempty" json:"reason"`
	AtMs       int64       `cbor:"6,keyasint,omitempty" json:"at_ms"`
	Settings   []Setting   `cbor:"7,keyasint,omitempty" json:"settings"`   // sorted by key
	Exceptions []Exception `cbor:"8,keyasint,omitempty" json:"exceptions"` // sorted by place
	// LastWrite is one more than the offset of the last change or restart, whether
	// void or not. A restart is void if another change or restart was written after
	// its author had read the log.
	LastWrite uint64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Change is an operator's change to the configuration. It is void unless the version
// that it is based on is current at the change's position in the log.
type Change struct {
	ID     string      `cbor:"1,keyasint" json:"id"` // random; identifies the change in the log
	Base   uint64      `cbor:"2,keyasint" json:"base"`
	Author string      `cbor:"3,keyasint" json:"author"`
	Reason string      `cbor:"4,keyasint,omitempty" json:"reason"`
	AtMs   int64       `cbor:"5,keyasint" json:"at_ms"`
	Set    []Setting   `cbor:"6,keyasint,omitempty" json:"set,omitempty"`
	Unset  []Key       `cbor:"7,keyasint,omitempty" json:"unset,omitempty"` // keys that return to the built-in default
	Add    []Exception `cbor:"8,keyasint,omitempty" json:"add,omitempty"`
	Remove []Place     `cbor:"9,keyasint,omitempty" json:"remove,omitempty"`
}

// StructureError reports why a change is invalid: it breaks a rule of its own, or the
// state that it would produce exceeds a limit. The rules and limits are the same in every
// program of the fleet.
type StructureError struct {
	Field  string
	Detail string
}

// Error implements error.
func (e *StructureError) Error() string { return e.Field + ": " + e.Detail }

// Value returns the fleet-wide value of a key and whether one is set.
func (s *State) Value(k Key) (int64, bool) {
	i, found := slices.BinarySearchFunc(s.Settings, k, compareSetting)
	if !found {
		return 0, false
	}
	return s.Settings[i].Value, true
}

func compareSetting(s Setting, k Key) int { return strings.Compare(string(s.Key), string(k)) }

func compareException(e Exception, p Place) int { return e.Place().compare(p) }

// Apply returns a copy of the state with the change applied, but with the same version
// and position. The error is a *StructureError. Only the structure is checked, not
// whether this program knows the keys and allows the values: otherwise programs of
// different releases would permanently derive different states from the same log.
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

// put sets a setting and keeps the order by key.
func (s *State) put(set Setting) {
	i, found := slices.BinarySearchFunc(s.Settings, set.Key, compareSetting)
	if found {
		s.Settings[i] = set
		return
	}
	s.Settings = slices.Insert(s.Settings, i, set)
}

// putException adds an exception or replaces the one of the same place, and keeps the order.
func (s *State) putException(e Exception) {
	i, found := slices.BinarySearchFunc(s.Exceptions, e.Place(), compareException)
	if found {
		s.Exceptions[i] = e
		return
	}
	s.Exceptions = slices.Insert(s.Exceptions, i, e)
}
