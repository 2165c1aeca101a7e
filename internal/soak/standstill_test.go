package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against counting time in which the soak's own process was stalled as time for which an
// entry held an answer.
func TestSelfStallIsCounted(t *testing.T) {
	g := NewWithT(t)
	counter := newSelfStallCounter()
	before := counter.total()
	time.Sleep(2 * selfStallThreshold)
	g.Expect(counter.total() - before).To(BeNumerically(">=", 2*selfStallThreshold))
}
