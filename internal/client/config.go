package client

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/config"
)

// Config returns the configuration in force at the daemon in use.
func (c *Client) Config(ctx context.Context) (*config.State, error) {
	return c.fetchConfig(ctx, http.MethodGet, config.ReportPath)
}

// RefreshConfig makes the entry in use read the log now. It returns the configuration in force
// there once that has reached the version, or an older one after a time limit of the entry.
func (c *Client) RefreshConfig(ctx context.Context, version uint64) (*config.State, error) {
	return c.fetchConfig(ctx, http.MethodPost, config.ReportPath+"/"+strconv.FormatUint(version, 10))
}

// fetchConfig calls a path of the configuration API and decodes the state in the reply.
func (c *Client) fetchConfig(ctx context.Context, method, path string) (*config.State, error) {
	raw, err := c.callCurrent(ctx, method, path)
	if err != nil {
		return nil, err
	}
	var body config.Report
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, errors.Wrap(err, "reply to "+config.ReportPath)
	}
	if body.State == nil {
		return nil, errors.Newf("reply to %s holds no configuration", config.ReportPath)
	}
	return body.State, nil
}
