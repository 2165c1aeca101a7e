package reporting

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// heard plays a second of runners that each start and end 40 tasks, and returns the share of
// the host's own processor that reading the reports takes.
func heard(processorShare float64, runners int) float64 {
	const changes = 80
	perRunner := min(changes, float64(time.Second)/float64(max(Interval(processorShare, runners), time.Millisecond)))
	return perRunner * float64(runners) * frameCost.Seconds() / processorShare
}

// An entry on a seventh of a core has 55 runners at work. Every change of load used to reach
// it, which took half of its processor, and its callers waited for orders to leave.
func TestReportsTakeABoundedPartOfASmallHost(t *testing.T) {
	g := NewWithT(t)
	for _, share := range []float64{0.144, 0.24, 0.48, 0.8} {
		for _, runners := range []int{4, 11, 55} {
			g.Expect(heard(share, runners)).To(BeNumerically("<=", mostShare(runners, share)), "%v of a core, %d runners", share, runners)
		}
	}
}

// mostShare is the aim: a tenth, and more only where loads would be older than the shortest tasks
// are long.
func mostShare(runners int, processorShare float64) float64 {
	floor := float64(runners) * frameCost.Seconds() / longest.Seconds() / processorShare
	return max(share, floor) * 1.0001
}

// A large host hears of every change.
func TestALargeHostHearsAll(t *testing.T) {
	NewWithT(t).Expect(Interval(0.8, 55)).To(BeNumerically("<", 15*time.Millisecond))
}

// Runners come and go one by one. Each costs a frame to all others only where the pace changes
// by more than half.
func TestThePaceIsToldWhereItDiffers(t *testing.T) {
	g := NewWithT(t)
	told, times := time.Duration(0), 0
	for runners := 1; runners <= 60; runners++ {
		if every := Interval(0.2, runners); SignificantChange(every, told) {
			told, times = every, times+1
		}
	}
	g.Expect(times).To(BeNumerically("<=", 11))
	g.Expect(SignificantChange(Interval(0.2, 60), told)).To(BeFalse())
}
