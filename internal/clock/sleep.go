package clock

import (
	"context"
	"time"
)

// Sleep waits, or returns when the context ends.
func Sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMillis returns a duration from milliseconds.
func FromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
