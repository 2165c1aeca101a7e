package platformlog

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against idle reads of the operator's topic that grow with the fleet: twice the processes must
// make at most as many calls together, until the log's longest wait is reached. One of them must still
// end a read within promptWait.
func TestSharedReadsDoNotGrowWithTheFleet(t *testing.T) {
	g := NewWithT(t)
	rate := func(processes int) float64 {
		return float64(processes) / SharedPace(func() int { return processes - 1 }).Wait().Seconds()
	}
	for processes := 2 * promptReaders; processes <= 32; processes *= 2 {
		g.Expect(rate(2 * processes)).To(BeNumerically("<=", 1.2*rate(processes)))
	}
	for processes := 1; processes <= 2000; processes++ {
		g.Expect(rate(processes) * promptWait.Seconds()).To(BeNumerically(">=", 1))
	}
	g.Expect(sharedWait(0)).To(Equal(promptWait), "a process that nobody informs")
	g.Expect(sharedWait(10_000)).To(Equal(30 * time.Second))
}
