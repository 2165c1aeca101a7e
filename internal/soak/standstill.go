package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/camphorrack/camphorrack/internal/clock"
)

const (
	// All processes stand still so long after each other: seldom enough for other faults
	// to take effect between.
	leastMoving, mostMoving = 2 * time.Second, 6 * time.Second
	// ownStall is the pause from which the soak's own process counts as having stood
	// still, and ownLook how often that is looked for.
	ownStall = 100 * time.Millisecond
	ownLook  = 20 * time.Millisecond
)

// standstills stops every process at a time, as a machine without processor for them
// does, until the time for faults is over. It draws apart from the other faults, so that a
// seed's other faults stay the same.
func (r *run) standstills(ctx context.Context) {
	x := r.random(2)
	for until := time.Now().Add(r.Duration); ; {
		clock.Sleep(ctx, between(x, leastMoving, mostMoving))
		if time.Now().After(until) || ctx.Err() != nil {
			return
		}
		lasting := between(x, leastLast, mostLast)
		fmt.Fprintf(r.Out, "%s all processes stand still for %s\n", time.Now().Format(time.StampMilli), lasting.Round(time.Millisecond))
		resume := r.pauseAll()
		clock.Sleep(ctx, lasting)
		resume()
	}
}

// pauseAll pauses every process that no other fault has.
func (r *run) pauseAll() (resume func()) {
	var paused []*slot
	for _, p := range append(entries(r), runners(r)...) {
		if p.mu.TryLock() {
			p.Signal(syscall.SIGSTOP)
			paused = append(paused, p)
		}
	}
	return func() {
		for _, p := range paused {
			p.Signal(syscall.SIGCONT)
			p.mu.Unlock()
		}
	}
}

// ownStalls adds up the time in which the soak's own process stood still: an answer that
// it did not look at was not held by an entry.
type ownStalls struct {
	mu    sync.Mutex
	stall *clock.StallDetector
	sum   time.Duration
}

func newOwnStalls() *ownStalls { return &ownStalls{stall: clock.NewStallDetector(ownStall)} }

// total returns the time up to now.
func (o *ownStalls) total() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sum += o.stall.Check()
	return o.sum
}

// watch looks often enough for total to miss nothing, until the context ends.
func (o *ownStalls) watch(ctx context.Context) {
	for ctx.Err() == nil {
		o.total()
		clock.Sleep(ctx, ownLook)
	}
}
