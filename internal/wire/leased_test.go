package wire_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

func wideJob(id, spec string, tasks int) []wire.Order {
	orders := make([]wire.Order, tasks)
	for i := range orders {
		orders[i] = wire.Order{Seq: uint64(i + 1), Job: id, Index: i, Run: 7, Spec: spec}
	}
	return orders
}

// A job of 32 tasks has a spec of four kilobytes and goes over the link of an entry of 2 Mbit/s.
// With the spec in each order the frame takes that link for half a second, in which the jobs of
// all other callers wait as well.
func TestAWideJobTakesTheLinkForItsSpecOnce(t *testing.T) {
	g := NewWithT(t)
	const linkBitsPerMs, mostMs = 2000, 40
	b, err := wire.Encode(&wire.ToAgent{Seq: 1, Leased: &wire.LeasedToAgent{Orders: wideJob("j", strings.Repeat("s", 4000), 32)}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(8 * len(b) / linkBitsPerMs).To(BeNumerically("<", mostMs))
}

// Orders of several jobs gather in one frame. Each task must be told its own job's spec, or a
// target would do another caller's work.
func TestEachOrderHasItsOwnSpec(t *testing.T) {
	g := NewWithT(t)
	orders := append(wideJob("a", "spec-a", 2), wideJob("b", "", 2)...)
	orders = append(orders, wideJob("c", "spec-c", 1)...)
	b, err := wire.Encode(&wire.ToAgent{Seq: 1, Leased: &wire.LeasedToAgent{Orders: orders}})
	g.Expect(err).NotTo(HaveOccurred())
	f, err := wire.Decode[wire.ToAgent](b)
	g.Expect(err).NotTo(HaveOccurred())
	var specs []string
	for _, o := range f.Leased.Orders {
		specs = append(specs, o.Spec)
	}
	g.Expect(specs).To(Equal([]string{"spec-a", "spec-a", "", "", "spec-c"}))
}

// A frame names a spec that it does not bring. Started without it, the task would do the wrong
// work; the connection is closed instead.
func TestASpecThatIsMissingIsAnError(t *testing.T) {
	g := NewWithT(t)
	b, err := wire.Encode(&wire.ToAgent{Seq: 1, Leased: &wire.LeasedToAgent{Orders: wideJob("a", "spec-a", 1)}})
	g.Expect(err).NotTo(HaveOccurred())
	cut := strings.Replace(string(b), "\x05\x81\x66spec-a", "\x05\x80", 1)
	g.Expect(cut).NotTo(Equal(string(b)))
	_, err = wire.Decode[wire.ToAgent]([]byte(cut))
	var bad *wire.FrameError
	g.Expect(errors.As(err, &bad)).To(BeTrue())
}
