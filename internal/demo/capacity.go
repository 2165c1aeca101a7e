package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
)

// Size of the fleet. Its targets differ in speed, as machines bought over many years do.
const (
	entryCount     = 2
	slotsPerTarget = 8
)

var targetSpeeds = []float64{3, 2, 1, 1}

// capacity returns the total throughput of the targets, in seconds of work at speed 1 per
// second.
func capacity() float64 {
	sum := 0.0
	for _, speed := range targetSpeeds {
		sum += slotsPerTarget * speed
	}
	return sum
}

func fastestSpeed() float64 {
	best := 0.0
	for _, speed := range targetSpeeds {
		best = max(best, speed)
	}
	return best
}

const (
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

var errNotReady = errors.New("not every entry reported all targets as usable in time")

// awaitTargets waits until the given number of targets is available at every entry. It returns
// errNotReady after readyTimeout.
func awaitTargets(ctx context.Context, entries []string, targets int) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, errNotReady)
	defer cancel()
	for _, entry := range entries {
		c, err := client.New(client.Options{Entries: []string{entry}})
		if err != nil {
			return err
		}
		for usableTargets(ctx, c) < targets {
			select {
			case <-ctx.Done():
				return errors.Wrap(context.Cause(ctx), entry)
			case <-time.After(readyPollInterval):
			}
		}
		c.Close()
	}
	return nil
}

// usableTargets returns how many targets an entry can currently send tasks to; 0 if the entry
// does not respond.
func usableTargets(ctx context.Context, c *client.Client) int {
	targets, err := c.Targets(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, t := range targets {
		if t.Connected && !t.Down && !t.Leaving {
			n++
		}
	}
	return n
}
