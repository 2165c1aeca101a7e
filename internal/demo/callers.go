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

// answerAllowance is how long after its deadline a final answer may come: an entry that
// can't reach the owner calls the outcome unknown 2.5 s after it, takes up to two more to
// find the owner silent, and is asked once the first entry has been silent for half a
// second beyond its wait.
const answerAllowance = 5 * time.Second

// callers submits as independent callers would, and notes what they see.
type callers struct {
	addrs   []string
	clients []*client.Client // one an entry; each falls back to the others
	history *history
	calls   sync.WaitGroup
	// within bounds a call by time in which the fleet is not paused as a whole: nobody can
	// answer in the rest.
	within func(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc)

	mu     sync.Mutex
	tokens []string // one an entry
}

func newCallers(ctx context.Context, entries []string) (*callers, error) {
	c := &callers{addrs: entries, history: &history{}, within: context.WithTimeout, tokens: make([]string, len(entries))}
	for i := range entries {
		first := append(append([]string(nil), entries[i:]...), entries[:i]...)
		cl, err := client.New(client.Options{Entries: first})
		if err != nil {
			return nil, err
		}
		c.clients = append(c.clients, cl)
		if err := c.refresh(ctx, i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// refresh takes a new token from an entry.
func (c *callers) refresh(ctx context.Context, entry int) error {
	only, err := client.New(client.Options{Entries: c.addrs[entry : entry+1]})
	if err != nil {
		return err
	}
	defer only.Close()
	token, err := only.Token(ctx)
	if err != nil {
		return errors.Wrap(err, "token")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[entry] = token
	return nil
}

func (c *callers) token(entry int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens[entry]
}

// place submits what is planned, in the background, and sends it twice or cancels it if so planned.
func (c *callers) place(ctx context.Context, o *plan) {
	at := time.Now()
	seen := &observed{plan: o, id: client.NewID(c.token(o.owner), at.Add(o.deadline), o.unique)}
	c.history.add(seen)
	c.calls.Go(func() {
		c.submit(ctx, seen, o.entry)
		seen.finish()
	})
	if o.doubled {
		c.calls.Go(func() {
			time.Sleep(o.doubleLag)
			c.submit(ctx, seen, c.other(o.entry))
		})
	}
	if o.cancelled {
		c.calls.Go(func() {
			time.Sleep(o.cancelLag)
			c.cancel(ctx, c.other(o.entry), []*observed{seen})
		})
	}
}

// again resubmits a submission through another entry than it went through first.
func (c *callers) again(ctx context.Context, o *observed) {
	c.calls.Go(func() { c.submit(ctx, o, c.other(o.plan.entry)) })
}

func (c *callers) submit(ctx context.Context, o *observed, entry int) {
	ctx, cancel := c.within(ctx, o.plan.deadline+answerAllowance)
	defer cancel()
	begun := time.Now()
	answer, err := c.clients[entry].Submit(ctx, o.id, o.plan.submission)
	now := time.Now()
	o.see(outcome{entry: entry, answer: refusalAsAnswer(o.id, answer, err), err: err, at: now, response: now.Sub(begun)})
}

// lookUp asks for an answer that was given before.
func (c *callers) lookUp(ctx context.Context, o *observed, entry int) {
	ctx, cancel := c.within(ctx, answerAllowance)
	defer cancel()
	answer, err := c.clients[entry].Await(ctx, o.id)
	if err == nil {
		o.see(outcome{entry: entry, answer: answer, at: time.Now()})
	}
}

// refusalAsAnswer turns a refusal of the request itself into the answer that it is.
func refusalAsAnswer(id string, answer *job.Answer, err error) *job.Answer {
	var f *fault.Fault
	if answer != nil || !errors.As(err, &f) || !f.NotRun {
		return answer
	}
	return &job.Answer{ID: id, State: job.Refused, Failure: f}
}

// cancel cancels many at once. What became of them shows in their answers.
func (c *callers) cancel(ctx context.Context, entry int, wave []*observed) {
	var ids []string
	for _, o := range wave {
		ids = append(ids, o.id)
	}
	if len(ids) > 0 {
		_, _ = c.clients[entry].Cancel(ctx, ids) // may be lost like any call; the jobs are then answered otherwise
	}
}

func (c *callers) other(entry int) int { return (entry + 1) % len(c.clients) }

func (c *callers) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}
