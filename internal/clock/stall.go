package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// StallThreshold is the shortest pause of a daemon that counts as a stall. It is longer
// than any tick interval and shorter than the silence after which peers close a session.
const StallThreshold = 400 * time.Millisecond

// StallDetector detects that the process was frozen or its host suspended. The monotonic
// clock may not count that time, so timers don't reveal it, and the process would
// continue with sessions and requests that its peers have already abandoned. The
// detector measures the time between two checks by a clock that counts suspensions. It
// is safe for concurrent use.
type StallDetector struct {
	threshold time.Duration
	lastCheck atomic.Int64 // boot clock at the last check, in nanoseconds
}

// NewStallDetector returns a detector of pauses of at least threshold. Check must be called at
// shorter intervals than that.
func NewStallDetector(threshold time.Duration) *StallDetector {
	s := &StallDetector{threshold: threshold}
	s.lastCheck.Store(bootNanos())
	return s
}

// Check returns the time since the previous check if it reaches the threshold, and 0
// otherwise.
func (s *StallDetector) Check() time.Duration {
	now := bootNanos()
	gap := time.Duration(now - s.lastCheck.Swap(now))
	if gap < s.threshold {
		return 0
	}
	return gap
}

// bootNanos returns the reading of CLOCK_BOOTTIME, which also advances while the host is
// suspended, in nanoseconds.
func bootNanos() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now().UnixNano() // not reached: Linux has the clock since 2.6.39
	}
	return ts.Nano()
}
