package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/config"
)

// Config returns the configuration in force at the daemon.
func (c *Client) Config(ctx context.Context) (*config.State, error) {
	page, err := c.page(ctx, http.MethodGet, config.Path)
	if err != nil {
		return nil, err
	}
	var body config.Report
	if err := json.Unmarshal(page, &body); err != nil {
		return nil, errors.Wrap(err, "reply to "+config.Path)
	}
	if body.State == nil {
		return nil, errors.Newf("reply to %s holds no configuration", config.Path)
	}
	return body.State, nil
}
