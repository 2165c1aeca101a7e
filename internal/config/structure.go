package config

import "strings"

// The rules in this file determine whether a change is void, and must give the same result
// in every program of a fleet. They must not be tightened or relaxed without a new record
// format.

// checkStructure checks the rules for a change that don't depend on a state. The error is
// a *StructureError.
func (c *Change) checkStructure() error {
	switch {
	case c.ID == "" || len(c.ID) > MaxNameBytes:
		return &StructureError{"id", "takes 1 to 64 bytes"}
	case !validText(c.Author) || c.Author == "":
		return &StructureError{"author", "takes 1 to 512 bytes of text"}
	case !validText(c.Reason):
		return &StructureError{"reason", "takes up to 512 bytes of text"}
	case len(c.Set)+len(c.Unset)+len(c.Add)+len(c.Remove) == 0:
		return &StructureError{"change", "changes nothing"}
	case len(c.Set)+len(c.Unset) > MaxSettings || len(c.Add)+len(c.Remove) > MaxExceptions:
		return &StructureError{"change", "too large"}
	}
	for _, s := range c.Set {
		if !validKey(s.Key) {
			return &StructureError{"set", "malformed key"}
		}
	}
	for _, k := range c.Unset {
		if !validKey(k) {
			return &StructureError{"unset", "malformed key"}
		}
	}
	for i := range c.Add {
		if err := c.Add[i].checkStructure(); err != nil {
			return err
		}
	}
	return nil
}

func (e *Exception) checkStructure() error {
	switch {
	case !validKey(e.Key):
		return &StructureError{"add.key", "malformed key"}
	case !validName(string(e.Kind)):
		return &StructureError{"add.kind", "malformed kind of scope"}
	case e.Name == "" || !validText(e.Name):
		return &StructureError{"add.name", "takes 1 to 512 bytes of text"}
	case strings.TrimSpace(e.Reason) == "" || !validText(e.Reason):
		return &StructureError{"add.reason", "an exception needs a written reason of at most 512 bytes"}
	case strings.TrimSpace(e.Author) == "" || !validText(e.Author):
		return &StructureError{"add.author", "an exception needs an author"}
	}
	return nil
}

func validText(s string) bool { return len(s) <= MaxTextBytes }

// validKey reports whether a key has valid bytes and at most twice the length of a name, so
// that the quota key of a team with the longest name is valid.
func validKey(k Key) bool {
	return len(k) > 0 && len(k) <= 2*MaxNameBytes && validBytes(string(k))
}

// validName reports whether s has valid bytes and 1 to MaxNameBytes of them.
func validName(s string) bool {
	return len(s) > 0 && len(s) <= MaxNameBytes && validBytes(s)
}

// validBytes reports whether s has only the bytes A-Z a-z 0-9 _ - and dot.
func validBytes(s string) bool {
	for i := range len(s) {
		b := s[i]
		letter := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '_' && b != '-' && b != '.' {
			return false
		}
	}
	return true
}
