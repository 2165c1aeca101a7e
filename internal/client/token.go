package client

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// Token gets a token from an entry. It is valid for any number of ids until that entry's process
// ends.
func (c *Client) Token(ctx context.Context) (string, error) {
	var answer struct {
		Token string `json:"token"`
	}
	if err := c.callJSON(ctx, http.MethodGet, "/v1/token", nil, &answer); err != nil {
		return "", err
	}
	return answer.Token, nil
}

// NewID returns the id of a submission. The deadline is encoded in milliseconds; unique consists
// of 1 to 64 characters of A-Z a-z 0-9 _ - . and must differ for each submission with the same
// token.
func NewID(token string, deadline time.Time, unique string) string {
	return token + "-" + strconv.FormatInt(deadline.UnixMilli(), 10) + "-" + unique
}
