package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// quotaPeriod is the period in which a throttled process gets its share of a processor, and
	// minQuota and maxQuota bound how long it runs in each.
	quotaPeriod        = 100 * time.Millisecond
	minQuota, maxQuota = 3 * time.Millisecond, 40 * time.Millisecond
	// Bounds of short pauses, which a process doesn't notice as a stall, and of the gaps between them.
	minShortPause, maxShortPause = 30 * time.Millisecond, 370 * time.Millisecond
	minPauseGap, maxPauseGap     = 2 * time.Millisecond, 200 * time.Millisecond
)

// alternate pauses a process and lets it run in turns, for times that next returns, until stop is
// closed. Then the process runs.
func alternate(p *lockableProcess, stop <-chan struct{}, next func() (paused, runs time.Duration)) {
	defer p.Signal(syscall.SIGCONT)
	for {
		paused, runs := next()
		p.Signal(syscall.SIGSTOP)
		if !sleepUnless(stop, paused) {
			return
		}
		p.Signal(syscall.SIGCONT)
		if !sleepUnless(stop, runs) {
			return
		}
	}
}

// sleepUnless reports whether the time has passed without stop being closed.
func sleepUnless(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// quota returns the turns of a process that gets the same time in each quotaPeriod.
func quota(runs time.Duration) func() (time.Duration, time.Duration) {
	return func() (time.Duration, time.Duration) { return quotaPeriod - runs, runs }
}

// shortPauses returns turns with pauses below the stall threshold.
func shortPauses(rnd *rand.Rand) func() (time.Duration, time.Duration) {
	return func() (time.Duration, time.Duration) {
		return between(rnd, minShortPause, maxShortPause), between(rnd, minPauseGap, maxPauseGap)
	}
}

// alternateAll alternates processes, whose locks the caller holds, and returns the function that ends
// this and releases the locks.
func alternateAll(processes []*lockableProcess, turns func(i int) func() (time.Duration, time.Duration)) func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, p := range processes {
		next := turns(i)
		wg.Go(func() { alternate(p, stop, next) })
	}
	return func() {
		close(stop)
		wg.Wait()
		for _, p := range processes {
			p.mu.Unlock()
		}
	}
}

func (r *run) throttleProcess(p *lockableProcess, rnd *rand.Rand, _ time.Duration) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		alternate(p, stop, quota(between(rnd, minQuota, maxQuota)))
	}()
	return func() {
		close(stop)
		<-done
	}
}

// lockSome locks each process that no other fault has, with the given probability.
func lockSome(rnd *rand.Rand, processes []*lockableProcess, probability float64) (locked []*lockableProcess) {
	for _, p := range processes {
		if rnd.Float64() < probability && p.mu.TryLock() {
			locked = append(locked, p)
		}
	}
	return locked
}

// throttleMany throttles half of all processes, or half of the entries or of the runners.
func throttleMany(r *run, rnd *rand.Rand, _ time.Duration) func() {
	processes := pick(rnd, [][]*lockableProcess{entryProcesses(r), runnerProcesses(r), append(entryProcesses(r), runnerProcesses(r)...)})
	runs := between(rnd, minQuota, maxQuota)
	return alternateAll(lockSome(rnd, processes, 0.5), func(int) func() (time.Duration, time.Duration) { return quota(runs) })
}

// pauseMany pauses some processes for short times, in series that overlap.
func pauseMany(r *run, rnd *rand.Rand, _ time.Duration) func() {
	processes := lockSome(rnd, append(entryProcesses(r), runnerProcesses(r)...), 0.5)
	return alternateAll(processes, func(int) func() (time.Duration, time.Duration) {
		return shortPauses(rand.New(rand.NewPCG(rnd.Uint64(), 0)))
	})
}
