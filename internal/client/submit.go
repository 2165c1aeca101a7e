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

// Pauses between tries after a lost connection. The first is short because
// another entry is tried at once; the last keeps callers whose entries are all
// gone from pressing on those that come up.
const (
	firstPause = 20 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// body is a submission as the API takes it.
type body struct {
	ID string `json:"id"`
	*job.Submission
}

// poller follows one submission until its answer is final.
type poller struct {
	client *Client
	id     string
	path   string
	body   []byte // nil: only looked up, never sent
	// accepted says that an entry answered "pending": from then on the job is
	// looked up and its body stays at home.
	accepted bool
	pauses   *backoff.ExponentialBackOff
	last     error
}

// Submit sends a submission under the id and waits for its final answer, which is
// complete, failed or refused. On a lost connection it sends the same id again
// through another entry. The error is a *fault.Fault where the entries turned the
// request itself down, an *UndecidedError where ctx ended first, or a
// *MismatchedAnswerError.
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

// Await waits for the final answer to a submission that was sent before. Errors
// are those of Submit; a *fault.Fault of code NotFound says that the owner never
// accepted the id.
func (c *Client) Await(ctx context.Context, id string) (*job.Answer, error) {
	return newPoller(c, id, "", nil).run(ctx)
}

// Lookup returns how a submission stands now; the answer may be job.Pending.
func (c *Client) Lookup(ctx context.Context, id string) (*job.Answer, error) {
	r, err := c.each(ctx, call{method: http.MethodGet, path: jobPath(id), waits: true})
	if err != nil {
		return nil, &UndecidedError{ID: id, LastErr: err}
	}
	return r.answer(id)
}

func jobPath(id string) string { return "/v1/jobs/" + id }

func newPoller(c *Client, id, path string, encoded []byte) *poller {
	return &poller{client: c, id: id, path: path, body: encoded, pauses: newPauses()}
}

func newPauses() *backoff.ExponentialBackOff {
	return backoff.NewExponentialBackOff(
		backoff.WithInitialInterval(firstPause),
		backoff.WithMaxInterval(lastPause),
		backoff.WithMaxElapsedTime(0),
	)
}

func (p *poller) run(ctx context.Context) (*job.Answer, error) {
	for ctx.Err() == nil {
		answer, pause, err := p.try(ctx)
		if err != nil {
			return nil, err
		}
		if answer != nil {
			return answer, nil
		}
		sleep(ctx, pause)
	}
	return nil, &UndecidedError{ID: p.id, LastErr: p.last}
}

// try makes one call. It returns a final answer, or an error that ends the
// polling, or how long to pause before the next call.
func (p *poller) try(ctx context.Context) (*job.Answer, time.Duration, error) {
	at, r, err := p.client.hedged(ctx, p.call())
	if err != nil {
		p.last = err
		p.accepted = false
		if ctx.Err() == nil {
			p.client.leave(at)
		}
		return nil, p.pauses.NextBackOff(), nil
	}
	answer, err := r.answer(p.id)
	if err != nil {
		return p.afterFault(at, err)
	}
	p.last = nil
	p.pauses.Reset()
	if !answer.Final() {
		p.accepted = true
		return nil, 0, nil
	}
	return answer, 0, nil
}

func (p *poller) call() call {
	wait := p.client.options.LongPollTimeout
	if p.body == nil || p.accepted {
		return call{method: http.MethodGet, path: jobPath(p.id), wait: wait, waits: true}
	}
	return call{method: http.MethodPost, path: p.path, wait: wait, waits: true, body: p.body}
}

// afterFault goes on after "undecided" and ends the polling on any other fault.
func (p *poller) afterFault(at uint32, err error) (*job.Answer, time.Duration, error) {
	if !errors.Is(err, &fault.Fault{Code: fault.Undecided}) {
		return nil, 0, err
	}
	p.last = err
	p.client.leave(at)
	pause := p.pauses.NextBackOff()
	if after := time.Duration(FaultOf(err).RetryAfterMs) * time.Millisecond; after > 0 {
		pause = after
	}
	return nil, pause, nil
}

// answer reads an answer to the id. A reply without one is a *fault.Fault.
func (r *reply) answer(id string) (*job.Answer, error) {
	var answer job.Answer
	if err := json.Unmarshal(r.body, &answer); err != nil || answer.State == "" {
		return nil, r.fault()
	}
	if answer.ID != "" && answer.ID != id {
		return nil, &MismatchedAnswerError{RequestedID: id, ReceivedID: answer.ID}
	}
	answer.ID = id
	return &answer, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
