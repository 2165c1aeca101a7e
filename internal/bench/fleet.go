package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/camphorrack/camphorrack/internal/client"
	"github.com/camphorrack/camphorrack/internal/localfleet"
	"github.com/camphorrack/camphorrack/internal/owner"
)

// The fleet of each run has the size of the deployments of both first users.
const (
	targetCount    = 10
	slotsPerTarget = 8
	entryCount     = 2
	slowestSpeed   = 1.0
	fastestSpeed   = 3.0

	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// settleTime is longer than the second after startup in which entries admit every job.
	settleTime = 1500 * time.Millisecond
	sharedKey  = "bench-key-of-loopback-only"
)

var errNotReady = errors.New("not every entry reported all targets as usable in time")

// targetSpeed returns the speed of a target: evenly spaced from slowestSpeed to fastestSpeed.
func targetSpeed(index int) float64 {
	return slowestSpeed + (fastestSpeed-slowestSpeed)*float64(index)/float64(targetCount-1)
}

// capacity returns how much work all targets can do per millisecond, in milliseconds of run
// time at speed 1.
func capacity() float64 {
	sum := 0.0
	for i := range targetCount {
		sum += slotsPerTarget * targetSpeed(i)
	}
	return sum
}

// fleet holds the processes of a run.
type fleet struct {
	*localfleet.Fleet
	policy  owner.Policy
	entries []*localfleet.Process
	agents  []*localfleet.Process
	targets []*localfleet.Process
	// Counters and CPU time, in milliseconds, of killed entries.
	killedCounts owner.Counts
	killedCPUMs  float64
}

// startFleet starts all processes and waits until every entry can use every target. The
// returned fleet is never nil, so that after an error the caller can kill what was started.
func startFleet(ctx context.Context, o Options, p owner.Policy) (*fleet, error) {
	f := &fleet{
		Fleet:   localfleet.New(localfleet.Options{BinDir: o.BinDir, LogDir: o.LogDir, Key: sharedKey}),
		policy:  p,
		entries: make([]*localfleet.Process, entryCount),
	}
	for i := range entryCount {
		if err := f.startEntry(ctx, i, ""); err != nil {
			return f, err
		}
	}
	for i := range targetCount {
		if err := f.startTarget(ctx, i); err != nil {
			return f, err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return f, err
	}
	sleepUntil(ctx, time.Now().Add(settleTime))
	return f, ctx.Err()
}

// startEntry starts the entry with the index, with the other entries as its peers. An empty
// listen address chooses a free port.
func (f *fleet) startEntry(ctx context.Context, index int, listen string) error {
	var peers []string
	for _, p := range f.entries {
		if p != nil && p.Addr != listen {
			peers = append(peers, p.Addr)
		}
	}
	p, err := f.StartEntry(ctx, fmt.Sprintf("entry-%d", index), listen, peers, "-policy", string(f.policy))
	f.entries[index] = p
	return err
}

// startTarget starts the target with the index and its agent. The random and two-choices
// policies push tasks to agents, all others use grants.
func (f *fleet) startTarget(ctx context.Context, index int) error {
	policy := "grants"
	if f.policy == owner.PolicyRandom || f.policy == owner.PolicyTwoChoices {
		policy = "push"
	}
	agent, err := f.StartAgent(ctx, fmt.Sprintf("worker-%d", index), "", f.entryAddrs(), "-policy", policy)
	if err != nil {
		return err
	}
	f.agents = append(f.agents, agent)
	t, err := f.StartTarget(ctx, localfleet.TargetOptions{
		Name: fmt.Sprintf("target-%d", index), Agent: agent.Addr, Slots: slotsPerTarget, Speed: targetSpeed(index),
	})
	f.targets = append(f.targets, t)
	return err
}

func (f *fleet) entryAddrs() []string {
	var addrs []string
	for _, p := range f.entries {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

// awaitReady waits until every entry can use every target. It returns errNotReady after
// readyTimeout.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, errNotReady)
	defer cancel()
	for _, addr := range f.entryAddrs() {
		c, err := client.New(client.Options{Entries: []string{addr}})
		if err != nil {
			return err
		}
		defer c.Close()
		for usableTargets(ctx, c) < targetCount {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// usableTargets returns how many targets an entry can use, or 0 if it doesn't respond.
func usableTargets(ctx context.Context, c *client.Client) int {
	targets, err := c.Targets(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, t := range targets {
		if t.Connected && !t.Down && !t.Leaving {
			n++
		}
	}
	return n
}

// counts returns the entries' start and not-run counters, summed and including killed entries.
func (f *fleet) counts(ctx context.Context) (owner.Counts, error) {
	sum := f.killedCounts
	for _, addr := range f.entryAddrs() {
		counts, err := entryCounts(ctx, addr)
		if err != nil {
			return sum, err
		}
		sum.Starts += counts.Starts
		sum.NotRun += counts.NotRun
	}
	return sum, nil
}

// entryCounts returns the counters in the status of the entry at the address.
func entryCounts(ctx context.Context, addr string) (owner.Counts, error) {
	var status owner.Status
	c, err := client.New(client.Options{Entries: []string{addr}})
	if err != nil {
		return status.Counts, err
	}
	defer c.Close()
	page, err := c.Status(ctx)
	if err != nil {
		return status.Counts, err
	}
	err = json.Unmarshal(page, &status)
	return status.Counts, errors.Wrap(err, "status of an entry")
}

// killEntry records an entry's counters and CPU time and kills it. What the entry sends in
// the milliseconds between is missing from the results.
func (f *fleet) killEntry(ctx context.Context, index int) error {
	p := f.entries[index]
	counts, err := entryCounts(ctx, p.Addr)
	if err != nil {
		return err
	}
	cpuMs, err := processCPUMs(p)
	if err != nil {
		return err
	}
	f.killedCounts.Starts += counts.Starts
	f.killedCounts.NotRun += counts.NotRun
	f.killedCPUMs += cpuMs
	p.Kill()
	return nil
}

// killAll kills every process; a graceful shutdown would take as long as a run.
func (f *fleet) killAll() {
	for _, p := range f.Processes() {
		p.Kill()
	}
}
