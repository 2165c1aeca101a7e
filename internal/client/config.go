package client

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/config"
)

// Config returns the configuration in force at the daemon.
func (c *Client) Config(ctx context.Context) (*config.State, error) {
	return c.config(ctx, http.MethodGet, config.Path)
}

// RefreshConfig has an entry read the log now and returns what is in force there
// once the version is, or after a while.
func (c *Client) RefreshConfig(ctx context.Context, version uint64) (*config.State, error) {
	return c.config(ctx, http.MethodPost, config.Path+"/"+strconv.FormatUint(version, 10))
}

func (c *Client) config(ctx context.Context, method, path string) (*config.State, error) {
	page, err := c.page(ctx, method, path)
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
