package client

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// Delays between attempts after a failed call. The initial one is short because the next
// attempt uses another entry. The maximum limits the load on entries that start again after
// all entries have failed.
const (
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 500 * time.Millisecond
)

// body is the JSON body of a submission.
type body struct {
	ID string `json:"id"`
	*job.Submission
}

// poller sends or looks up one submission until its answer is final.
type poller struct {
	client *Client
	id     string
	path   string
	body   []byte // nil: the submission is only looked up
	// accepted is set when an entry replies that the job is pending, and reset by a transport
	// error. While it is set, the job is looked up and the body is not sent again.
	accepted bool
	backOff  *backoff.ExponentialBackOff
	lastErr  error
}

// Submit sends a submission with the id and waits for its final answer, which is complete,
// failed or refused. If a call fails, it sends the submission again with the same id through
// another entry. The error is a *fault.Fault if an entry rejected the request itself, an
// *UndecidedError if ctx ended first, or a *MismatchedAnswerError.
func (c *Client) Submit(ctx context.Context, id string, s *job.Submission) (*job.Answer, error) {
	encoded, err := json.Marshal(body{ID: id, Submission: s})
	if err != nil {
		return nil, errors.Wrap(err, "encode submission")
	}
	path := "/v1/jobs"
	if s.Single {
		path = "/v1/requests"
	}
	return newPoller(c, id, path, encoded).run(ctx)
}

// Await waits for the final answer to a submission that was sent before. The errors are those of
// Submit; a *fault.Fault of code NotFound means that the owner has not accepted the id.
func (c *Client) Await(ctx context.Context, id string) (*job.Answer, error) {
	return newPoller(c, id, "", nil).run(ctx)
}

// Lookup returns the current answer to a submission without waiting; its state may be
// job.Pending. Errors are those of Await.
func (c *Client) Lookup(ctx context.Context, id string) (*job.Answer, error) {
	r, err := c.sendWithRetry(ctx, call{method: http.MethodGet, path: jobPath(id), acceptsWait: true})
	if err != nil {
		return nil, &UndecidedError{ID: id, LastErr: err}
	}
	return r.parseAnswer(id)
}

func jobPath(id string) string { return "/v1/jobs/" + id }

func newPoller(c *Client, id, path string, encoded []byte) *poller {
	return &poller{client: c, id: id, path: path, body: encoded, backOff: newBackOff()}
}

func newBackOff() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(initialRetryDelay),
		backoff.WithMaxInterval(maxRetryDelay),
		backoff.WithMaxElapsedTime(0),
	)
}

// run makes calls until there is a final answer, an error ends the polling, or ctx ends, which
// gives an *UndecidedError.
func (p *poller) run(ctx context.Context) (*job.Answer, error) {
	for ctx.Err() == nil {
		answer, delay, err := p.attempt(ctx)
		if err != nil {
			return nil, err
		}
		if answer != nil {
			return answer, nil
		}
		sleep(ctx, delay)
	}
	return nil, &UndecidedError{ID: p.id, LastErr: p.lastErr}
}

// attempt makes one call. It returns a final answer, an error that ends the polling, or the
// delay before the next call.
func (p *poller) attempt(ctx context.Context) (*job.Answer, time.Duration, error) {
	index, r, err := p.client.sendHedged(ctx, p.nextCall())
	if err != nil {
		p.lastErr = err
		p.accepted = false
		if ctx.Err() == nil {
			p.client.advanceFrom(index)
		}
		return nil, p.backOff.NextBackOff(), nil
	}
	answer, err := r.parseAnswer(p.id)
	if err != nil {
		return p.handleFault(index, err)
	}
	p.lastErr = nil
	p.backOff.Reset()
	if !answer.Final() {
		p.accepted = true
		return nil, 0, nil
	}
	return answer, 0, nil
}

// nextCall returns the call that sends the submission, or the one that looks it up.
func (p *poller) nextCall() call {
	wait := p.client.options.LongPollTimeout
	if p.body == nil || p.accepted {
		return call{method: http.MethodGet, path: jobPath(p.id), wait: wait, acceptsWait: true}
	}
	return call{method: http.MethodPost, path: p.path, wait: wait, acceptsWait: true, body: p.body}
}

// handleFault returns err unless it leaves the outcome undecided; an error ends the polling. After an
// undecided outcome it returns the delay before the next call, which goes to the next entry. The delay
// is that of the fault if it has one.
func (p *poller) handleFault(index uint32, err error) (*job.Answer, time.Duration, error) {
	if !errors.Is(err, &fault.Fault{Code: fault.Undecided}) && !errors.Is(err, &fault.Fault{Code: fault.BodyIncomplete}) {
		return nil, 0, err
	}
	p.lastErr = err
	p.client.advanceFrom(index)
	delay := p.backOff.NextBackOff()
	if retryAfter := time.Duration(FaultOf(err).RetryAfterMs) * time.Millisecond; retryAfter > 0 {
		delay = retryAfter
	}
	return nil, delay, nil
}

// parseAnswer decodes the answer to the id. The error is the *fault.Fault of a reply without an
// answer, or a *MismatchedAnswerError.
func (r *reply) parseAnswer(id string) (*job.Answer, error) {
	var answer job.Answer
	if err := json.Unmarshal(r.body, &answer); err != nil || answer.State == "" {
		return nil, r.parseFault()
	}
	if answer.ID != "" && answer.ID != id {
		return nil, &MismatchedAnswerError{RequestedID: id, ReceivedID: answer.ID}
	}
	answer.ID = id
	return &answer, nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
