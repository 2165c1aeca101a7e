package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/standin/target"
)

// fastestTarget is the index of the fastest target, whose failure costs the most capacity.
const fastestTarget = targetCount - 1

// setMode returns a step action that sets the mode of a target.
func setMode(index int, mode target.Mode) func(context.Context, *loadGenerator) error {
	return func(ctx context.Context, c *loadGenerator) error {
		body, err := json.Marshal(target.Behaviour{Mode: mode, Factor: slowTargetFactor})
		if err != nil {
			return err
		}
		url := "http://" + c.fleet.targets[index].Addr + "/mode"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return errors.Wrap(err, "set the target's mode")
		}
		return response.Body.Close()
	}
}

// drainHalf starts a graceful shutdown of every other target. The fastest one stays, because
// the ideal response time depends on it.
func drainHalf(_ context.Context, c *loadGenerator) error {
	for i := 0; i < targetCount; i += 2 {
		if err := c.fleet.targets[i].Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	return nil
}

// cancelHalf cancels every other pending job.
func cancelHalf(ctx context.Context, c *loadGenerator) error {
	var ids []string
	for i, s := range c.pending() {
		if i%2 == 0 {
			s.cancelled.Store(true)
			ids = append(ids, s.id)
		}
	}
	_, err := c.clients[0].Cancel(ctx, ids)
	return err
}

// killEntry kills the first entry.
func killEntry(ctx context.Context, c *loadGenerator) error { return c.fleet.killEntry(ctx, 0) }

// startEntry restarts the killed entry at its previous address.
func startEntry(ctx context.Context, c *loadGenerator) error {
	return c.fleet.startEntry(ctx, 0, c.fleet.entries[0].Addr)
}
