package clock

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep blocks for the given duration, or until the context is done.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Jitter returns a random time with the given mean, half of it at the least, so that processes that
// started together don't act together.
func Jitter(mean time.Duration) time.Duration { return mean/2 + rand.N(mean) }

// Millis converts a duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMillis converts milliseconds to a duration.
func FromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
