package dispatcher

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/dispatch"
)

// The host's time of day jumps back by three seconds while the clock of the decisions goes
// on. Told by the host's, every deadline was past by the other, and for as long as the jump
// lasted every job was refused as one that can't be done in time.
func TestDeadlinesFollowTheClockOfTheDecisions(t *testing.T) {
	ahead := clock.NewFake(time.Now().Add(3 * time.Second))
	d := &Dispatcher{clock: ahead}
	j := &dispatch.Job{Timeout: 2 * time.Second}
	d.setDeadline(j)
	NewWithT(t).Expect(j.Deadline.Sub(ahead.Now())).To(Equal(2 * time.Second))
}
