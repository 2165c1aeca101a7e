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
	"github.com/camphorrack/camphorrack/internal/watchdog"
)

// maxReplyBytes limits the size of a reply; a larger one counts as a failed call.
const maxReplyBytes = 64 << 20

// errReplyTooLarge is returned for a reply larger than maxReplyBytes.
var errReplyTooLarge = errors.New("the reply is too large")

// call is one HTTP request to one entry.
type call struct {
	method, path string
	wait         time.Duration // how long the entry may wait for the answer before it replies; 0: not at all
	acceptsWait  bool          // whether the path accepts the query parameter wait_ms
	body         []byte
}

// reply is a complete HTTP response of an entry.
type reply struct {
	status int
	body   []byte
}

// send sends the call to one entry and reads the reply. The error is a *TransportError.
func (c *Client) send(ctx context.Context, entry string, k call) (*reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := watchdog.NewWatchdog(k.wait+c.options.CallTimeout, cancel)
	defer watch.Stop()
	requestURL := url.URL{Scheme: "http", Host: entry, Path: k.path}
	if k.acceptsWait {
		requestURL.RawQuery = "wait_ms=" + strconv.FormatInt(k.wait.Milliseconds(), 10)
	}
	request, err := http.NewRequestWithContext(ctx, k.method, requestURL.String(), bytes.NewReader(k.body))
	if err != nil {
		return nil, &TransportError{Entry: entry, Cause: err}
	}
	if k.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, newTransportError(ctx, entry, err)
	}
	defer response.Body.Close()
	return readReply(ctx, entry, response)
}

// newTransportError returns the error of a call without a complete reply. Its cause is
// watchdog.ErrSilent if the watchdog cancelled the call.
func newTransportError(ctx context.Context, entry string, err error) *TransportError {
	if errors.Is(context.Cause(ctx), watchdog.ErrSilent) {
		err = watchdog.ErrSilent
	}
	return &TransportError{Entry: entry, Cause: err}
}

// readReply reads the body of a response. The error is a *TransportError.
func readReply(ctx context.Context, entry string, response *http.Response) (*reply, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, newTransportError(ctx, entry, err)
	}
	if len(body) > maxReplyBytes {
		return nil, &TransportError{Entry: entry, Cause: errReplyTooLarge}
	}
	return &reply{status: response.StatusCode, body: body}, nil
}

// isSuccess reports whether the HTTP status is 2xx.
func (r *reply) isSuccess() bool { return r.status >= 200 && r.status < 300 }

// parseFault returns the fault in an unsuccessful reply, or one of code Undecided if the body
// contains none.
func (r *reply) parseFault() *fault.Fault {
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

// sendWithRetry sends the call to one entry after the other until one serves it, and starts over
// with a back-off until Options.RetryTimeout is over. The error is the last *TransportError.
func (c *Client) sendWithRetry(ctx context.Context, k call) (*reply, error) {
	deadline := time.Now().Add(c.options.RetryTimeout)
	backOff := newBackOff()
	for {
		r, err := c.tryEntries(ctx, k)
		if err == nil && !r.isEntryUnavailable() || ctx.Err() != nil || time.Now().After(deadline) {
			return r, err
		}
		sleep(ctx, backOff.NextBackOff())
	}
}

// tryEntries sends the call to one entry after the other, to each at most once, until one serves
// it.
func (c *Client) tryEntries(ctx context.Context, k call) (last *reply, err error) {
	for range c.options.Entries {
		index, entry := c.currentEntry()
		last, err = c.send(ctx, entry, k)
		if err == nil && !last.isEntryUnavailable() || ctx.Err() != nil {
			break
		}
		c.advanceFrom(index)
	}
	return last, err
}

// isEntryUnavailable reports whether the entry accepts no work, while another one may.
func (r *reply) isEntryUnavailable() bool {
	if r.status != http.StatusServiceUnavailable {
		return false
	}
	code := r.parseFault().Code
	return code == fault.Draining || code == fault.NoConfiguration
}

// callJSON calls a path that does not wait for an answer and decodes the reply into v, unless v
// is nil.
func (c *Client) callJSON(ctx context.Context, method, path string, body []byte, v any) error {
	r, err := c.sendWithRetry(ctx, call{method: method, path: path, body: body})
	if err != nil {
		return err
	}
	if !r.isSuccess() {
		return r.parseFault()
	}
	if v == nil {
		return nil
	}
	if err := json.Unmarshal(r.body, v); err != nil {
		return errors.Wrapf(err, "reply to %s %s", method, path)
	}
	return nil
}
