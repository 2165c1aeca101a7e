// Package clock provides monotonic time sources that tests can replace by a fake, and
// detectors of pauses in the execution of the process.
package clock

import (
	"sync"
	"time"
)

// Clock is a source of the current time.
type Clock interface {
	// Now returns the current time; successive calls never go backwards.
	Now() time.Time
}

// Anchored reads the wall clock once, on creation, and advances it by a monotonic clock
// from then on. Otherwise a backward step of the host's clock, such as a manual
// correction or a faulty leap smear, would turn expired deadlines into future ones and
// permit the start of work that was already abandoned.
type Anchored struct {
	start   time.Time // without a monotonic reading
	elapsed func() time.Duration
}

// NewAnchored returns a clock anchored at the host's current time. It does not advance
// while the host is suspended.
func NewAnchored() *Anchored {
	start := time.Now()
	return anchored(start, func() time.Duration { return time.Since(start) })
}

// NewAnchoredThroughSuspend returns a clock that also advances while the host is
// suspended. Use it for times that other processes rely on. Each reading costs a system
// call.
func NewAnchoredThroughSuspend() *Anchored { return throughSuspend(bootNanos) }

func throughSuspend(nanos func() int64) *Anchored {
	start := nanos()
	return anchored(time.Now(), func() time.Duration { return time.Duration(nanos() - start) })
}

func anchored(start time.Time, elapsed func() time.Duration) *Anchored {
	return &Anchored{start: start.Round(0), elapsed: elapsed}
}

// Now returns the anchored wall-clock time.
func (a *Anchored) Now() time.Time { return a.start.Add(a.elapsed()) }

// Fake is a clock for tests that advances only by Advance. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock set to start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the current fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance adds d to the fake time.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
