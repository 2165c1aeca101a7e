// Package bench measures the policies on real processes over loopback: entries,
// agents and stand-in targets of both first users' sizes (ten targets of 8 slots,
// speeds three apart), with open-loop arrivals from several callers through every
// entry. Its figures are taken at the callers and the targets; the system's own
// counters give only the number of messages sent.
//
// Open loop means that jobs come at their times whether or not earlier ones were
// answered. A closed loop would slow down with the system and so hide every queue.
package bench

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/camphorrack/camphorrack/internal/owner"
)

// Options of a series of runs.
type Options struct {
	BinDir    string // directory of the built programs
	LogDir    string // where processes' logs go; empty: nowhere
	Scenarios []Scenario
	Policies  []owner.Policy
	Seeds     int           // runs per scenario and policy
	Duration  time.Duration // for which jobs arrive in a run
	// TimeScale shortens every task by a factor below 1, to get as many jobs in less
	// time. The overhead of the path then weighs more against the ideal.
	TimeScale float64
	Parallel  int // runs at a time, each on a fleet of its own
	Wide      bool
	Out       io.Writer
}

// one is one run to be done.
type one struct {
	scenario Scenario
	policy   owner.Policy
	seed     uint64
}

// Run does every run, policies alternating so that a slow minute of the machine
// hits them alike, and prints a line for each scenario and policy.
func Run(ctx context.Context, o Options) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	runs := plan(o)
	results := make([]*Result, len(runs))
	var (
		group sync.WaitGroup
		once  sync.Once
		first error
	)
	places := make(chan struct{}, max(o.Parallel, 1))
	for i, r := range runs {
		places <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			defer func() { <-places }()
			result, err := runOne(ctx, o, r)
			if err != nil {
				once.Do(func() { first = fmt.Errorf("%s %s: %w", r.scenario.Name, r.policy, err); stop() })
				return
			}
			results[i] = result
		})
	}
	group.Wait()
	if first != nil {
		return first
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	printAll(o, runs, results)
	return nil
}

// plan lists the runs: seed by seed, scenario by scenario, policies alternating.
func plan(o Options) []one {
	var runs []one
	for seed := range max(o.Seeds, 1) {
		for _, s := range o.Scenarios {
			for _, p := range o.Policies {
				runs = append(runs, one{s, p, uint64(seed + 1)})
			}
		}
	}
	return runs
}

func runOne(ctx context.Context, o Options, r one) (*Result, error) {
	f, err := startFleet(ctx, o, r.policy)
	defer f.kill()
	if err != nil {
		return nil, err
	}
	before, err := f.processorTime()
	if err != nil {
		return nil, err
	}
	c, err := newCallers(ctx, o, r, f)
	if err != nil {
		return nil, err
	}
	defer c.close()
	c.drive(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	after, err := f.processorTime()
	if err != nil {
		return nil, err
	}
	counts, err := f.counts(ctx)
	if err != nil {
		return nil, err
	}
	result := summarise(o, r, c)
	result.addMessages(counts)
	result.addProcessorTime(before, after)
	return result, nil
}
