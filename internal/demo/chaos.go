package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/localfleet"
	"github.com/camphorrack/camphorrack/internal/standin/target"
	"github.com/camphorrack/camphorrack/platform/standin"
)

// How often things go wrong in a chaos run, and for how long. A freeze lasts from
// well below to well above the silence that ends a session.
const (
	minQuiet   = 300 * time.Millisecond
	maxQuiet   = 2 * time.Second
	minLasting = 200 * time.Millisecond
	maxLasting = 4 * time.Second
	slowFactor = 4
	// drainPatience is how long a draining process may take: the longest job and
	// the callers that still have to fetch its answer.
	drainPatience = usualDeadline + 5*time.Second
)

// injection is one thing that can go wrong with the victim of that index.
type injection struct {
	name string
	do   func(c *chaos, victim int) error
}

// entryInjections befall entries, workerInjections an agent or its target.
// Targets are never killed: what they counted would be lost with them.
var (
	entryInjections = []injection{
		{"entry killed", (*chaos).killEntry},
		{"entry frozen", (*chaos).freezeEntry},
		{"entry drained", (*chaos).drainEntry},
		{"two entries killed", two((*chaos).killEntry)},
	}
	workerInjections = []injection{
		{"agent killed", (*chaos).killAgent},
		{"agent frozen", (*chaos).freezeAgent},
		{"agent drained", (*chaos).drainAgent},
		{"two agents killed", two((*chaos).killAgent)},
		{"target frozen", (*chaos).freezeTarget},
		{"target fails everything", behave(target.Behaviour{Mode: target.FailAll})},
		{"target hangs", behave(target.Behaviour{Mode: target.Hang})},
		{"target slow", behave(target.Behaviour{Mode: target.Slow, Factor: slowFactor})},
	}
)

// logInjections befall the platform's log.
var logInjections = []injection{
	{"log down", misbehave(standin.StoreControl{Mode: standin.StoreUnavailable})},
	{"log slow", misbehave(standin.StoreControl{DelayMs: 500})},
	{"log loses answers", misbehave(standin.StoreControl{Mode: standin.StoreAppendAnswerLost})},
	{"log unreadable", misbehave(standin.StoreControl{Mode: standin.StoreReadsUnavailable})},
	{"log late", misbehave(standin.StoreControl{Mode: standin.StoreDelayedAppends})},
}

// chaos injects failures into a running fleet at random, some
// of the entries, some of the workers and the log at a time.
type chaos struct {
	run *run
	// ctx outlives the injections, so that what was taken down comes up again.
	ctx context.Context

	mu    sync.Mutex
	count map[string]int
	err   error
}

// start begins to inject failures; the function that it returns ends that, waits until
// everything is up again and returns the first error.
func (r *run) start(ctx context.Context, seed uint64) (stop func() error) {
	c := &chaos{run: r, ctx: ctx, count: r.injections}
	until, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { c.loop(until, rand.New(rand.NewPCG(seed, 1)), entryInjections, len(r.deployment.entries)) })
	loops.Go(func() { c.loop(until, rand.New(rand.NewPCG(seed, 2)), workerInjections, len(r.deployment.agents)) })
	loops.Go(func() { c.loop(until, rand.New(rand.NewPCG(seed, 3)), logInjections, 1) })
	loops.Go(func() { c.standstills(until, rand.New(rand.NewPCG(seed, 4))) })
	return func() error {
		cancel()
		loops.Wait()
		return c.err
	}
}

func (c *chaos) loop(until context.Context, random *rand.Rand, kinds []injection, victims int) {
	for until.Err() == nil {
		pause(until, between(random, minQuiet, maxQuiet))
		kind := kinds[random.IntN(len(kinds))]
		if err := kind.do(c, random.IntN(victims)); err != nil {
			c.fail(errors.Wrap(err, kind.name))
			return
		}
		c.counted(kind.name)
	}
}

func (c *chaos) counted(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[name]++
}

func (c *chaos) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// lasting draws how long an injected failure lasts. It is not part of the seeded draws,
// since timing on real processes differs from run to run anyway.
func lasting() time.Duration {
	return minLasting + rand.N(maxLasting-minLasting)
}

// two does an injection to the victim and its neighbour at a time, as the loss of a
// rack or a switch does.
func two(do func(*chaos, int) error) func(*chaos, int) error {
	return func(c *chaos, victim int) error {
		var other error
		var both sync.WaitGroup
		both.Go(func() { other = do(c, victim+1) })
		err := do(c, victim)
		both.Wait()
		return errors.CombineErrors(err, other)
	}
}

func (c *chaos) killEntry(victim int) error {
	victim %= len(c.run.disturbed)
	c.run.disturbed[victim].Store(true)
	c.run.deployment.entry(victim).Kill()
	pause(c.ctx, lasting())
	return c.restartEntry(victim)
}

func (c *chaos) drainEntry(victim int) error {
	c.run.disturbed[victim].Store(true)
	if !c.run.deployment.entry(victim).StopWithin(drainPatience) {
		return errors.Newf("%s did not end gracefully", c.run.deployment.entry(victim).Name)
	}
	return c.restartEntry(victim)
}

func (c *chaos) restartEntry(victim int) error {
	if err := c.run.deployment.restartEntry(c.ctx, victim); err != nil {
		return err
	}
	return c.run.callers.refresh(c.ctx, victim)
}

func (c *chaos) freezeEntry(victim int) error {
	c.run.disturbed[victim].Store(true)
	return c.freeze(c.run.deployment.entry(victim))
}

func (c *chaos) freeze(p *localfleet.Process) error {
	p.Pause()
	pause(c.ctx, lasting())
	p.Resume()
	return nil
}

func (c *chaos) killAgent(victim int) error {
	victim %= len(speeds)
	c.run.deployment.agent(victim).Kill()
	pause(c.ctx, lasting())
	return c.run.deployment.restartAgent(c.ctx, victim)
}

func (c *chaos) freezeAgent(victim int) error { return c.freeze(c.run.deployment.agent(victim)) }

func (c *chaos) drainAgent(victim int) error {
	if !c.run.deployment.agent(victim).StopWithin(drainPatience) {
		return errors.Newf("%s did not end gracefully", c.run.deployment.agent(victim).Name)
	}
	return c.run.deployment.restartAgent(c.ctx, victim)
}

func (c *chaos) freezeTarget(victim int) error { return c.freeze(c.run.deployment.targets[victim]) }

// behave makes a target misbehave for a while.
func behave(b target.Behaviour) func(*chaos, int) error {
	return func(c *chaos, victim int) error {
		path := "http://" + c.run.deployment.targets[victim].Addr + "/mode"
		return c.forAWhile(path, b, target.Behaviour{Mode: target.Normal})
	}
}

// misbehave makes the log misbehave for a while.
func misbehave(m standin.StoreControl) func(*chaos, int) error {
	return func(c *chaos, _ int) error {
		return c.forAWhile(c.run.deployment.logURL()+"/control", m, standin.StoreControl{Mode: standin.StoreNormal})
	}
}

// forAWhile posts one order to a stand-in and later the other.
func (c *chaos) forAWhile(url string, begin, end any) error {
	if err := post(c.ctx, url, begin); err != nil {
		return err
	}
	pause(c.ctx, lasting())
	return post(c.ctx, url, end)
}

func post(ctx context.Context, url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("POST %s: HTTP status %d", url, response.StatusCode)
	}
	return nil
}
