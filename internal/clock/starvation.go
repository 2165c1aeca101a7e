package clock

import "time"

const (
	// starvationWindow is the time constant of the decaying sum of short pauses. It is as
	// long as a caller waits for an answer, and twice the silence that ends a session.
	starvationWindow = 2 * time.Second
	// starvationThreshold is the sum of pauses that is reported: half of the silence that
	// ends a session.
	starvationThreshold = 500 * time.Millisecond
	// latenessTolerance is the scheduling delay that is normal on a busy host. Delays up
	// to it are not counted.
	latenessTolerance = 20 * time.Millisecond
)

// StarvationDetector detects that the process is short of processor time: pauses that are
// each below StallThreshold, but whose sum peers and callers notice. It is not safe for
// concurrent use.
type StarvationDetector struct {
	interval  time.Duration
	lastCheck int64 // boot clock at the last check, in nanoseconds
	pauses    time.Duration
}

// NewStarvationDetector returns a detector whose Check is called at the given interval.
func NewStarvationDetector(interval time.Duration) *StarvationDetector {
	return &StarvationDetector{interval: interval, lastCheck: bootNanos()}
}

// Check returns the sum of the pauses within about the last two seconds and resets it, once
// the sum reaches starvationThreshold. Otherwise it returns 0.
func (s *StarvationDetector) Check() time.Duration { return s.check(bootNanos()) }

func (s *StarvationDetector) check(now int64) time.Duration {
	gap := time.Duration(now - s.lastCheck)
	s.lastCheck = now
	s.pauses -= s.pauses * min(gap, starvationWindow) / starvationWindow // decays older pauses
	if late := gap - s.interval; late > latenessTolerance {
		s.pauses += late
	}
	if s.pauses < starvationThreshold {
		return 0
	}
	lost := s.pauses
	s.pauses = 0
	return lost
}
