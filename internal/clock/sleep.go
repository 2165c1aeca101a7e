package clock

import (
	"context"
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

// Millis converts a duration to milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMillis converts milliseconds to a duration.
func FromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
