package entry

import (
	"encoding/json"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// Decodes bodies of arbitrary bytes. A body is either refused with a fault that names the
// invalid field, or has the same meaning after it was encoded and decoded again. Decoding never
// panics, which would also end the requests of other callers.
func FuzzDecodeSubmission(f *testing.F) {
	for _, seed := range []string{
		``, `{`, `null`, `[]`, `{} {}`, `{"id":"x","ID":"y"}`, `{"tasks":[{"payload":"aGk="}]}`, `{"tasks":[null]}`,
		`{"team":"t","class":"c","idempotent":true,"tasks":[{"payload":"","estimate_ms":1e3}]}`,
		`{"tasks":[{"demand":{"cpu_milli":-1,"memory_mb":9999999999}}]}`, `{"Submission":{"team":"t"}}`,
		`{"tasks":[{"payload":"%%"}]}`, "{\"team\":\"\xff\"}", `{"estimate":1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		g := NewWithT(t)
		b, err := decodeSubmission(body, false)
		if err == nil {
			err = b.Validate()
		}
		if err != nil {
			var bad *fault.Fault
			g.Expect(errors.As(err, &bad)).To(BeTrue(), "%v", err)
			g.Expect(bad.Field).NotTo(BeEmpty())
			g.Expect(bad.NotRun).To(BeTrue())
			return
		}
		encoded, err := json.Marshal(b)
		g.Expect(err).NotTo(HaveOccurred())
		again, err := decodeSubmission(encoded, false)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again.ID).To(Equal(b.ID))
		g.Expect(again.Fingerprint()).To(Equal(b.Fingerprint()))
	})
}
