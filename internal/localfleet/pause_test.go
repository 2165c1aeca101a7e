package localfleet

import (
	"context"
	"os"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stateOf returns the state that the kernel gives for a process, such as "T" for stopped.
func stateOf(p *Process) func() string {
	return func() string {
		stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/stat")
		Expect(err).NotTo(HaveOccurred())
		_, after, _ := strings.Cut(string(stat), ") ")
		return after[:1]
	}
}

var _ = Describe("a paused process", func() {
	// Guards against a standstill of the whole fleet that wakes a process which was frozen
	// by itself.
	It("goes on after the last of the pauses that overlap", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		p.Pause()
		resume := f.PauseAll()
		Eventually(stateOf(p)).Should(Equal("T"))
		resume()
		Consistently(stateOf(p)).Should(Equal("T"))
		p.Resume()
		Eventually(stateOf(p)).ShouldNot(Equal("T"))
	})

	It("is left alone once it has ended", func(ctx context.Context) {
		f := newFleet("serve")
		p, err := f.StartEntry(ctx, "entry-1", "", nil)
		Expect(err).NotTo(HaveOccurred())
		p.Kill()
		f.PauseAll()()
		Expect(f.Crashed()).To(BeEmpty())
	})
})

var _ = Describe("a time limit", func() {
	// Guards against a process, or a caller, being called late for a time in which nothing ran.
	It("does not count pauses", func() {
		var p pauses
		p.begin()
		over := make(chan struct{})
		defer p.afterRunning(leastLook, func() { close(over) })()
		Consistently(over).ShouldNot(BeClosed())
		p.begin()
		p.end()
		Consistently(over).ShouldNot(BeClosed(), "one pause is still open")
		p.end()
		Eventually(over).Should(BeClosed())
	})
})
