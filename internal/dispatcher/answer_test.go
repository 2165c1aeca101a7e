package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/dispatch"
)

// Guards against deadlines taken from the host's wall clock. If that clock jumps back by three
// seconds while the scheduling clock does not, every deadline is already past and every job is
// refused as infeasible until the wall clock is corrected.
func TestDeadlineUsesSchedulingClock(t *testing.T) {
	ahead := clock.NewFake(time.Now().Add(3 * time.Second))
	d := &Dispatcher{clock: ahead}
	j := &dispatch.Job{Timeout: 2 * time.Second}
	d.setDeadline(j)
	NewWithT(t).Expect(j.Deadline.Sub(ahead.Now())).To(Equal(2 * time.Second))
}
