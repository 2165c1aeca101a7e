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

// fastTarget is the index of the fastest target: its failure costs most.
const fastTarget = targetCount - 1

// setMode makes a target behave in another way.
func setMode(index int, mode target.Mode) func(context.Context, *callers) error {
	return func(ctx context.Context, c *callers) error {
		body, err := json.Marshal(target.Behaviour{Mode: mode, Factor: slowFactor})
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

// leaveHalf makes every other target leave; the fastest stays, since it sets the ideal.
func leaveHalf(_ context.Context, c *callers) error {
	for i := 0; i < targetCount; i += 2 {
		if err := c.fleet.targets[i].Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	return nil
}

// cancelHalf cancels every other job that waits for its answer.
func cancelHalf(ctx context.Context, c *callers) error {
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

func killEntry(ctx context.Context, c *callers) error { return c.fleet.killEntry(ctx, 0) }

// startEntry starts the killed entry's successor at its address.
func startEntry(ctx context.Context, c *callers) error {
	return c.fleet.startEntry(ctx, 0, c.fleet.entries[0].Addr)
}
