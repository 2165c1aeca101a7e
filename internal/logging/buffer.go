package logging

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedLines limits the lines that wait to be written, which take about 1 MB.
	// Decisions are logged on the control goroutine, so that with direct writes a stalled
	// log reader would also stall heartbeats and answers.
	maxBufferedLines = 4096
	// linesPerSecond limits the volume. It is eight times what an entry writes in the
	// worst second of a load peak with twice the usual callers. A line costs about 10 us,
	// so the limit corresponds to 2 % of a core.
	linesPerSecond = 2000
	// burstLines is the number of lines that may come at once, enough to log a startup or
	// the loss of many sessions completely.
	burstLines = 2 * maxBufferedLines
	// flushTimeout limits how long Close waits for a stalled log reader.
	flushTimeout = time.Second
	// writeBufferBytes is large enough for a burst of lines to share a system call.
	writeBufferBytes = 64 << 10
)

// Buffer is a writer whose Write never blocks. Lines are dropped when the buffer is full
// or they come faster than linesPerSecond. The number of dropped lines is logged when
// writing continues.
type Buffer struct {
	out   io.Writer
	lines chan []byte

	mu         sync.Mutex
	dropped    int
	tokens     float64 // token bucket: lines that may be written now
	refilledAt time.Time
	closed     bool
	done       chan struct{}
}

// NewBuffer returns a buffer that writes to out on a goroutine of its own until Close.
func NewBuffer(out io.Writer) *Buffer {
	b := &Buffer{out: out, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{}), tokens: burstLines, refilledAt: time.Now()}
	go b.run()
	return b
}

func (b *Buffer) run() {
	defer close(b.done)
	out := bufio.NewWriterSize(b.out, writeBufferBytes)
	for line := range b.lines {
		if n := b.resetDropped(); n > 0 {
			fmt.Fprintf(out, "{\"level\":\"WARN\",\"msg\":\"log_lines_dropped\",\"event\":106,\"lines\":%d}\n", n)
		}
		_, _ = out.Write(line) // a failure to log can't be reported anywhere
		if len(b.lines) == 0 {
			_ = out.Flush()
		}
	}
}

// resetDropped returns the number of lines dropped since the last call.
func (b *Buffer) resetDropped() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.dropped
	b.dropped = 0
	return n
}

// Write queues a copy of one line, or drops it. It always succeeds.
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

// allow reports whether one more line may be written now, and takes a token for it. The
// bucket refills by linesPerSecond up to burstLines.
func (b *Buffer) allow(now time.Time) bool {
	b.tokens = min(burstLines, b.tokens+linesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Close writes the queued lines, waiting at most flushTimeout. Later lines are dropped.
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
