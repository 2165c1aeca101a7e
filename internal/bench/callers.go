package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/clock"
	"github.com/camphorrack/camphorrack/internal/fault"
	"github.com/camphorrack/camphorrack/internal/job"
)

const (
	callerCount = 4
	// answerAllowance is how long after a deadline its final answer may come.
	answerAllowance = 5 * time.Second
	probes          = 50
)

// sent is one submitted job and its end.
type sent struct {
	work      work
	id        string
	at        float64 // arrival as a share of the run
	measured  bool
	cancelled atomic.Bool

	done     atomic.Bool
	answer   *job.Answer
	err      error
	response time.Duration
	endedAt  float64 // as a share of the run
}

// callers submits jobs at their times and keeps what became of them.
type callers struct {
	options   Options
	run       one
	fleet     *fleet
	clients   []*client.Client // one an entry
	networkMs float64          // a call that waits for nothing
	begun     time.Time

	mu     sync.Mutex
	tokens []string
	sent   []*sent
	errs   []error // of steps
	calls  sync.WaitGroup
}

func newCallers(ctx context.Context, o Options, r one, f *fleet) (*callers, error) {
	c := &callers{options: o, run: r, fleet: f}
	addrs := f.entryAddrs()
	for i := range addrs {
		cl, err := client.New(client.Options{Entries: append(append([]string(nil), addrs[i:]...), addrs[:i]...)})
		if err != nil {
			return nil, err
		}
		c.clients = append(c.clients, cl)
		token, err := cl.Token(ctx)
		if err != nil {
			return nil, errors.Wrap(err, "token")
		}
		c.tokens = append(c.tokens, token)
	}
	return c, c.probe(ctx)
}

// probe measures the bare network: the median time of a call that waits for nothing.
func (c *callers) probe(ctx context.Context) error {
	times := make([]float64, probes)
	for i := range times {
		begun := time.Now()
		if _, err := c.clients[0].Token(ctx); err != nil {
			return errors.Wrap(err, "probe")
		}
		times[i] = clock.Millis(time.Since(begun))
	}
	c.networkMs = percentile(times, 0.5)
	return nil
}

func (c *callers) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}

// drive lets jobs arrive for the duration and waits for their answers.
func (c *callers) drive(ctx context.Context) {
	c.begun = time.Now()
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.arrive(ctx, i) })
	}
	for _, s := range c.run.scenario.Steps {
		group.Go(func() { c.step(ctx, s) })
	}
	group.Wait()
	c.calls.Wait()
}

func (c *callers) step(ctx context.Context, s Step) {
	sleepUntil(ctx, c.begun.Add(time.Duration(s.At*float64(c.options.Duration))))
	if err := s.Action(ctx, c); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.errs = append(c.errs, err)
	}
}

// arrive submits one caller's part of the jobs, as a Poisson process.
func (c *callers) arrive(ctx context.Context, caller int) {
	r := rand.New(rand.NewPCG(c.run.seed, uint64(caller)))
	perMs := capacity() / (c.run.scenario.Mix.meanJobMs() * c.options.TimeScale) / callerCount
	next := c.begun
	for n := 0; ; n++ {
		rate := perMs * c.run.scenario.LoadAt(c.share(next))
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Millisecond)))
		if c.share(next) >= 1 || ctx.Err() != nil {
			return
		}
		w := newWork(r, c.run.scenario, c.options.TimeScale)
		entry := c.pickEntry(r)
		sleepUntil(ctx, next)
		c.submit(ctx, w, entry, next, fmt.Sprintf("c%d-%d", caller, n))
	}
}

func (c *callers) pickEntry(r *rand.Rand) int {
	if c.run.scenario.FirstEntryShare > 0 && r.Float64() < c.run.scenario.FirstEntryShare {
		return 0
	}
	return r.IntN(entryCount)
}

// share returns a time as a share of the run.
func (c *callers) share(t time.Time) float64 {
	return float64(t.Sub(c.begun)) / float64(c.options.Duration)
}

// submit sends a job in the background. Its response counts from the time at which
// it was due, so that a late caller of ours does not flatter the system.
func (c *callers) submit(ctx context.Context, w work, entry int, due time.Time, unique string) {
	limit := time.Duration(float64(c.run.scenario.Deadline) * c.options.TimeScale)
	at := c.share(due)
	s := &sent{work: w, at: at, measured: at >= c.run.scenario.MeasureFrom && at < c.run.scenario.MeasureUntil}
	c.mu.Lock()
	s.id = client.NewID(c.tokens[entry], time.Now().Add(limit), unique)
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, limit+answerAllowance)
		defer cancel()
		s.answer, s.err = c.clients[entry].Submit(ctx, s.id, w.submission)
		now := time.Now()
		s.response, s.endedAt = now.Sub(due), c.share(now)
		s.done.Store(true)
		if s.ownerGone() {
			c.renew(ctx, entry)
		}
	})
}

// failure returns the fault that a job ended with, or nil.
func (s *sent) failure() *fault.Fault {
	if s.answer != nil {
		return s.answer.Failure
	}
	var f *fault.Fault
	errors.As(s.err, &f)
	return f
}

func (s *sent) ownerGone() bool {
	f := s.failure()
	return f != nil && f.Code == fault.OwnerGone
}

// renew takes a new token where the owner of the old one ended.
func (c *callers) renew(ctx context.Context, entry int) {
	token, err := c.clients[entry].Token(ctx)
	if err != nil {
		return // the next answer of this kind tries again
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[entry] = token
}

// pending returns the jobs that wait for their answers.
func (c *callers) pending() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*sent
	for _, s := range c.sent {
		if !s.done.Load() {
			open = append(open, s)
		}
	}
	return open
}

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
