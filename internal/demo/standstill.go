package demo

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/camphorrack/camphorrack/internal/localfleet"
)

// Standstills of many processes at once, as a machine under them gives that has no
// processor for them: of all of them, from well below to well above the silence that ends
// a session, or of half of them in rows so short that none of them is told by itself.
const (
	minMoving   = time.Second
	maxMoving   = 5 * time.Second
	minStanding = 500 * time.Millisecond
	maxStanding = 4 * time.Second

	minRow      = 2
	maxRow      = 6
	minRowStand = 100 * time.Millisecond
	maxRowStand = 350 * time.Millisecond
	rowMoving   = 20 * time.Millisecond
)

// standstills injects them until the context ends. Which processes stand still, when and
// for how long is drawn from random alone.
func (c *chaos) standstills(until context.Context, random *rand.Rand) {
	for until.Err() == nil {
		pause(until, between(random, minMoving, maxMoving))
		if random.IntN(2) == 0 {
			c.standAll(between(random, minStanding, maxStanding))
			c.counted("all stood still")
			continue
		}
		for range minRow + random.IntN(maxRow-minRow+1) {
			c.standHalf(random)
			pause(c.ctx, rowMoving)
		}
		c.counted("half stood still in a row")
	}
}

func (c *chaos) standAll(standing time.Duration) {
	resume := c.run.deployment.fleet.PauseAll()
	pause(c.ctx, standing)
	resume()
}

func (c *chaos) standHalf(random *rand.Rand) {
	running := c.run.deployment.running()
	random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	half := running[:len(running)/2]
	standing := between(random, minRowStand, maxRowStand)
	for _, p := range half {
		p.Pause()
	}
	pause(c.ctx, standing)
	for _, p := range half {
		p.Resume()
	}
}

// running returns the processes that have not ended.
func (s *deployment) running() []*localfleet.Process {
	var all []*localfleet.Process
	for _, p := range s.fleet.Processes() {
		if !p.Exited() {
			all = append(all, p)
		}
	}
	return all
}

// within returns a context that ends after so much time in which the fleet was not paused
// as a whole.
func (s *deployment) within(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.fleet.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}
