package placement

import "time"

// intervalWindow is the number of grants over which the interval is averaged (exponential
// moving average). A target with 8 slots reuses each slot once in that many.
const intervalWindow = 8

// CreditInterval estimates the interval between the credits that a busy target grants, in
// order to predict the wait for the next one. The zero value has no estimate.
type CreditInterval struct {
	lastGrant time.Time
	meanMs    float64
}

// ObserveGrant records that the target granted n credits.
func (g *CreditInterval) ObserveGrant(n int, now time.Time) {
	if n <= 0 {
		return
	}
	if !g.lastGrant.IsZero() {
		intervalMs := float64(now.Sub(g.lastGrant)) / float64(time.Millisecond) / float64(n)
		if g.meanMs == 0 {
			g.meanMs = intervalMs
		}
		g.meanMs += (intervalMs - g.meanMs) / intervalWindow
	}
	g.lastGrant = now
}

// WaitMs returns the expected time until the next credit; 0 means unknown. Once the time
// since the last grant exceeds the mean interval it is returned instead, so that no task
// is held for a target that has stopped granting credits.
func (g *CreditInterval) WaitMs(now time.Time) float64 {
	if g.meanMs == 0 {
		return 0
	}
	sinceMs := float64(now.Sub(g.lastGrant)) / float64(time.Millisecond)
	return max(g.meanMs, sinceMs)
}
