package demo

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

// answerGrace is how long after a job's deadline its final answer may arrive. An entry that
// can't reach the owner reports the outcome as unknown 2.5 s after the deadline, needs up to
// two more seconds to detect that the owner is unresponsive, and receives the call only when
// the first entry hasn't responded within half a second beyond the wait.
const answerGrace = 5 * time.Second

// callers simulates independent callers: it submits jobs in the background through all
// entries and records every outcome in history.
type callers struct {
	entryAddrs []string
	clients    []*client.Client // one per entry; each fails over to the other entries
	history    *history
	calls      sync.WaitGroup
	// withTimeout limits a call by the time in which the fleet is not paused as a whole, since
	// no entry can answer during such a pause.
	withTimeout func(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc)

	mu     sync.Mutex
	tokens []string // one per entry, for the ids of submissions
}

// newCallers returns callers with a client and a token for each of the entry addresses.
func newCallers(ctx context.Context, entries []string) (*callers, error) {
	c := &callers{entryAddrs: entries, history: &history{}, withTimeout: context.WithTimeout, tokens: make([]string, len(entries))}
	for i := range entries {
		ordered := append(append([]string(nil), entries[i:]...), entries[:i]...)
		cl, err := client.New(client.Options{Entries: ordered})
		if err != nil {
			return nil, err
		}
		c.clients = append(c.clients, cl)
		if err := c.refreshToken(ctx, i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// refreshToken fetches a new token from an entry. A restarted entry needs one, since ids are
// made of the token of the entry that owns them.
func (c *callers) refreshToken(ctx context.Context, entry int) error {
	single, err := client.New(client.Options{Entries: c.entryAddrs[entry : entry+1]})
	if err != nil {
		return err
	}
	defer single.Close()
	token, err := single.Token(ctx)
	if err != nil {
		return errors.Wrap(err, "token")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[entry] = token
	return nil
}

// token returns the token from which the ids of jobs owned by the entry are made.
func (c *callers) token(entry int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[entry]
}

// submitPlan carries out a plan in the background: it submits the job, and sends it twice or
// cancels it if the plan says so.
func (c *callers) submitPlan(ctx context.Context, p *plan) {
	now := time.Now()
	tracked := &trackedSubmission{plan: p, id: client.NewID(c.token(p.tokenEntry), now.Add(p.deadline), p.unique)}
	c.history.add(tracked)
	c.calls.Go(func() {
		c.submit(ctx, tracked, p.entry)
		tracked.markFirstCallEnded()
	})
	if p.duplicated {
		c.calls.Go(func() {
			time.Sleep(p.duplicateDelay)
			c.submit(ctx, tracked, c.otherEntry(p.entry))
		})
	}
	if p.cancelled {
		c.calls.Go(func() {
			time.Sleep(p.cancelDelay)
			c.cancel(ctx, c.otherEntry(p.entry), []*trackedSubmission{tracked})
		})
	}
}

// resubmit sends a submission again in the background, through another entry than the first.
func (c *callers) resubmit(ctx context.Context, s *trackedSubmission) {
	c.calls.Go(func() { c.submit(ctx, s, c.otherEntry(s.plan.entry)) })
}

// submit sends a submission through an entry and records the outcome. It waits for the final
// answer until answerGrace after the deadline.
func (c *callers) submit(ctx context.Context, s *trackedSubmission, entry int) {
	ctx, cancel := c.withTimeout(ctx, s.plan.deadline+answerGrace)
	defer cancel()
	startedAt := time.Now()
	answer, err := c.clients[entry].Submit(ctx, s.id, s.plan.submission)
	now := time.Now()
	s.record(callOutcome{entry: entry, answer: refusalToAnswer(s.id, answer, err), err: err, receivedAt: now, responseTime: now.Sub(startedAt)})
}

// lookUp fetches an answer that was already given. It records nothing if the call fails.
func (c *callers) lookUp(ctx context.Context, s *trackedSubmission, entry int) {
	ctx, cancel := c.withTimeout(ctx, answerGrace)
	defer cancel()
	answer, err := c.clients[entry].Await(ctx, s.id)
	if err == nil {
		s.record(callOutcome{entry: entry, answer: answer, receivedAt: time.Now()})
	}
}

// refusalToAnswer returns the answer of a call. If there is none and the error says that the
// job was not run, it returns a refused answer with that error.
func refusalToAnswer(id string, answer *job.Answer, err error) *job.Answer {
	var f *fault.Fault
	if answer != nil || !errors.As(err, &f) || !f.NotRun {
		return answer
	}
	return &job.Answer{ID: id, State: job.Refused, Failure: f}
}

// cancel cancels several submissions with one call. The outcome of each is taken from its
// answer.
func (c *callers) cancel(ctx context.Context, entry int, batch []*trackedSubmission) {
	var ids []string
	for _, s := range batch {
		ids = append(ids, s.id)
	}
	if len(ids) > 0 {
		_, _ = c.clients[entry].Cancel(ctx, ids) // the call may be lost; the jobs then get another answer
	}
}

// otherEntry returns the index of another entry than the given one.
func (c *callers) otherEntry(entry int) int { return (entry + 1) % len(c.clients) }

func (c *callers) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}
