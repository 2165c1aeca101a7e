package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorrack/camphorrack/internal/localfleet"
)

// Simultaneous pauses of many processes, as on a host that gives them no processor time. Either
// all processes pause once, from well below to well above the silence timeout of a session, or
// random halves of them pause several times in a row, each pause too short to be detected alone.
const (
	minPauseAllGap = time.Second
	maxPauseAllGap = 5 * time.Second
	minPauseAll    = 500 * time.Millisecond
	maxPauseAll    = 4 * time.Second

	minShortPauses = 2
	maxShortPauses = 6
	minShortPause  = 100 * time.Millisecond
	maxShortPause  = 350 * time.Millisecond
	shortPauseGap  = 20 * time.Millisecond
)

// pauseLoop injects pauses until the context ends. Which processes pause, when and for how long
// is drawn only from random.
func (c *chaos) pauseLoop(until context.Context, random *rand.Rand) {
	for until.Err() == nil {
		sleep(until, randomDuration(random, minPauseAllGap, maxPauseAllGap))
		if random.IntN(2) == 0 {
			c.pauseAll(randomDuration(random, minPauseAll, maxPauseAll))
			c.countInjection("all stood still")
			continue
		}
		for range minShortPauses + random.IntN(maxShortPauses-minShortPauses+1) {
			c.pauseHalf(random)
			sleep(c.ctx, shortPauseGap)
		}
		c.countInjection("half stood still in a row")
	}
}

// pauseAll pauses all processes of the fleet together.
func (c *chaos) pauseAll(duration time.Duration) {
	resume := c.run.deployment.fleet.PauseAll()
	sleep(c.ctx, duration)
	resume()
}

// pauseHalf pauses a random half of the running processes for a short time.
func (c *chaos) pauseHalf(random *rand.Rand) {
	processes := c.run.deployment.runningProcesses()
	random.Shuffle(len(processes), func(i, j int) { processes[i], processes[j] = processes[j], processes[i] })
	half := processes[:len(processes)/2]
	duration := randomDuration(random, minShortPause, maxShortPause)
	for _, p := range half {
		p.Pause()
	}
	sleep(c.ctx, duration)
	for _, p := range half {
		p.Resume()
	}
}

// runningProcesses returns the processes of the fleet that have not exited.
func (s *deployment) runningProcesses() []*localfleet.Process {
	var all []*localfleet.Process
	for _, p := range s.fleet.Processes() {
		if !p.Exited() {
			all = append(all, p)
		}
	}
	return all
}

// withRunningTimeout returns a context that ends with DeadlineExceeded as its cause after limit,
// not counting the time in which the whole fleet was paused.
func (s *deployment) withRunningTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.fleet.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
