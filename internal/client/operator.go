package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/owner"
)

// Targets returns the status of the targets that the entry in use knows.
func (c *Client) Targets(ctx context.Context) ([]owner.TargetStatus, error) {
	raw, err := c.callCurrent(ctx, http.MethodGet, "/v1/targets")
	if err != nil {
		return nil, err
	}
	var body struct {
		Targets []owner.TargetStatus `json:"targets"`
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, errors.Wrap(err, "reply to /v1/targets")
	}
	return body.Targets, nil
}

// Status returns the status of the daemon as JSON.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	return c.callCurrent(ctx, http.MethodGet, "/v1/status")
}

// Drain makes one daemon, an entry or an agent, refuse new work, finish its current work and
// exit. It is idempotent.
func (c *Client) Drain(ctx context.Context) (json.RawMessage, error) {
	return c.callCurrent(ctx, http.MethodPost, "/v1/drain")
}

// callCurrent calls the entry in use and no other, because requests of operators concern one
// specific process.
func (c *Client) callCurrent(ctx context.Context, method, path string) (json.RawMessage, error) {
	_, entry := c.currentEntry()
	r, err := c.send(ctx, entry, call{method: method, path: path})
	if err != nil {
		return nil, err
	}
	if !r.isSuccess() {
		return nil, r.parseFault()
	}
	return r.body, nil
}
