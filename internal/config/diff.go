package config

import "fmt"

// Diff returns one line for each setting or exception that differs, with the prefix "-"
// if it is in the first state only and "+" if it is in the second only.
func Diff(first, second *State) []string {
	var lines []string
	for _, s := range first.Settings {
		if v, set := second.Value(s.Key); !set || v != s.Value {
			lines = append(lines, fmt.Sprintf("- %s=%d", s.Key, s.Value))
		}
	}
	for _, s := range second.Settings {
		if v, set := first.Value(s.Key); !set || v != s.Value {
			lines = append(lines, fmt.Sprintf("+ %s=%d", s.Key, s.Value))
		}
	}
	lines = append(lines, onlyIn(first, second, "-")...)
	return append(lines, onlyIn(second, first, "+")...)
}

// onlyIn returns a line for each exception that is in one state and not in the other.
func onlyIn(in, other *State, sign string) []string {
	inOther := make(map[Exception]bool, len(other.Exceptions))
	for _, e := range other.Exceptions {
		inOther[e] = true
	}
	var lines []string
	for _, e := range in.Exceptions {
		if !inOther[e] {
			lines = append(lines, fmt.Sprintf("%s except %s:%s %s=%d: %s", sign, e.Kind, e.Name, e.Key, e.Value, e.Reason))
		}
	}
	return lines
}
