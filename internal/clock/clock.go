// Package clock hands the time to code that decides by it, so that tests can
// hold the time still and processes never see it run backwards.
package clock

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the current time; successive calls never go backwards.
	Now() time.Time
}

// Anchored is a wall clock read once, at the start of the process, and moved on
// by the monotonic clock from then on. A step of the host's clock (an operator's
// correction, a leap smear gone wrong) would otherwise bring back deadlines that
// were past, and with them permission to start work that was already given up.
type Anchored struct {
	start   time.Time // without a monotonic reading
	elapsed func() time.Duration
}

// NewAnchored anchors a clock at the host's current time. It stands still while the
// host is suspended.
func NewAnchored() *Anchored {
	start := time.Now()
	return anchored(start, func() time.Duration { return time.Since(start) })
}

// NewAnchoredThroughSuspend is NewAnchored for a clock that others rely on: it counts
// the time in which the host is suspended. A reading is a system call.
func NewAnchoredThroughSuspend() *Anchored { return throughSuspend(bootNanos) }

func throughSuspend(nanos func() int64) *Anchored {
	start := nanos()
	return anchored(time.Now(), func() time.Duration { return time.Duration(nanos() - start) })
}

func anchored(start time.Time, elapsed func() time.Duration) *Anchored {
	return &Anchored{start: start.Round(0), elapsed: elapsed}
}

// Now returns the anchored wall time.
func (a *Anchored) Now() time.Time { return a.start.Add(a.elapsed()) }

// Fake is a clock that moves only when told to. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock that reads start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the fake time forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
