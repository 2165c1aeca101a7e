package clock

import "time"

const (
	// starvedWindow is the time over which short pauses are added up: what a caller waits
	// for an answer, and twice the silence that ends a session.
	starvedWindow = 2 * time.Second
	// starvedLimit is the sum that counts: half of what a session may be silent.
	starvedLimit = 500 * time.Millisecond
	// starvedNoise is the lateness that a busy host gives to any turn.
	starvedNoise = 20 * time.Millisecond
)

// StarvationDetector notices a process that is short of processor time: pauses that are each too
// short for Stall come in a row. Peers and callers see their sum. It belongs to one
// goroutine.
type StarvationDetector struct {
	pace time.Duration
	last int64 // nanoseconds of the boot clock at the last look
	lost time.Duration
}

// NewStarvationDetector returns a detector that is looked at every pace.
func NewStarvationDetector(pace time.Duration) *StarvationDetector {
	return &StarvationDetector{pace: pace, last: bootNanos()}
}

// Check returns the sum of the pauses of about the last two seconds once it is worth
// telling, and starts anew then; 0 before.
func (s *StarvationDetector) Check() time.Duration { return s.look(bootNanos()) }

func (s *StarvationDetector) look(now int64) time.Duration {
	gap := time.Duration(now - s.last)
	s.last = now
	s.lost -= s.lost * min(gap, starvedWindow) / starvedWindow // what is older weighs less
	if late := gap - s.pace; late > starvedNoise {
		s.lost += late
	}
	if s.lost < starvedLimit {
		return 0
	}
	lost := s.lost
	s.lost = 0
	return lost
}
