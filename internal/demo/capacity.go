package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
)

// The fleet: its targets differ in speed as machines bought over many years do.
const (
	entryCount = 2
	slots      = 8 // of each target
)

var speeds = []float64{3, 2, 1, 1}

// capacity is the seconds of work at speed 1 that the targets do in a second.
func capacity() float64 {
	sum := 0.0
	for _, speed := range speeds {
		sum += slots * speed
	}
	return sum
}

func fastest() float64 {
	best := 0.0
	for _, speed := range speeds {
		best = max(best, speed)
	}
	return best
}

const (
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
)

var errNotReady = errors.New("the targets did not become known to every entry in time")

// awaitTargets waits until every entry may use every target.
func awaitTargets(ctx context.Context, entries []string, targets int) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, errNotReady)
	defer cancel()
	for _, entry := range entries {
		c, err := client.New(client.Options{Entries: []string{entry}})
		if err != nil {
			return err
		}
		for usable(ctx, c) < targets {
			select {
			case <-ctx.Done():
				return errors.Wrap(context.Cause(ctx), entry)
			case <-time.After(readyPoll):
			}
		}
		c.Close()
	}
	return nil
}

// usable counts the targets that the entry can use now.
func usable(ctx context.Context, c *client.Client) int {
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
