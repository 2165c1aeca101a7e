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
	// answerAllowance is how long after a job's deadline a call still waits for the final
	// answer.
	answerAllowance = 5 * time.Second
	roundTripProbes = 50 // calls that measure the round trip time
)

// submittedJob is a submitted job and its outcome. The outcome is valid once done is set.
type submittedJob struct {
	spec      jobSpec
	id        string
	arrivedAt float64 // scheduled arrival, as a fraction of the run
	measured  bool
	cancelled atomic.Bool

	done         atomic.Bool
	answer       *job.Answer
	err          error
	responseTime time.Duration
	endedAt      float64 // as a fraction of the run
}

// loadGenerator submits a run's jobs at scheduled times and records their outcomes.
type loadGenerator struct {
	options     Options
	runSpec     runSpec
	fleet       *fleet
	clients     []*client.Client // one per entry, which is its first choice
	roundTripMs float64          // median of a call without work, in milliseconds
	startedAt   time.Time

	mu       sync.Mutex
	tokens   []string // one per entry
	jobs     []*submittedJob
	stepErrs []error // from the scenario's steps
	calls    sync.WaitGroup
}

// newLoadGenerator connects a client to each entry, gets its token and measures the round
// trip time.
func newLoadGenerator(ctx context.Context, o Options, r runSpec, f *fleet) (*loadGenerator, error) {
	c := &loadGenerator{options: o, runSpec: r, fleet: f}
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
	return c, c.measureRoundTrip(ctx)
}

// measureRoundTrip sets roundTripMs to the median time of a call that involves no target.
func (c *loadGenerator) measureRoundTrip(ctx context.Context) error {
	times := make([]float64, roundTripProbes)
	for i := range times {
		startedAt := time.Now()
		if _, err := c.clients[0].Token(ctx); err != nil {
			return errors.Wrap(err, "probe")
		}
		times[i] = clock.Millis(time.Since(startedAt))
	}
	c.roundTripMs = percentile(times, 0.5)
	return nil
}

func (c *loadGenerator) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}

// run submits jobs and performs the scenario's steps for the duration of the run, then waits
// for the remaining answers.
func (c *loadGenerator) run(ctx context.Context) {
	c.startedAt = time.Now()
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { c.generateArrivals(ctx, i) })
	}
	for _, s := range c.runSpec.scenario.Steps {
		group.Go(func() { c.runStep(ctx, s) })
	}
	group.Wait()
	c.calls.Wait()
}

// runStep performs a step at its time and records its error.
func (c *loadGenerator) runStep(ctx context.Context, s Step) {
	sleepUntil(ctx, c.startedAt.Add(time.Duration(s.At*float64(c.options.Duration))))
	if err := s.Action(ctx, c); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stepErrs = append(c.stepErrs, err)
	}
}

// generateArrivals submits one caller's share of the jobs. Arrivals form a Poisson process
// whose rate follows the scenario's load.
func (c *loadGenerator) generateArrivals(ctx context.Context, caller int) {
	r := rand.New(rand.NewPCG(c.runSpec.seed, uint64(caller)))
	jobsPerMs := capacity() / (c.runSpec.scenario.Mix.meanJobMs() * c.options.TimeScale) / callerCount
	next := c.startedAt
	for n := 0; ; n++ {
		rate := jobsPerMs * c.runSpec.scenario.LoadAt(c.elapsedShare(next))
		next = next.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Millisecond)))
		if c.elapsedShare(next) >= 1 || ctx.Err() != nil {
			return
		}
		spec := newJobSpec(r, c.runSpec.scenario, c.options.TimeScale)
		entry := c.pickEntry(r)
		sleepUntil(ctx, next)
		c.submit(ctx, spec, entry, next, fmt.Sprintf("c%d-%d", caller, n))
	}
}

// pickEntry returns the index of the entry for a job.
func (c *loadGenerator) pickEntry(r *rand.Rand) int {
	if c.runSpec.scenario.FirstEntryShare > 0 && r.Float64() < c.runSpec.scenario.FirstEntryShare {
		return 0
	}
	return r.IntN(entryCount)
}

// elapsedShare returns the position of a time in the run, as a fraction of its duration.
func (c *loadGenerator) elapsedShare(t time.Time) float64 {
	return float64(t.Sub(c.startedAt)) / float64(c.options.Duration)
}

// submit submits a job in the background. The response time counts from the scheduled
// arrival, so that a delay of the load generator doesn't make the system look faster.
func (c *loadGenerator) submit(ctx context.Context, spec jobSpec, entry int, due time.Time, idSuffix string) {
	timeout := time.Duration(float64(c.runSpec.scenario.Deadline) * c.options.TimeScale)
	at := c.elapsedShare(due)
	s := &submittedJob{spec: spec, arrivedAt: at, measured: at >= c.runSpec.scenario.MeasureFrom && at < c.runSpec.scenario.MeasureUntil}
	c.mu.Lock()
	s.id = client.NewID(c.tokens[entry], time.Now().Add(timeout), idSuffix)
	c.jobs = append(c.jobs, s)
	c.mu.Unlock()
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, timeout+answerAllowance)
		defer cancel()
		s.answer, s.err = c.clients[entry].Submit(ctx, s.id, spec.submission)
		now := time.Now()
		s.responseTime, s.endedAt = now.Sub(due), c.elapsedShare(now)
		s.done.Store(true)
		if s.ownerGone() {
			c.renewToken(ctx, entry)
		}
	})
}

// failure returns the fault that ended the job, or nil if it completed or got no final answer.
func (s *submittedJob) failure() *fault.Fault {
	if s.answer != nil {
		return s.answer.Failure
	}
	var f *fault.Fault
	errors.As(s.err, &f)
	return f
}

// ownerGone reports whether the job failed because the process of its owner had ended.
func (s *submittedJob) ownerGone() bool {
	f := s.failure()
	return f != nil && f.Code == fault.OwnerGone
}

// renewToken replaces the token of an entry whose process ended.
func (c *loadGenerator) renewToken(ctx context.Context, entry int) {
	token, err := c.clients[entry].Token(ctx)
	if err != nil {
		return // retried by the next job that fails in this way
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[entry] = token
}

// pending returns the jobs without a final answer, in order of submission.
func (c *loadGenerator) pending() []*submittedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*submittedJob
	for _, s := range c.jobs {
		if !s.done.Load() {
			open = append(open, s)
		}
	}
	return open
}

// sleepUntil waits until t or until the context is done.
func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
