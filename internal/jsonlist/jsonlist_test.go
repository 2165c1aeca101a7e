package jsonlist

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against counting what is no element of the array: commas of strings, of objects and of arrays
// that are nested deeper.
func TestCheckCountsElements(t *testing.T) {
	g := NewWithT(t)
	for text, fits := range map[string]bool{
		`[]`: true, `[1,2,3]`: true, `[1,2,3,4]`: false, `[{"a":1,"b":2,"c":3,"d":4}]`: true, `["a,b,c,d,\",e"]`: true,
		`["\\",1,2,3]`: false, `[[1,2,3,4]]`: true, `{"a":[1,2,3,4]}`: true, `]]}},,,`: true, `["`: true, `"\`: true,
	} {
		err := Check([]byte(text), 3, 1)
		g.Expect(err == nil).To(Equal(fits), text)
	}
	g.Expect(Check([]byte(`[[1,2,3,4]]`), 3, AnyDepth)).To(MatchError("an array has more than 3 elements"))
}

// Guards against a limit that depends on how the elements are written: it is compared with the count of
// encoding/json.
func TestCheckAgreesWithTheDecoder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		element := rapid.SampledFrom([]string{`1`, `"a,]\""`, `{"x":[1,2]}`, `[ ]`, `null`, ` {} `})
		text := "[" + strings.Join(rapid.SliceOfN(element, 0, 12).Draw(t, "elements"), ",") + "]"
		var list []json.RawMessage
		if err := json.Unmarshal([]byte(text), &list); err != nil {
			t.Fatal(err)
		}
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		if got := Check([]byte(text), limit, 1) != nil; got != (len(list) > limit) {
			t.Fatalf("%s has %d elements, limit %d: refused %v", text, len(list), limit, got)
		}
	})
}
