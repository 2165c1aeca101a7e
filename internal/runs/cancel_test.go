package runs

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// cancellations returns the cancellations that a session was sent.
func (h *harness) cancellations(conn ConnID) (ids []string) {
	h.Flush(h.now)
	for _, f := range h.outbox.sent[conn] {
		ids = append(ids, f.Cancellations...)
	}
	return ids
}

// Guards against a job that goes on, or starts again, at an entry that its cancellation did not reach.
func TestCancellationIsPassedOnToOtherEntries(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.Connect(h.now, 3, wire.ExtendedFeatures)
	h.Flush(h.now)
	for range 2 {
		h.Receive(h.now, testConn, &wire.LeasedToAgent{Cancellations: []string{"a", "b"}})
	}
	h.advance(cancellationDelay)
	h.Expect(h.cancellations(2)).To(Equal([]string{"a", "b"}))
	h.Expect(h.cancellations(testConn)).To(BeEmpty())
	h.Expect(h.cancellations(3)).To(BeEmpty(), "an earlier build rejects them")
	h.Connect(h.now, 4, wire.DescribedFeatures)
	h.Expect(h.cancellations(4)).To(Equal([]string{"a", "b"}), "a copy may arrive at an entry that has just started")
}

// Guards against a task of a cancelled job that starts because its order was under way. Its entry learns why.
func TestOrderOfACancelledJobIsReturned(t *testing.T) {
	h := newHarness(t)
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.Receive(h.now, 2, &wire.LeasedToAgent{Cancellations: []string{"a"}})
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.Expect(h.target.starts).To(BeEmpty())
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("Reason", wire.NotRunRecalled)))
	h.Expect(h.cancellations(testConn)).To(Equal([]string{"a"}))
}

// Guards against a frame that grows with a burst of cancellations.
func TestCancellationsAreSpreadOverFrames(t *testing.T) {
	h := newHarness(t)
	ids := make([]string, wire.MaxCancellations+1)
	for i := range ids {
		ids[i] = string(rune('a' + i))
	}
	h.Connect(h.now, 2, wire.DescribedFeatures)
	h.Receive(h.now, testConn, &wire.LeasedToAgent{Cancellations: ids})
	h.advance(cancellationDelay)
	h.Expect(h.cancellations(2)).To(HaveLen(wire.MaxCancellations))
	h.Expect(h.cancellations(2)).To(Equal(ids))
}
