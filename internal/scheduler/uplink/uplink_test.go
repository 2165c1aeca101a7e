package uplink

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var now = time.Unix(1_800_000_000, 0)

// Guards against predictions that ignore the frames queued on a narrow link.
func TestBacklogDelaysLaterFrames(t *testing.T) {
	g := NewWithT(t)
	l := New(2) // 250 bytes per millisecond
	g.Expect(l.WaitMs(now)).To(BeZero())
	l.Enqueue(now, 25_000)
	g.Expect(l.WaitMs(now)).To(BeNumerically("~", 100, 0.1))
	g.Expect(l.WaitMs(now.Add(60 * time.Millisecond))).To(BeNumerically("~", 40, 0.1))
	g.Expect(l.WaitMs(now.Add(time.Second))).To(BeZero())
	g.Expect(l.TransmitMs(500)).To(BeNumerically("~", 2, 0.01))
}

// Guards against predicted delays where the bandwidth of the link is unknown.
func TestUnlimitedLinkHasNoDelay(t *testing.T) {
	g := NewWithT(t)
	for _, l := range []*Link{{}, New(0), New(-1)} {
		l.Enqueue(now, 1<<30)
		g.Expect(l.WaitMs(now)).To(BeZero())
		g.Expect(l.TransmitMs(1 << 30)).To(BeZero())
	}
}
