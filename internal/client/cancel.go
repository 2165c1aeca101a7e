package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// MaxCancelIDs is how many ids one cancel call takes.
const MaxCancelIDs = 500

// Cancelled is what became of the cancelling of one id. Failure is nil where the
// job was told to stop or had ended.
type Cancelled struct {
	ID      string       `json:"id"`
	Failure *fault.Fault `json:"failure,omitempty"`
}

// Cancel cancels submissions, in calls of at most MaxCancelIDs each, and returns
// one result per id that was reached. The answers themselves are learned with
// Await: a job that completes first stays complete. Cancelling again is harmless.
func (c *Client) Cancel(ctx context.Context, ids []string) ([]Cancelled, error) {
	var all []Cancelled
	for len(ids) > 0 {
		wave := ids[:min(len(ids), MaxCancelIDs)]
		ids = ids[len(wave):]
		results, err := c.cancelWave(ctx, wave)
		if err != nil {
			return all, err
		}
		all = append(all, results...)
	}
	return all, nil
}

func (c *Client) cancelWave(ctx context.Context, ids []string) ([]Cancelled, error) {
	request := struct {
		IDs []string `json:"ids"`
	}{ids}
	encoded, err := json.Marshal(request)
	if err != nil {
		return nil, errors.Wrap(err, "encode ids")
	}
	var answer struct {
		Results []Cancelled `json:"results"`
	}
	if err := c.get(ctx, http.MethodPost, "/v1/cancel", encoded, &answer); err != nil {
		return nil, err
	}
	return answer.Results, nil
}
