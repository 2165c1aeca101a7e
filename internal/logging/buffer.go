package logging

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the lines that wait to be written: about 1 MB. Decisions are
	// logged on the control goroutine; if whatever reads the log stalls, writing to it
	// directly would stall heartbeats and answers with it.
	maxBuffered = 4096
	// linesPerSecond bounds the volume: eight times what an entry writes in the worst
	// second of a rush of twice the usual callers. A line costs about 10 us, so all of
	// them take 2 % of a core.
	linesPerSecond = 2000
	// burstLines may come at once: a start or a loss of many sessions is logged whole.
	burstLines = 2 * maxBuffered
	// flushTimeout bounds the wait for a reader that stalls when the process ends.
	flushTimeout = time.Second
	// writeSize lets a burst of lines share a system call.
	writeSize = 64 << 10
)

// Buffer is a writer that never blocks. Lines that find no room, or come faster than
// linesPerSecond, are dropped, and
// their number is written as a line of its own when there is room again.
type Buffer struct {
	out   io.Writer
	lines chan []byte

	mu      sync.Mutex
	dropped int
	budget  float64 // lines that may be written now
	filled  time.Time
	closed  bool
	done    chan struct{}
}

// NewBuffer returns a buffer in front of out.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, maxBuffered), done: make(chan struct{}), budget: burstLines, filled: time.Now()}
	go b.run()
	return b
}

func (b *Buffer) run() {
	defer close(b.done)
	out := bufio.NewWriterSize(b.out, writeSize)
	for line := range b.lines {
		if n := b.takeDropped(); n > 0 {
			fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log_lines_dropped\",\"event\":106,\"lines\":%d}\n", n)
		}
		_, _ = out.Write(line) // there is nowhere left to report a failure
		if len(b.lines) == 0 {
			_ = out.Flush()
		}
	}
}

func (b *Buffer) takeDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

// Write takes one line. It keeps a copy and always succeeds.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	if !b.allow(time.Now()) {
		b.dropped++
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped++
	}
	return len(line), nil
}

// allow takes one line from the budget, which fills up to burstLines.
func (b *Buffer) allow(now time.Time) bool {
	b.budget = min(burstLines, b.budget+linesPerSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.budget < 1 {
		return false
	}
	b.budget--
	return true
}

// Close writes what waits; later lines are lost.
func (b *Buffer) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(flushTimeout):
	}
}
