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

// The sizes of both first users.
const (
	targetCount = 10
	slots       = 8
	entryCount  = 2
	slowest     = 1.0
	fastest     = 3.0

	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	// settleTime lets the entries end the time after their start in which they
	// let everything in.
	settleTime = 1500 * time.Millisecond
	benchKey   = "bench-key-of-loopback-only"
)

var errNotReady = errors.New("the targets did not become known to every entry in time")

// speed returns the speed of a target; they are spread evenly.
func speed(index int) float64 {
	return slowest + (fastest-slowest)*float64(index)/float64(targetCount-1)
}

// capacity is the work at speed 1 that all targets do in a millisecond, in milliseconds.
func capacity() float64 {
	sum := 0.0
	for i := range targetCount {
		sum += slots * speed(i)
	}
	return sum
}

// fleet is the processes of one run.
type fleet struct {
	*localfleet.Fleet
	policy  owner.Policy
	entries []*localfleet.Process
	agents  []*localfleet.Process
	targets []*localfleet.Process
	// What entries that were killed had counted and used.
	goneCounts owner.Counts
	goneMs     float64
}

func startFleet(ctx context.Context, o Options, p owner.Policy) (*fleet, error) {
	f := &fleet{
		Fleet:   localfleet.New(localfleet.Options{BinDir: o.BinDir, LogDir: o.LogDir, Key: benchKey}),
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
		Name: fmt.Sprintf("target-%d", index), Agent: agent.Addr, Slots: slots, Speed: speed(index),
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

// awaitReady waits until every entry may use every target.
func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, readyTimeout, errNotReady)
	defer cancel()
	for _, addr := range f.entryAddrs() {
		c, err := client.New(client.Options{Entries: []string{addr}})
		if err != nil {
			return err
		}
		defer c.Close()
		for usable(ctx, c) < targetCount {
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func usable(ctx context.Context, c *client.Client) int {
	known, err := c.Targets(ctx)
	if err != nil {
		return 0
	}
	n := 0
	for _, t := range known {
		if t.Connected && !t.Down && !t.Leaving {
			n++
		}
	}
	return n
}

// counts sums what the entries have counted.
func (f *fleet) counts(ctx context.Context) (owner.Counts, error) {
	sum := f.goneCounts
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

// killEntry ends an entry at once, after noting what it had counted: what it sends
// in the milliseconds between is missing from the figures.
func (f *fleet) killEntry(ctx context.Context, index int) error {
	p := f.entries[index]
	counts, err := entryCounts(ctx, p.Addr)
	if err != nil {
		return err
	}
	used, err := usedMs(p)
	if err != nil {
		return err
	}
	f.goneCounts.Starts += counts.Starts
	f.goneCounts.NotRun += counts.NotRun
	f.goneMs += used
	p.Kill()
	return nil
}

// kill ends every process at once; a graceful end would take as long as a run.
func (f *fleet) kill() {
	for _, p := range f.Processes() {
		p.Kill()
	}
}
