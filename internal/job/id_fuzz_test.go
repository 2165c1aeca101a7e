package job_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// Arbitrary text may arrive as an id in a body or a path. Only text signed with this fleet's key
// may be accepted, and an owner and a deadline must have a single representation: two texts with
// the same meaning would count as two submissions.
func FuzzParseID(f *testing.F) {
	key := job.Key("a key for tests only")
	owner := job.Owner{Incarnation: 7, Addr: netip.MustParseAddrPort("10.1.2.3:7400")}
	token := owner.Token(key)
	good, err := job.NewID(token, time.UnixMilli(1_800_000_000_000), "order-17.a_b", key)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		good.String(), token, token + "-1-x", token + "--x", token + "-01-x", token + "-+1-x", token + "-1-", "",
		"c1", "c1-----", "c2-" + token[3:] + "-1-x", token + "-99999999999999999999-x", token + "-1-\x00",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		g := NewWithT(t)
		id, err := job.ParseID(text, key)
		if err != nil {
			var bad *fault.Fault
			g.Expect(errors.As(err, &bad)).To(BeTrue())
			g.Expect(bad.Code).To(Equal(fault.BadID))
			g.Expect(bad.NotRun).To(BeTrue())
			return
		}
		g.Expect(id.String()).To(Equal(text))
		again, err := job.NewID(id.Owner.Token(key), id.Deadline, id.Unique, key)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(id))
		_, err = job.ParseID(text, job.Key("the key of another fleet"))
		g.Expect(err).To(HaveOccurred())
	})
}
