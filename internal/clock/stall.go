package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// StallThreshold is the pause above which a daemon counts as having stood still: longer
// than any of its ticks, and shorter than the silence after which peers give it up.
const StallThreshold = 400 * time.Millisecond

// StallDetector notices that the process stood still: it was frozen, or its host suspended.
// The steady clock may not count such a time, and timers then say nothing of it. A
// process that goes on as if nothing had happened acts on sessions and requests that
// the other side has given up. The clock that counts suspensions is compared with
// what should have passed between two looks.
type StallDetector struct {
	limit time.Duration
	last  atomic.Int64 // nanoseconds of the boot clock at the last look
}

// NewStallDetector returns a detector of pauses over limit. Look must be called more often.
func NewStallDetector(limit time.Duration) *StallDetector {
	s := &StallDetector{limit: limit}
	s.last.Store(bootNanos())
	return s
}

// Check returns how long the process stood still since the last look; 0 where that is
// below the limit.
func (s *StallDetector) Check() time.Duration {
	now := bootNanos()
	gap := time.Duration(now - s.last.Swap(now))
	if gap < s.limit {
		return 0
	}
	return gap
}

// bootNanos reads the clock that runs on through suspensions.
func bootNanos() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixNano() // every Linux since 2.6.39 has the clock
	}
	return ts.Nano()
}
