package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stalledWriter blocks all writes until it is released.
type stalledWriter struct {
	release chan struct{}
	output  bytes.Buffer
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.output.Write(b)
}

// Guards against a stalled log reader, such as a full disk or a stopped collector, that
// blocks the daemon: with direct writes, heartbeats would stop and jobs would miss their
// deadlines because of a log line.
func TestStalledReader(t *testing.T) {
	g := NewWithT(t)
	out := &stalledWriter{release: make(chan struct{})}
	b := NewBuffer(out)
	const line = "line\n"
	// More than the channel and one write can hold.
	const lines = maxBufferedLines + writeBufferBytes/len(line) + 1000
	for range lines {
		_, err := io.WriteString(b, line)
		g.Expect(err).NotTo(HaveOccurred())
	}
	close(out.release)
	b.Close()
	got := out.output.String()
	written := strings.Count(got, line)
	g.Expect(written).To(BeNumerically(">=", maxBufferedLines))
	g.Expect(written).To(BeNumerically("<", lines))
	g.Expect(got).To(ContainSubstring("log_lines_dropped"))
}

// Guards against a flood of refusals, each of which logs a line, for minutes. Without a
// limit, logging would take CPU time from the decisions, and the log collector would fall
// behind.
func TestVolumeIsBounded(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := &Buffer{tokens: burstLines, refilledAt: now}
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
