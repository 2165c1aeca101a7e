package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
)

// MaxCancelIDs is the largest number of ids in one cancel call.
const MaxCancelIDs = 500

// Cancelled is the result of cancelling one id. Failure is nil if the job is being cancelled or
// had already ended.
type Cancelled struct {
	ID      string       `json:"id"`
	Failure *fault.Fault `json:"failure,omitempty"`
}

// Cancel cancels submissions, in calls of at most MaxCancelIDs ids each, and returns one result
// per id. If a call fails, it returns the error and the results of the calls before it. Await
// returns the final answers: a job that completes before it is cancelled stays complete.
// Cancelling is idempotent.
func (c *Client) Cancel(ctx context.Context, ids []string) ([]Cancelled, error) {
	var all []Cancelled
	for len(ids) > 0 {
		batch := ids[:min(len(ids), MaxCancelIDs)]
		ids = ids[len(batch):]
		results, err := c.cancelBatch(ctx, batch)
		if err != nil {
			return all, err
		}
		all = append(all, results...)
	}
	return all, nil
}

// cancelBatch cancels at most MaxCancelIDs submissions in one call.
func (c *Client) cancelBatch(ctx context.Context, ids []string) ([]Cancelled, error) {
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
	if err := c.callJSON(ctx, http.MethodPost, "/v1/cancel", encoded, &answer); err != nil {
		return nil, err
	}
	return answer.Results, nil
}
