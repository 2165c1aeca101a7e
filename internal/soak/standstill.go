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
	// Bounds of the intervals between suspensions of all processes, long enough for other faults
	// to take effect between them.
	minRunTime, maxRunTime = 2 * time.Second, 6 * time.Second
	// selfStallThreshold is the shortest pause of the soak's own process that counts as a stall,
	// and selfStallCheckInterval the interval of the checks for one.
	selfStallThreshold     = 100 * time.Millisecond
	selfStallCheckInterval = 20 * time.Millisecond
)

// suspendPeriodically suspends all processes together from time to time, as a machine that is out
// of processor time does, until r.Duration has passed. It has a random generator of its own, so
// that it doesn't change the other faults of a seed.
func (r *run) suspendPeriodically(ctx context.Context) {
	rnd := r.newRand(2)
	for deadline := time.Now().Add(r.Duration); ; {
		clock.Sleep(ctx, between(rnd, minRunTime, maxRunTime))
		if time.Now().After(deadline) || ctx.Err() != nil {
			return
		}
		duration := between(rnd, minFaultDuration, maxFaultDuration)
		fmt.Fprintf(r.Out, "%s all processes stand still for %s\n", time.Now().Format(time.StampMilli), duration.Round(time.Millisecond))
		resume := r.pauseAll()
		clock.Sleep(ctx, duration)
		resume()
	}
}

// pauseAll pauses every process that no other fault has, and returns the function that resumes
// them.
func (r *run) pauseAll() (resume func()) {
	var paused []*lockableProcess
	for _, p := range append(entryProcesses(r), runnerProcesses(r)...) {
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

// selfStallCounter adds up the time in which the soak's own process was stalled. An answer that
// it couldn't read in that time was not held by an entry. It is safe for concurrent use.
type selfStallCounter struct {
	mu    sync.Mutex
	stall *clock.StallDetector
	sum   time.Duration
}

func newSelfStallCounter() *selfStallCounter {
	return &selfStallCounter{stall: clock.NewStallDetector(selfStallThreshold)}
}

// total returns the stalled time up to now.
func (c *selfStallCounter) total() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum += c.stall.Check()
	return c.sum
}

// watch calls total often enough to miss no stall, until the context ends.
func (c *selfStallCounter) watch(ctx context.Context) {
	for ctx.Err() == nil {
		c.total()
		clock.Sleep(ctx, selfStallCheckInterval)
	}
}
