package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Validate checks a change to the state before it is published: its structure, and that
// this program knows every key and allows every value and scope. The error is a
// *fault.Fault of code ConfigInvalid that names the field.
func (c *Change) Validate(on *State) error {
	if _, err := on.Apply(c); err != nil {
		s := err.(*StructureError) // the only error of Apply
		return invalidFault(s.Field, s.Detail)
	}
	for _, s := range c.Set {
		if err := checkValue(s.Key, s.Value, ""); err != nil {
			return err
		}
	}
	for i := range c.Add {
		if err := checkValue(c.Add[i].Key, c.Add[i].Value, c.Add[i].Kind); err != nil {
			return err
		}
	}
	return nil
}

func invalidFault(field, detail string) *fault.Fault {
	return fault.Input(fault.ConfigInvalid, field, detail)
}

// checkValue checks that the key is known, the value in range and an exception allowed for the
// kind of scope; "" stands for a fleet-wide setting. The error is a *fault.Fault.
func checkValue(k Key, v int64, kind ScopeKind) error {
	d, ok := LookupDefinition(k)
	if !ok {
		return invalidFault(string(k), "no such setting")
	}
	if v < d.Min || v > d.Max {
		return invalidFault(string(k), fmt.Sprintf("takes %d to %d %s", d.Min, d.Max, d.Unit))
	}
	if kind != "" && !slices.Contains(d.Scopes, kind) {
		return invalidFault(string(k), "no exception can be made for "+string(kind)+"; "+d.scopesText())
	}
	return nil
}

// scopesText returns the scopes of the setting, for an error message.
func (d *Definition) scopesText() string {
	if len(d.Scopes) == 0 {
		return "it is fleet-wide only"
	}
	kinds := make([]string, len(d.Scopes))
	for i, k := range d.Scopes {
		kinds[i] = string(k)
	}
	return "it can be made for " + strings.Join(kinds, ", ")
}
