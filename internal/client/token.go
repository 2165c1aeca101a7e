package client

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Token asks an entry for a token. It may be used for any number of ids, until
// the entry that gave it ends.
func (c *Client) Token(ctx context.Context) (string, error) {
	var answer struct {
		Token string `json:"token"`
	}
	if err := c.get(ctx, http.MethodGet, "/v1/token", nil, &answer); err != nil {
		return "", err
	}
	return answer.Token, nil
}

// NewID makes the id of a submission. The deadline counts in milliseconds;
// unique takes 1 to 64 of A-Z a-z 0-9 _ - . and must differ for each submission
// made from the token.
func NewID(token string, deadline time.Time, unique string) string {
	return token + "-" + strconv.FormatInt(deadline.UnixMilli(), 10) + "-" + unique
}
