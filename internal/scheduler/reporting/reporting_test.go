package reporting

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// reportLoad returns the share of the host's processor that reading reports takes while each
// runner starts and ends 40 tasks a second.
func reportLoad(processorShare float64, runners int) float64 {
	const changes = 80
	perRunner := min(changes, float64(time.Second)/float64(max(Interval(processorShare, runners), time.Millisecond)))
	return perRunner * float64(runners) * reportCost.Seconds() / processorShare
}

// Guards against an entry that receives every change of load: on a seventh of a core with 55
// runners, reading the reports took half of its processor and delayed its orders.
func TestReportsUseBoundedShareOfSmallHost(t *testing.T) {
	g := NewWithT(t)
	for _, share := range []float64{0.144, 0.24, 0.48, 0.8} {
		for _, runners := range []int{4, 11, 55} {
			g.Expect(reportLoad(share, runners)).To(BeNumerically("<=", allowedShare(runners, share)), "%v of a core, %d runners", share, runners)
		}
	}
}

// allowedShare returns the allowed processor share: a tenth, and more only where loads would
// otherwise become older than the shortest tasks take.
func allowedShare(runners int, processorShare float64) float64 {
	minShare := float64(runners) * reportCost.Seconds() / maxInterval.Seconds() / processorShare
	return max(maxProcessorShare, minShare) * 1.0001
}

// On a large host the interval must not delay the changes of load: runners report them at
// intervals of 15 ms anyway.
func TestLargeHostReceivesEveryReport(t *testing.T) {
	NewWithT(t).Expect(Interval(0.8, 55)).To(BeNumerically("<", 15*time.Millisecond))
}

// Runners connect and disconnect one by one. Each of them may cause a frame to all others only
// where the interval changes by more than half.
func TestIntervalIsAnnouncedOnlyOnSignificantChange(t *testing.T) {
	g := NewWithT(t)
	announced, times := time.Duration(0), 0
	for runners := 1; runners <= 60; runners++ {
		if interval := Interval(0.2, runners); SignificantChange(interval, announced) {
			announced, times = interval, times+1
		}
	}
	g.Expect(times).To(BeNumerically("<=", 11))
	g.Expect(SignificantChange(Interval(0.2, 60), announced)).To(BeFalse())
}
