package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stalled is a log reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.release
	return s.got.Write(b)
}

// Whatever collects the log stalls, as a full disk or a stopped collector does. A
// daemon that writes its log directly stands still with it: heartbeats stop and
// jobs miss their deadlines because of a log line.
func TestStalledReader(t *testing.T) {
	g := NewWithT(t)
	out := &stalled{release: make(chan struct{})}
	b := NewBuffer(out)
	const line = "line\n"
	// More than the channel and one write can hold.
	const lines = maxBuffered + writeSize/len(line) + 1000
	for range lines {
		_, err := io.WriteString(b, line)
		g.Expect(err).NotTo(HaveOccurred())
	}
	close(out.release)
	b.Close()
	got := out.got.String()
	written := strings.Count(got, line)
	g.Expect(written).To(BeNumerically(">=", maxBuffered))
	g.Expect(written).To(BeNumerically("<", lines))
	g.Expect(got).To(ContainSubstring("log_lines_dropped"))
}

// A flood of refusals writes a line each, for minutes. Without a bound the lines take the
// processor from the decisions, and whatever collects them falls behind.
func TestVolumeIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := &Buffer{budget: burstLines, filled: now}
	written := 0
	for range 60 {
		for range 10 * linesPerSecond {
			if b.allow(now) {
				written++
			}
		}
		now = now.Add(time.Second)
	}
	g.Expect(written).To(BeNumerically("<=", burstLines+60*linesPerSecond))
	g.Expect(written).To(BeNumerically(">=", burstLines+58*linesPerSecond))
}
