package runs

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/wire"
)

// Guards against two runs of one task: a run whose row can't be read is missing from the lists, and counts
// as over.
func TestIncompleteListingSettlesNoMissingRun(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.advance(10 * time.Millisecond)
	call, _ := h.NextRenewal(h.now)
	h.Renewed(h.now, h.now, call, Listing{ClockMs: 6000, Incomplete: true})
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.advance(10 * time.Millisecond)
	h.Renewed(h.now, h.now, call, Listing{ClockMs: 6010})
	h.Expect(h.outcomes(testConn)).To(HaveLen(1))
}

// Guards against two runs of one task: a target that has only stopped listening goes on with its runs, and
// they are reported as over before their lease has ended.
func TestRunOnATargetThatRefusesConnectionsIsNotOverBeforeItsLease(t *testing.T) {
	h := newHarness(t)
	h.sendOrder(testConn, 1, task("a", 0), 7)
	h.answerStart(0, Accepted)
	h.renewWith(h.target.starts[0].Run)
	h.loseRenewals(1, 5*time.Millisecond, Refused)
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "its entry would start the task elsewhere")
	h.loseRenewals(3, 50*time.Millisecond, Refused)
	h.Expect(h.outcomes(testConn)).To(BeEmpty())
	h.renewWith(h.target.starts[0].Run)
	h.Expect(h.outcomes(testConn)).To(BeEmpty(), "it was running all the while")
	h.loseRenewals(1, 5*time.Millisecond, Refused)
	h.advance(1500 * time.Millisecond)
	h.Expect(h.outcomes(testConn)).To(HaveKeyWithValue(uint64(1), HaveField("End", wire.EndStopped)), "its lease is over")
}
