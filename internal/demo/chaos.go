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

// Times between injected failures in a chaos run, and their durations. A freeze lasts from
// well below to well above the silence timeout of a session.
const (
	minFailureGap      = 300 * time.Millisecond
	maxFailureGap      = 2 * time.Second
	minFailureDuration = 200 * time.Millisecond
	maxFailureDuration = 4 * time.Second
	slowdownFactor     = 4
	// drainTimeout is how long a draining process may take. It covers the longest job and the
	// time in which its callers fetch the answer.
	drainTimeout = defaultDeadline + 5*time.Second
)

// injection is a kind of failure. inject applies it to the process with index victim and ends
// it after a random time.
type injection struct {
	name   string
	inject func(c *chaos, victim int) error
}

// entryInjections apply to entries, workerInjections to an agent or its target. Targets are
// never killed, since their start counts would be lost.
var (
	entryInjections = []injection{
		{"entry killed", (*chaos).killEntry},
		{"entry frozen", (*chaos).freezeEntry},
		{"entry drained", (*chaos).drainEntry},
		{"two entries killed", onTwo((*chaos).killEntry)},
	}
	workerInjections = []injection{
		{"agent killed", (*chaos).killAgent},
		{"agent frozen", (*chaos).freezeAgent},
		{"agent drained", (*chaos).drainAgent},
		{"two agents killed", onTwo((*chaos).killAgent)},
		{"target frozen", (*chaos).freezeTarget},
		{"target fails everything", setTargetBehaviour(target.Behaviour{Mode: target.FailAll})},
		{"target hangs", setTargetBehaviour(target.Behaviour{Mode: target.Hang})},
		{"target slow", setTargetBehaviour(target.Behaviour{Mode: target.Slow, Factor: slowdownFactor})},
	}
)

// logInjections apply to the platform's log.
var logInjections = []injection{
	{"log down", setLogMode(standin.StoreControl{Mode: standin.StoreUnavailable})},
	{"log slow", setLogMode(standin.StoreControl{DelayMs: 500})},
	{"log loses answers", setLogMode(standin.StoreControl{Mode: standin.StoreAppendAnswerLost})},
	{"log unreadable", setLogMode(standin.StoreControl{Mode: standin.StoreReadsUnavailable})},
	{"log late", setLogMode(standin.StoreControl{Mode: standin.StoreDelayedAppends})},
}

// chaos injects random failures into a running fleet. Entries, workers and the log fail
// independently of each other, so that their failures can overlap.
type chaos struct {
	run *run
	// ctx outlives the injection loops, so that each failure in progress is still undone.
	ctx context.Context

	mu     sync.Mutex
	counts map[string]int
	err    error
}

// startChaos starts to inject failures in the background. The returned function stops it,
// waits until every failure has been undone, and returns the first error.
func (r *run) startChaos(ctx context.Context, seed uint64) (stop func() error) {
	c := &chaos{run: r, ctx: ctx, counts: r.injections}
	until, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() {
		c.injectLoop(until, rand.New(rand.NewPCG(seed, 1)), entryInjections, len(r.deployment.entries))
	})
	loops.Go(func() {
		c.injectLoop(until, rand.New(rand.NewPCG(seed, 2)), workerInjections, len(r.deployment.agents))
	})
	loops.Go(func() { c.injectLoop(until, rand.New(rand.NewPCG(seed, 3)), logInjections, 1) })
	loops.Go(func() { c.pauseLoop(until, rand.New(rand.NewPCG(seed, 4))) })
	return func() error {
		cancel()
		loops.Wait()
		return c.err
	}
}

// injectLoop applies random injections to random victims, one at a time, until the context ends or
// one fails.
func (c *chaos) injectLoop(until context.Context, random *rand.Rand, kinds []injection, victims int) {
	for until.Err() == nil {
		sleep(until, randomDuration(random, minFailureGap, maxFailureGap))
		kind := kinds[random.IntN(len(kinds))]
		if err := kind.inject(c, random.IntN(victims)); err != nil {
			c.setError(errors.Wrap(err, kind.name))
			return
		}
		c.countInjection(kind.name)
	}
}

func (c *chaos) countInjection(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// setError stores the first error.
func (c *chaos) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
}

// randomDuration returns a random duration of at least low and less than high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// failureDuration returns a random duration for an injected failure. It is not drawn from the
// seed, since the timing of real processes differs between runs anyway.
func failureDuration() time.Duration {
	return minFailureDuration + rand.N(maxFailureDuration-minFailureDuration)
}

// onTwo applies an injection to the victim and the process after it at the same time, to
// simulate the loss of a rack or a switch.
func onTwo(inject func(*chaos, int) error) func(*chaos, int) error {
	return func(c *chaos, victim int) error {
		var other error
		var both sync.WaitGroup
		both.Go(func() { other = inject(c, victim+1) })
		err := inject(c, victim)
		both.Wait()
		return errors.CombineErrors(err, other)
	}
}

// killEntry kills an entry and restarts it after a random time. The index wraps around, since onTwo
// may pass one beyond the last.
func (c *chaos) killEntry(victim int) error {
	victim %= len(c.run.disrupted)
	c.run.disrupted[victim].Store(true)
	c.run.deployment.entry(victim).Kill()
	sleep(c.ctx, failureDuration())
	return c.restartEntry(victim)
}

// drainEntry stops an entry gracefully and restarts it. It returns an error if the entry did not
// stop within drainTimeout.
func (c *chaos) drainEntry(victim int) error {
	c.run.disrupted[victim].Store(true)
	if !c.run.deployment.entry(victim).StopWithin(drainTimeout) {
		return errors.Newf("%s did not end gracefully", c.run.deployment.entry(victim).Name)
	}
	return c.restartEntry(victim)
}

// restartEntry restarts an entry and fetches a token of the new process.
func (c *chaos) restartEntry(victim int) error {
	if err := c.run.deployment.restartEntry(c.ctx, victim); err != nil {
		return err
	}
	return c.run.callers.refreshToken(c.ctx, victim)
}

func (c *chaos) freezeEntry(victim int) error {
	c.run.disrupted[victim].Store(true)
	return c.pauseAndResume(c.run.deployment.entry(victim))
}

func (c *chaos) pauseAndResume(p *localfleet.Process) error {
	p.Pause()
	sleep(c.ctx, failureDuration())
	p.Resume()
	return nil
}

// killAgent kills an agent and restarts it after a random time. The index wraps around as in
// killEntry.
func (c *chaos) killAgent(victim int) error {
	victim %= len(targetSpeeds)
	c.run.deployment.agent(victim).Kill()
	sleep(c.ctx, failureDuration())
	return c.run.deployment.restartAgent(c.ctx, victim)
}

func (c *chaos) freezeAgent(victim int) error {
	return c.pauseAndResume(c.run.deployment.agent(victim))
}

// drainAgent stops an agent gracefully and restarts it. It returns an error if the agent did not
// stop within drainTimeout.
func (c *chaos) drainAgent(victim int) error {
	if !c.run.deployment.agent(victim).StopWithin(drainTimeout) {
		return errors.Newf("%s did not end gracefully", c.run.deployment.agent(victim).Name)
	}
	return c.run.deployment.restartAgent(c.ctx, victim)
}

func (c *chaos) freezeTarget(victim int) error {
	return c.pauseAndResume(c.run.deployment.targets[victim])
}

// setTargetBehaviour returns an injection that switches a target to behaviour for a random
// time.
func setTargetBehaviour(behaviour target.Behaviour) func(*chaos, int) error {
	return func(c *chaos, victim int) error {
		url := "http://" + c.run.deployment.targets[victim].Addr + "/mode"
		return c.postTemporarily(url, behaviour, target.Behaviour{Mode: target.Normal})
	}
}

// setLogMode returns an injection that applies control to the log stand-in for a random time.
func setLogMode(control standin.StoreControl) func(*chaos, int) error {
	return func(c *chaos, _ int) error {
		return c.postTemporarily(c.run.deployment.logURL()+"/control", control, standin.StoreControl{Mode: standin.StoreNormal})
	}
}

// postTemporarily posts begin to the control endpoint of a stand-in, and end after a random
// time.
func (c *chaos) postTemporarily(url string, begin, end any) error {
	if err := post(c.ctx, url, begin); err != nil {
		return err
	}
	sleep(c.ctx, failureDuration())
	return post(c.ctx, url, end)
}

// post sends body as JSON and returns an error unless the response status is 200.
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
