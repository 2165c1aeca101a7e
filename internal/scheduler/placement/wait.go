package placement

import "time"

// waitMemory is over how many credits the mean gap forgets. A target of 8 slots
// turns over its slots once in that many.
const waitMemory = 8

// CreditInterval learns how often credits come from one target while it is busy. The
// zero value knows nothing.
type CreditInterval struct {
	last   time.Time
	meanMs float64
}

// ObserveGrant notes that n credits came.
func (g *CreditInterval) ObserveGrant(n int, now time.Time) {
	if n <= 0 {
		return
	}
	if !g.last.IsZero() {
		gap := float64(now.Sub(g.last)) / float64(time.Millisecond) / float64(n)
		if g.meanMs == 0 {
			g.meanMs = gap
		}
		g.meanMs += (gap - g.meanMs) / waitMemory
	}
	g.last = now
}

// WaitMs returns the expected time until the next credit; 0 means unknown. A
// target that is silent for longer than usual counts as slower and slower, so
// that nothing is held back for one that has stopped.
func (g *CreditInterval) WaitMs(now time.Time) float64 {
	if g.meanMs == 0 {
		return 0
	}
	since := float64(now.Sub(g.last)) / float64(time.Millisecond)
	return max(g.meanMs, since)
}
