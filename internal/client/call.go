package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/silence"
)

// maxReplyBytes caps a reply; a larger one counts as lost.
const maxReplyBytes = 64 << 20

// errReplyTooLarge is a reply beyond maxReplyBytes.
var errReplyTooLarge = errors.New("the reply is too large")

// call is one HTTP request to one entry.
type call struct {
	method, path string
	wait         time.Duration // how long the entry may hold the answer back; 0: not at all
	waits        bool          // whether the path takes wait_ms
	body         []byte
}

// reply is what came back, whole.
type reply struct {
	status int
	body   []byte
}

// send sends the call to one entry. The error is a *TransportError.
func (c *Client) send(ctx context.Context, entry string, k call) (*reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := silence.NewWatchdog(k.wait+c.options.CallTimeout, cancel)
	defer watch.Stop()
	target := url.URL{Scheme: "http", Host: entry, Path: k.path}
	if k.waits {
		target.RawQuery = "wait_ms=" + strconv.FormatInt(k.wait.Milliseconds(), 10)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, target.String(), bytes.NewReader(k.body))
	if err != nil {
		return nil, &TransportError{Entry: entry, Cause: err}
	}
	if k.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, lost(ctx, entry, err)
	}
	defer response.Body.Close()
	return readReply(ctx, entry, response)
}

// lost returns the error of a call that brought no whole reply.
func lost(ctx context.Context, entry string, err error) *TransportError {
	if errors.Is(context.Cause(ctx), silence.ErrSilent) {
		err = silence.ErrSilent
	}
	return &TransportError{Entry: entry, Cause: err}
}

func readReply(ctx context.Context, entry string, response *http.Response) (*reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, lost(ctx, entry, err)
	}
	if len(body) > maxReplyBytes {
		return nil, &TransportError{Entry: entry, Cause: errReplyTooLarge}
	}
	return &reply{status: response.StatusCode, body: body}, nil
}

// ok reports whether the entry did what was asked.
func (r *reply) ok() bool { return r.status >= 200 && r.status < 300 }

// fault reads the fault of a reply that is not ok.
func (r *reply) fault() *fault.Fault {
	var answer struct {
		Failure *fault.Fault `json:"failure"`
		fault.Fault
	}
	if err := json.Unmarshal(r.body, &answer); err == nil {
		if answer.Failure != nil {
			return answer.Failure
		}
		if answer.Code != 0 {
			return &answer.Fault
		}
	}
	return fault.Newf(fault.Undecided, "HTTP status %d with no fault in it", r.status)
}

// each sends the call to one entry after the other until one serves it, round after
// round for as long as Options.RetryTimeout. The error is the last *TransportError.
func (c *Client) each(ctx context.Context, k call) (*reply, error) {
	until := time.Now().Add(c.options.RetryTimeout)
	pauses := newPauses()
	for {
		r, err := c.round(ctx, k)
		if err == nil && !r.elsewhere() || ctx.Err() != nil || time.Now().After(until) {
			return r, err
		}
		sleep(ctx, pauses.NextBackOff())
	}
}

// round sends the call to each entry once, until one serves it.
func (c *Client) round(ctx context.Context, k call) (last *reply, err error) {
	for range c.options.Entries {
		at, entry := c.entry()
		last, err = c.send(ctx, entry, k)
		if err == nil && !last.elsewhere() || ctx.Err() != nil {
			break
		}
		c.leave(at)
	}
	return last, err
}

// elsewhere reports whether the entry takes no work and another one may.
func (r *reply) elsewhere() bool {
	if r.status != http.StatusServiceUnavailable {
		return false
	}
	code := r.fault().Code
	return code == fault.Draining || code == fault.NoConfiguration
}

// get calls a path that waits for nothing and decodes what it returns into v.
func (c *Client) get(ctx context.Context, method, path string, body []byte, v any) error {
	r, err := c.each(ctx, call{method: method, path: path, body: body})
	if err != nil {
		return err
	}
	if !r.ok() {
		return r.fault()
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return errors.Wrapf(err, "reply to %s %s", method, path)
	}
	return nil
}
