package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/owner"
)

// Targets returns what the entry knows of its targets.
func (c *Client) Targets(ctx context.Context) ([]owner.TargetStatus, error) {
	page, err := c.page(ctx, http.MethodGet, "/v1/targets")
	if err != nil {
		return nil, err
	}
	var body struct {
		Targets []owner.TargetStatus `json:"targets"`
	}
	if err := json.Unmarshal(page, &body); err != nil {
		return nil, errors.Wrap(err, "reply to /v1/targets")
	}
	return body.Targets, nil
}

// Status returns how the entry stands.
func (c *Client) Status(ctx context.Context) (json.RawMessage, error) {
	return c.page(ctx, http.MethodGet, "/v1/status")
}

// Drain asks one daemon, an entry or an agent, to take no new work, to finish
// what it has and to end. Asking again is harmless.
func (c *Client) Drain(ctx context.Context) (json.RawMessage, error) {
	return c.page(ctx, http.MethodPost, "/v1/drain")
}

// page calls the entry in use and no other: what an operator reads or orders is
// about one process.
func (c *Client) page(ctx context.Context, method, path string) (json.RawMessage, error) {
	_, entry := c.entry()
	r, err := c.send(ctx, entry, call{method: method, path: path})
	if err != nil {
		return nil, err
	}
	if !r.ok() {
		return nil, r.fault()
	}
	return r.body, nil
}
