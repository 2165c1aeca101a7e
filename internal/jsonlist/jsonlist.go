// Package jsonlist limits the number of elements of JSON arrays before they are decoded. A body of 64 KB
// has room for 20,000 empty objects, which take 100 times its size as structs.
package jsonlist

import "fmt"

// AnyDepth makes Check look at all arrays.
const AnyDepth = 1 << 30

// TooLongError reports an array with more elements than allowed.
type TooLongError struct{ Limit int }

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("an array has more than %d elements", e.Limit)
}

// Check returns a *TooLongError if an array of text has more than limit elements. It looks at arrays that
// are nested in up to depth-1 others. Text that is not valid JSON may pass, and its decoding fails.
func Check(text []byte, limit, depth int) error {
	var commas []int // of each open array; -1 for an object
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '[':
			commas = append(commas, 0)
		case '{':
			commas = append(commas, -1)
		case ']', '}':
			commas = commas[:max(len(commas)-1, 0)]
		case ',':
			open := len(commas)
			if open == 0 || open > depth || commas[open-1] < 0 {
				continue
			}
			if commas[open-1]++; commas[open-1] >= limit {
				return &TooLongError{limit}
			}
		}
	}
	return nil
}

// endOfString returns the index of the quote that ends the string that begins at text[start], or the length
// of text.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}
