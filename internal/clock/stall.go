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
	threshold  time.Duration
	boot, mono func() int64 // clocks that count suspensions and that don't, in nanoseconds
	lastCheck  atomic.Int64 // boot clock at the last check, in nanoseconds
	suspended  atomic.Int64 // highest lead of the boot clock over the monotonic one, in nanoseconds
}

// minSuspension is the shortest suspension of the host that is detected.
const minSuspension = 10 * time.Millisecond

// NewStallDetector returns a detector of pauses of at least threshold. Check must be called at
// shorter intervals than that.
func NewStallDetector(threshold time.Duration) *StallDetector {
	start := time.Now()
	return newStallDetector(threshold, bootNanos, func() int64 { return int64(time.Since(start)) })
}

func newStallDetector(threshold time.Duration, boot, mono func() int64) *StallDetector {
	s := &StallDetector{threshold: threshold, boot: boot, mono: mono}
	now := boot()
	s.lastCheck.Store(now)
	s.suspended.Store(now - mono())
	return s
}

// Check returns the time since the previous check if it reaches the threshold, else how long the host
// was suspended meanwhile if that is noticeable, and 0 otherwise.
func (s *StallDetector) Check() time.Duration {
	now := s.boot()
	suspension := s.newSuspension(now - s.mono()) // a pause between the readings makes it shorter
	if gap := time.Duration(now - s.lastCheck.Swap(now)); gap >= s.threshold {
		return gap
	}
	if suspension < minSuspension {
		return 0
	}
	return suspension
}

// newSuspension returns by how much the lead of the boot clock has grown.
func (s *StallDetector) newSuspension(lead int64) time.Duration {
	before := s.suspended.Load()
	if lead <= before || !s.suspended.CompareAndSwap(before, lead) {
		return 0
	}
	return time.Duration(lead - before)
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
