package localfleet

import (
	"context"
	"os"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// processState returns a function that reads the kernel's state of a process, such as "T" for
// stopped.
func processState(p *Process) func() string {
	return func() string {
		stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
		Expect(err).NotTo(HaveOccurred())
		_, after, _ := strings.Cut(string(stat), ") ")
		return after[:1]
	}
}

var _ = Describe("a paused process", func() {
	// Guards against the end of a pause of the whole fleet resuming a process that was also paused
	// individually.
	It("resumes after the last of several overlapping pauses", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		p.Pause()
		resume := f.PauseAll()
		Eventually(processState(p)).Should(Equal("T"))
		resume()
		Consistently(processState(p)).Should(Equal("T"))
		p.Resume()
		Eventually(processState(p)).ShouldNot(Equal("T"))
	})

	It("does not count as crashed if it exited before the pause", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		p.Kill()
		f.PauseAll()()
		Expect(f.Crashed()).To(BeEmpty())
	})
})

var _ = Describe("a time limit", func() {
	// Guards against timeouts of a process or a caller that count time in which nothing ran.
	It("does not count paused time", func() {
		var p pauseTracker
		p.begin()
		elapsed := make(chan struct{})
		defer p.afterFunc(minRecheckInterval, func() { close(elapsed) })()
		Consistently(elapsed).ShouldNot(BeClosed())
		p.begin()
		p.end()
		Consistently(elapsed).ShouldNot(BeClosed(), "one pause is still active")
		p.end()
		Eventually(elapsed).Should(BeClosed())
	})
})
